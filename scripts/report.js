// Prints the failures of a mocha run and a summary line; failures listed in KNOWN-RED.txt do not fail the run.
import { existsSync, readFileSync } from 'node:fs'

const [, , resultsFile, mochaCode, knownRedFile] = process.argv
const results = JSON.parse(readFileSync(resultsFile, 'utf8'))
const known = existsSync(knownRedFile)
  ? readFileSync(knownRedFile, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
  : []

const isKnown = failure => known.includes(failure.fullTitle)
for (const failure of results.failures) {
  console.log(`${isKnown(failure) ? 'KNOWN RED' : 'FAILED'}: ${failure.fullTitle}\n${failure.err.stack ?? failure.err.message}\n`)
}
const newFailures = results.failures.filter(failure => !isKnown(failure))
const hasOnlyKnown = results.failures.length > 0 && newFailures.length === 0
console.log(`${results.stats.passes} passed, ${newFailures.length} failed`)
process.exit(hasOnlyKnown ? 0 : Number(mochaCode))
