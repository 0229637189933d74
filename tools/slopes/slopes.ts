/** Measures the slopes that docs/CAPACITY.md is worked out from. */
import { measureCoreSlopes } from './coreSlopes.js'
import { measureFleetSlopes } from './fleetSlopes.js'
import { formatSlope } from './Slope.js'

for (const slope of measureCoreSlopes()) process.stdout.write(`${formatSlope(slope)}\n`)
for (const slope of await measureFleetSlopes()) process.stdout.write(`${formatSlope(slope)}\n`)
