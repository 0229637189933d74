import { readFileSync } from 'node:fs'
import { expect } from 'earl'
import { REFUSALS, RETRIES } from '../../../src/core/reason/index.js'

describe('REFUSALS and RETRIES', () => {
  const page = readFileSync('docs/OPERATIONS.md', 'utf8')
  const rows = page.split('\n').filter(line => line.startsWith('| `'))

  it('should equal the tables of the operations page, row by row', () => {
    const refusals = Object.entries(REFUSALS).map(([reason, { status, outcome, title, advice }]) => `| \`${reason}\` | ${status} | ${outcome} | ${title} | ${advice} |`)
    const retries = Object.entries(RETRIES).map(([reason, title]) => `| \`${reason}\` | ${title} |`)
    expect(rows).toEqual([...refusals, ...retries])
  })
})
