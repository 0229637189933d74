import { createHash } from 'node:crypto'
import type { Clock } from '../../core/clock/index.js'
import { getHeldTokens, type CallRequest } from '../../core/forward/index.js'
import { canContinue, type BegunStream } from '../../core/origin/index.js'
import { isRepeatable, type Backend, type Route } from '../../core/route/index.js'
import type { Placement, PlacementPolicy, Target, TargetRegistry, TargetState } from '../../core/target/index.js'

/** Options of {@link Placer}. */
export interface PlacerOptions {
  readonly registry: TargetRegistry
  readonly policy: PlacementPolicy
  readonly clock: Clock
  /** Checks whether the version of a target is certain, for streams that may be resumed; all are by default. */
  readonly isVersionKnown?: (target: Target, stream: BegunStream | undefined) => boolean
}

/** Facts that placement considers beside the request itself. */
export interface PlaceOptions {
  /** Keys of the target incarnations to which the request was already sent. */
  readonly excluded?: ReadonlySet<string>
  /** Key of the target incarnation that ran the program's earlier turns. */
  readonly warmTarget?: string | undefined
  /** The stream to be continued; undefined for a new one. */
  readonly stream?: BegunStream | undefined
}

/** Listed targets that may send the events of a stream. */
interface ListedTargets {
  readonly serving: TargetState[]
  /** Targets that are leaving and serve for some time. */
  readonly draining: TargetState[]
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
    const { excluded = NONE, warmTarget, stream } = options
    const { promptTokens, promptSegments } = call
    const heldTokens = getHeldTokens(call)
    const work = { promptTokens, heldTokens, promptSegments, excluded, warmTarget, isRepeatable: isRepeatable(route) }
    return policy.select(this.getCandidates(call, route, stream, excluded), work, clock.now())
  }

  /**
   * Gets the targets of the backend to which a request belongs and that may send the events of its stream.
   *
   * A target that is draining is one of them only if there are no others that can be used, and while it still serves.
   */
  getCandidates (call: CallRequest, route: Route, stream?: BegunStream, excluded: ReadonlySet<string> = NONE): TargetState[] {
    const { isVersionKnown = () => true } = this._options
    const { serving, draining } = this._getListed(call, route, stream)
    const isUsable = ({ target, incarnation }: TargetState): boolean =>
      !excluded.has(incarnation) && (!route.isResumable || isVersionKnown(target, stream))
    const usable = serving.filter(isUsable)
    return usable.length > 0 ? usable : draining.filter(isUsable)
  }

  /** Gets all targets that may ever be candidates of a request. */
  getListed (call: CallRequest, route: Route, stream?: BegunStream): TargetState[] {
    const { serving, draining } = this._getListed(call, route, stream)
    return [...serving, ...draining]
  }

  /** Checks whether a request has no target only because the versions of its targets are not certain. */
  isWithheld (call: CallRequest, route: Route, stream?: BegunStream): boolean {
    return this.getCandidates(call, route, stream).length === 0 && this.getListed(call, route, stream).length > 0
  }

  private _getListed (call: CallRequest, route: Route, stream: BegunStream | undefined): ListedTargets {
    const { registry, clock } = this._options
    const isOrigin = (backend: Backend): boolean => backend.service === stream?.origin?.service
    const hashKey = call.program?.session ?? call.affinityKey ?? call.id
    const service = route.backends.find(isOrigin)?.service ?? chooseBackend(route.backends, hashKey)
    if (service === undefined) return { serving: [], draining: [] }
    const now = clock.now()
    return {
      serving: registry.getServing(service, now).filter(({ target }) => canContinue(target, stream)),
      draining: registry.getDraining(service, now).filter(({ target }) => canContinue(target, stream))
    }
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
