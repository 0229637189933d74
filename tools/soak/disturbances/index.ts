import type { Disturbance, DisturbanceOptions } from '../Disturbance.js'
import type { DisturbanceName } from '../SoakPlan.js'
import { HalfRequests } from './HalfRequests.js'
import { KeptChannels } from './KeptChannels.js'
import { Silence } from './Silence.js'
import { TargetBehaviours } from './TargetBehaviours.js'

const CREATORS: Record<DisturbanceName, (options: DisturbanceOptions) => Disturbance> = {
  unframed: options => new TargetBehaviours(options, ['unframed', 'unframed-reset']),
  'repeated-refusals': options => new TargetBehaviours(options, ['not-run-copied', 'not-run-repeated']),
  'half-requests': options => new HalfRequests(options),
  'kept-channels': options => new KeptChannels(options),
  silence: options => new Silence(options)
}

/** Creates the disturbance of a name. */
export function createDisturbance (name: DisturbanceName, options: DisturbanceOptions): Disturbance {
  return CREATORS[name](options)
}
