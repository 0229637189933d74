import { readdirSync, readFileSync } from 'node:fs'
import { expect } from 'earl'
import { formatFinding, parseDocuments, type DocumentTexts } from '../../../src/core/config/index.js'

function readExample (name: string): DocumentTexts {
  return Object.fromEntries(readdirSync(`examples/${name}`).map(file => [file, readFileSync(`examples/${name}/${file}`, 'utf8')]))
}

describe('parseDocuments', () => {
  function doTest (texts: DocumentTexts, expected: readonly string[]): void {
    const found = parseDocuments(texts).caseOf<string[]>({ Left: findings => findings.map(formatFinding), Right: () => [] })
    expect(found).toEqual([...expected])
  }

  for (const name of ['workshop', 'mooring-desk']) {
    it(`should report no findings for the example documents of ${name}`, () => { doTest(readExample(name), []) })
  }

  it('should read the target counts of the example services', () => {
    const count = (example: string, service: string): number => {
      const { services } = parseDocuments(readExample(example)).unsafeCoerce()
      return Object.values(services.find(candidate => candidate.name === service)!.placement).reduce((sum, targets) => sum + targets, 0)
    }
    expect([count('workshop', 'ratgeber'), count('workshop', 'kanzlei')]).toEqual([6, 3])
    expect([count('mooring-desk', 'pilot-models'), count('mooring-desk', 'harbour-desk')]).toEqual([13, 11])
  })

  it('should report a syntax error with its line', () => {
    doTest({ 'a.toml': 'x = 1\ny = = 2\n' }, ['a.toml:2: Invalid TOML document: invalid value; expected valid TOML'])
  })

  it('should report every finding of every file, with line and key', () => {
    doTest({
      'a.toml': '[[region]]\nname = "Zentral"\nfailure_domains = []\ncolour = "red"\n',
      'b.toml': '[[service]]\nname = "x"\nkind = "engine"\nslots = "many"\n'
    }, [
      'a.toml:2: region[0].name: wrong value; expected lower-case letters, digits and hyphens, at most 63',
      'a.toml:3: region[0].failure_domains: wrong value; expected Too small: expected array to have >=1 items',
      'a.toml:4: region[0].colour: unknown key; expected a key named in docs/CONFIGURATION.md',
      'b.toml:4: service[0].slots: wrong type; expected number',
      'b.toml:1: service[0].placement: missing; expected record'
    ])
  })

  it('should report undefined references and inconsistent limits', () => {
    doTest({
      'a.toml': [
        '[[region]]', 'name = "zentral"', 'failure_domains = ["luzern"]',
        '[[service]]', 'name = "ratgeber"', 'kind = "engine"', 'model = "m"', 'slots = 2', 'short_slots = 2', '[service.placement]', 'bern = 1',
        '[[program]]', 'name = "p"', 'service = "rat"', 'tools = ["desk"]', 'budget = { tokens = 10, calls = 1, seconds = 1 }', 'max_tokens_per_call = 20'
      ].join('\n')
    }, [
      'a.toml:11: service[0].placement.bern: unknown failure domain; expected one of luzern',
      'a.toml:9: service[0].short_slots: no slot is left for long requests; expected less than slots = 2',
      'a.toml:14: program[0].service: unknown engine service; expected one of ratgeber',
      'a.toml:15: program[0].tools: unknown plain service desk; expected one that is defined',
      'a.toml:17: program[0].max_tokens_per_call: more than the whole budget; expected at most budget.tokens = 10'
    ])
  })
})
