import { expect } from 'earl'
import { z } from 'zod'
import { SettingsFollower, type SettingsState } from '../../../src/io/process/index.js'

describe('SettingsFollower', () => {
  const runChecks = async (texts: string[]): Promise<{ applied: unknown[], warned: string[] }> => {
    const applied: unknown[] = []
    const warned: string[] = []
    const follower = new SettingsFollower({
      file: 'settings.toml',
      initial: { settings: { size: 1 }, replaced: [], raw: { size: 1 } },
      format: { schema: z.object({ size: z.number() }), replacements: {} },
      log: { warn: event => { warned.push(event) } },
      onChange: settings => { applied.push(settings) },
      read: async () => texts.shift() ?? ''
    })
    while (texts.length > 0) await Promise.all([follower.check(), follower.check()])
    return { applied, warned }
  }

  it('should apply settings that differ from the previous ones', async () => {
    expect(await runChecks(['size = 1', 'size = 1', 'size = 2'])).toEqual({ applied: [{ size: 2 }], warned: [] })
  })

  // The file may be written between the read at the start of the process and the first check.
  it('should apply settings that changed before the first check', async () => {
    expect(await runChecks(['size = 2'])).toEqual({ applied: [{ size: 2 }], warned: [] })
    expect(await runChecks(['size = "x"'])).toEqual({ applied: [], warned: ['settings-rejected'] })
  })

  it('should not apply settings whose text changed but not their values', async () => {
    expect(await runChecks(['size = 1', 'size = 1 # comment'])).toEqual({ applied: [], warned: [] })
  })

  it('should ignore an empty file and run one check at a time', async () => {
    expect(await runChecks(['size = 1', '', 'size = 1'])).toEqual({ applied: [], warned: [] })
  })

  it('should report settings with findings and keep the previous ones', async () => {
    expect(await runChecks(['size = 1', 'size = "x"'])).toEqual({ applied: [], warned: ['settings-rejected'] })
  })

  it('should report whether a process would start with the file, and keep the value in force where one can not be used', async () => {
    const texts = ['size = 1\nname = "a"', 'size = 1\nname = ', 'size = ', '', '', undefined, 'size = 3\nname = 5', 'size = 3\nname = "b"']
    const states: SettingsState[] = []
    const applied: unknown[] = []
    const follower = new SettingsFollower({
      file: 'settings.toml',
      initial: { settings: { size: 1, name: 'a' }, replaced: [], raw: { size: 1, name: 'a' } },
      format: { schema: z.object({ size: z.number(), name: z.string().default('none') }), replacements: { name: 'none' } },
      log: { warn: () => {} },
      onChange: settings => { applied.push(settings) },
      onCheck: state => { states.push(state) },
      read: async () => {
        const text = texts.shift()
        if (text === undefined) throw new Error('no such file')
        return text
      }
    })
    while (texts.length > 0) await follower.check()
    expect(states.map(({ result, isUsable, replacedKeys }) => [result, isUsable, replacedKeys])).toEqual([
      ['accepted', true, 0], ['accepted', true, 1], ['rejected', false, 1], ['unchanged', false, 1], ['rejected', false, 1],
      ['unreadable', false, 1], ['accepted', true, 1], ['accepted', true, 0]
    ])
    expect(applied).toEqual([{ size: 3, name: 'a' }, { size: 3, name: 'b' }])
  })
})
