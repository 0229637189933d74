/** Measures the slopes from which docs/CAPACITY.md is calculated; an argument selects one measurement of a fleet. */
import { measureCoreSlopes } from './coreSlopes.js'
import { measureFleetSlopes } from './fleetSlopes.js'
import { formatSlope } from './Slope.js'

const only = process.argv[2] ?? ''
const core = only === '' ? measureCoreSlopes() : []
for (const slope of [...core, ...await measureFleetSlopes(only)]) process.stdout.write(`${formatSlope(slope)}\n`)
