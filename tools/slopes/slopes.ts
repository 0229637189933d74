/** Measures the slopes that docs/CAPACITY.md is worked out from; an argument picks one kind of measurement. */
import { measureCoreSlopes } from './coreSlopes.js'
import { measureFleetSlopes } from './fleetSlopes.js'
import { formatSlope } from './Slope.js'

const only = process.argv[2] ?? ''
const core = only === '' ? measureCoreSlopes() : []
for (const slope of [...core, ...await measureFleetSlopes(only)]) process.stdout.write(`${formatSlope(slope)}\n`)
