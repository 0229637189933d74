import { expect } from 'earl'
import { CONFIG_KEY, ConfigChange, ConfigHolder, Configuration, type ConfigRow } from '../../../src/core/config/index.js'
import { MemoryTable } from '../../../src/core/platform/index.js'

const TEXTS = { 'a.toml': '[[region]]\nname = "zentral"\nfailure_domains = ["luzern"]\n' }

function createChange (applyId: string, baseVersion: number): ConfigChange {
  return new ConfigChange({ applyId, baseVersion, texts: TEXTS, operator: applyId })
}

/** Applies a change to the table; returns a short description of the result. */
function apply (change: ConfigChange, table: MemoryTable): string {
  return change.decide(table.read([CONFIG_KEY]), 0).caseOf<string>({
    Left: ({ current }) => `conflict with ${current?.operator}`,
    Right: decision => decision.type === 'applied' ? 'applied' : table.commit(decision.transaction).type
  })
}

describe('ConfigChange', () => {
  it('should accept exactly one of two concurrent changes', () => {
    const table = new MemoryTable()
    const [first, second] = [createChange('first', 0), createChange('second', 0)]
    const rows = table.read([CONFIG_KEY])
    const decisions = [first, second].map(change => change.decide(rows, 0).unsafeCoerce())
    const results = decisions.map(decision => decision.type === 'write' ? table.commit(decision.transaction).type : 'applied')
    expect(results).toEqual(['committed', 'conflict'])
    expect(apply(second, table)).toEqual('conflict with first')
  })

  it('should recognise its own write when the response was lost', () => {
    const table = new MemoryTable()
    const change = createChange('first', 0)
    apply(change, table)
    expect(apply(change, table)).toEqual('applied')
  })

  it('should refuse a change based on an outdated version', () => {
    const table = new MemoryTable()
    apply(createChange('first', 0), table)
    expect(apply(createChange('late', 0), table)).toEqual('conflict with first')
    expect(apply(createChange('next', 1), table)).toEqual('committed')
  })
})

describe('ConfigHolder', () => {
  it('should never replace a configuration by one with a lower version', () => {
    const toConfiguration = (version: number): Configuration => {
      const row: ConfigRow = { version, texts: TEXTS, operator: 'o', appliedAt: 0, applyId: 'a' }
      return Configuration.parse(row).unsafeCoerce()
    }
    const holder = new ConfigHolder()
    expect([2, 1, 2, 3].map(version => holder.set(toConfiguration(version)))).toEqual([true, false, false, true])
    expect(holder.getVersion()).toEqual(3)
  })
})
