import { createHash } from 'node:crypto'
import type { Clock } from '../../core/clock/index.js'
import type { CallRequest } from '../../core/forward/index.js'
import type { Backend, Route } from '../../core/route/index.js'
import type { Placement, PlacementPolicy, TargetRegistry, TargetState } from '../../core/target/index.js'

/** Options of {@link Placer}. */
export interface PlacerOptions {
  readonly registry: TargetRegistry
  readonly policy: PlacementPolicy
  readonly clock: Clock
}

/** Facts that placement considers beside the request itself. */
export interface PlaceOptions {
  /** Keys of the target incarnations to which the request was already sent. */
  readonly excluded?: ReadonlySet<string>
  /** Key of the target incarnation that ran the program's earlier turns. */
  readonly warmTarget?: string | undefined
}

const NONE: ReadonlySet<string> = new Set()

/** Chooses the target of a request: a backend of its route, then a target of that service. */
export class Placer {
  private readonly _options: PlacerOptions

  constructor (options: PlacerOptions) {
    this._options = options
  }

  /** Chooses a target; undefined when none accepts requests. */
  place (call: CallRequest, route: Route, options: PlaceOptions = {}): Placement | undefined {
    const { policy, clock } = this._options
    const { excluded = NONE, warmTarget } = options
    const work = { promptTokens: call.promptTokens, promptSegments: call.promptSegments, excluded, warmTarget }
    return policy.select(this.getCandidates(call, route), work, clock.now())
  }

  /** Gets the targets of the backend to which a request belongs that are not draining. */
  getCandidates (call: CallRequest, route: Route): TargetState[] {
    const { registry, clock } = this._options
    const service = chooseBackend(route.backends, call.program?.session ?? call.affinityKey ?? call.id)
    return service === undefined ? [] : registry.getServing(service, clock.now())
  }
}

/** Chooses a backend by weight; the same key always gets the same backend. */
function chooseBackend (backends: readonly Backend[], hashKey: string): string | undefined {
  if (backends.length <= 1) return backends[0]?.service
  const total = backends.reduce((sum, backend) => sum + backend.weight, 0)
  let point = createHash('sha1').update(hashKey).digest().readUInt32BE(0) / 2 ** 32 * total
  for (const backend of backends) {
    point -= backend.weight
    if (point < 0) return backend.service
  }
  return backends.at(-1)!.service
}
