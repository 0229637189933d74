import { expect } from 'earl'
import { z } from 'zod'
import { SettingsFollower } from '../../../src/io/process/index.js'

describe('SettingsFollower', () => {
  const runChecks = async (texts: string[]): Promise<{ applied: unknown[], warned: string[] }> => {
    const applied: unknown[] = []
    const warned: string[] = []
    const follower = new SettingsFollower({
      file: 'settings.toml',
      initial: { size: 1 },
      schema: z.object({ size: z.number() }),
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
})
