import { expect } from 'earl'
import fc from 'fast-check'
import { z } from 'zod'
import { formatFinding, parseSettings, type RawTable, type ReplaceableFormat } from '../../../src/core/config/index.js'

const FORMAT: ReplaceableFormat<unknown> = {
  schema: z.strictObject({
    id: z.string(),
    mode: z.enum(['fast', 'safe']).default('safe'),
    stop: z.strictObject({ grace_s: z.number().min(0) }),
    names: z.record(z.string(), z.string()).default({})
  }),
  replacements: { stop: { grace_s: 5 }, 'stop.grace_s': 5, 'names.*': undefined }
}

const CLEAN = 'id = "a"\n[stop]\ngrace_s = 8\n'

function parse (text: string, former?: RawTable): unknown {
  return parseSettings('s.toml', text, FORMAT, former).caseOf<unknown>({
    Left: findings => findings.map(formatFinding),
    Right: ({ settings, replaced }) => ({ settings, replaced: replaced.map(formatFinding) })
  })
}

describe('parseSettings', () => {
  it('should start with the default for a value that is missing, no TOML, of another type or out of range, and name its source', () => {
    const outcomes = ['', 'null', '{"a":1}', 'true', '-1', '1e400'].map(value => parse(CLEAN.replace('8', `${value} # bounds.grace`)))
    const settings = { id: 'a', mode: 'safe', stop: { grace_s: 5 }, names: {} }
    expect(outcomes).toEqual([
      's.toml:3: stop.grace_s: no value; expected a value (from bounds.grace)',
      's.toml:3: stop.grace_s: no value; expected a value (from bounds.grace)',
      's.toml:3: stop.grace_s: Invalid TOML document: illegal character in key; expected a value (from bounds.grace)',
      's.toml:3: stop.grace_s: wrong type; expected number (from bounds.grace)',
      's.toml:3: stop.grace_s: wrong value; expected Too small: expected number to be >=0 (from bounds.grace)',
      's.toml:3: stop.grace_s: wrong type; expected number (from bounds.grace)'
    ].map(finding => ({ settings, replaced: [finding] })))
  })

  it('should leave out single entries of a table, and report a table that is missing', () => {
    expect(parse(`${CLEAN}[names]\na = "x"\nb = \n"c"d" = "y"\ne = 5\n`)).toEqual({
      settings: { id: 'a', mode: 'safe', stop: { grace_s: 8 }, names: { a: 'x' } },
      replaced: [
        's.toml:6: names.b: no value; expected a value',
        's.toml:7: names."c"d": Invalid TOML document: illegal character in key; expected a value',
        's.toml:8: names.e: wrong type; expected string'
      ]
    })
    expect(parse('id = "a"\n')).toEqual({
      settings: { id: 'a', mode: 'safe', stop: { grace_s: 5 }, names: {} }, replaced: ['s.toml: stop: missing; expected object']
    })
  })

  it('should keep the value in force at a reload', () => {
    const former = { id: 'a', stop: { grace_s: 3 }, names: { a: 'x' } }
    expect(parse('id = "a"\n[stop]\ngrace_s = \n[names]\na = 1', former)).toEqual({
      settings: { id: 'a', mode: 'safe', stop: { grace_s: 3 }, names: { a: 'x' } },
      replaced: ['s.toml:3: stop.grace_s: no value; expected a value', 's.toml:5: names.a: wrong type; expected string']
    })
  })

  // What an operator wrote must not be replaced: only keys that are named may be.
  it('should refuse an unknown key, a value that may not be replaced, and text that is no TOML, with all findings', () => {
    expect(parse(`${CLEAN}graze_s = 1`)).toEqual(['s.toml:4: stop.graze_s: unknown key; expected a key named in docs/CONFIGURATION.md'])
    expect(parse(CLEAN.replace('8', '\nother = 1').replace('"a"', '# nodeName'))).toEqual([
      's.toml:1: id: no value; expected a value (from nodeName)', 's.toml:3: stop.grace_s: no value; expected a value',
      's.toml:4: stop.other: unknown key; expected a key named in docs/CONFIGURATION.md'
    ])
    expect(parse(`mode = "fats"\n${CLEAN}`)).toEqual(['s.toml:1: mode: wrong value; expected Invalid option: expected one of "fast"|"safe"'])
    expect(parse(`mode = \n${CLEAN}`)).toEqual(['s.toml:1: mode: no value; expected a value'])
    expect(parse(`${CLEAN}[stop`)).toEqual(['s.toml:4: Invalid TOML document: incomplete key-value: cannot find end of key; expected valid TOML'])
  })

  it('should end with settings or findings, whatever the text', () => {
    const lines = fc.constantFrom('id = "a"', '[stop]', 'grace_s = ', 'grace_s = 8', 'grace_s = """', '[names]', 'a = [', '"b" = "c"', '__proto__ = 1', '= 5', '[[x]]', 'x.y = 1', '"')
    const texts = fc.oneof(fc.array(lines, { maxLength: 12 }).map(list => list.join('\n')), fc.string())
    fc.assert(fc.property(texts, text => {
      const outcome = parseSettings('s.toml', text, FORMAT)
      expect(outcome.isRight() || outcome.swap().unsafeCoerce().length > 0).toEqual(true)
    }), { seed: 58, numRuns: 2_000 })
  })
})
