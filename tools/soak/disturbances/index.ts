import type { Disturbance, DisturbanceOptions } from '../Disturbance.js'
import type { DisturbanceName } from '../SoakPlan.js'
import { ConfigChanges } from './ConfigChanges.js'
import { Crashes } from './Crashes.js'
import { CrashForms } from './CrashForms.js'
import { CrashSenders } from './CrashSenders.js'
import { CrashingRequest } from './CrashingRequest.js'
import { Endless } from './Endless.js'
import { FailingTarget } from './FailingTarget.js'
import { HalfRequests } from './HalfRequests.js'
import { HeldRequests } from './HeldRequests.js'
import { HotWorkspace } from './HotWorkspace.js'
import { KeptBookings, KeptChannels } from './KeptChannels.js'
import { Leaving } from './Leaving.js'
import { LargeBreaks } from './LargeBreaks.js'
import { OddRows } from './OddRows.js'
import { OutOfStep } from './OutOfStep.js'
import { OutsideLimits } from './OutsideLimits.js'
import { RemovedKeys } from './RemovedKeys.js'
import { ResumedTurns } from './ResumedTurns.js'
import { Silence } from './Silence.js'
import { TargetBehaviours } from './TargetBehaviours.js'

const CREATORS: Record<DisturbanceName, (options: DisturbanceOptions) => Disturbance> = {
  unframed: options => new TargetBehaviours(options, ['unframed', 'unframed-reset']),
  'repeated-refusals': options => new TargetBehaviours(options, ['not-run-copied', 'not-run-repeated']),
  'half-requests': options => new HalfRequests(options),
  'kept-channels': options => new KeptChannels(options, KeptBookings.Long),
  handover: options => new KeptChannels(options, KeptBookings.Short),
  silence: options => new Silence(options),
  endless: options => new Endless(options),
  crashes: options => new Crashes(options),
  'crashing-request': options => new CrashingRequest(options),
  'crash-forms': options => new CrashForms(options),
  'crash-senders': options => new CrashSenders(options),
  'held-requests': options => new HeldRequests(options),
  'large-breaks': options => new LargeBreaks(options),
  'resumed-turns': options => new ResumedTurns(options),
  'odd-rows': options => new OddRows(options),
  leaving: options => new Leaving(options),
  'out-of-step': options => new OutOfStep(options),
  config: options => new ConfigChanges(options),
  'removed-keys': options => new RemovedKeys(options),
  'hot-workspace': options => new HotWorkspace(options),
  'failing-target': options => new FailingTarget(options),
  'outside-limits': options => new OutsideLimits(options)
}

/** Creates the disturbance of a name. */
export function createDisturbance (name: DisturbanceName, options: DisturbanceOptions): Disturbance {
  return CREATORS[name](options)
}
