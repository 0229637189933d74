import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '../../core/clock/index.js'
import type { Refusal } from '../../core/reason/index.js'
import type { ConfigHolder, Route } from '../../core/route/index.js'
import type { Workspace } from '../../core/workspace/index.js'
import type { ConfigConfirmation } from './ConfigConfirmation.js'

/**
 * Milliseconds after a pause of the process from which on known keys are served although no read has confirmed the configuration.
 *
 * A gateway that reaches the store, directly or through a peer, has read it by then: 0.7 s for noticing a silent connection, as much for a
 * peer that does not respond, and the reads. One that does not reach it is cut off, and an outage of the store must stop no traffic.
 */
export const CUT_OFF_MS = 3_000

/**
 * The same while neither a peer nor the direct connection is known to reach the store: two probes of 0.7 s have failed since the pause.
 *
 * A starved process pauses again and again, and keys are not served for this time after each pause.
 */
export const KNOWN_CUT_OFF_MS = 1_500

/** Seconds after which a caller may retry while keys are not confirmed; another gateway mostly is. */
export const UNCONFIRMED_RETRY_SECONDS = 0.3

/** A request whose key is checked. */
export interface KeyedRequest {
  readonly host: string
  readonly path: string
  /** Route by the configuration that was in force when the request arrived. */
  readonly route: Route
  /** Digest of the presented key; undefined without one. */
  readonly keyDigest: string | undefined
  /** Time of arrival, by the steady clock in milliseconds. */
  readonly arrivedAt: number
}

/** Workspace of a request that may run; undefined for a request that needs no key. */
export type KeyAdmission = Either<Refusal, Workspace | undefined>

/** Options of {@link KeyGate}. */
export interface KeyGateOptions {
  readonly configs: Pick<ConfigHolder, 'get'>
  readonly clock: Clock
  readonly confirmation: Pick<ConfigConfirmation, 'isConfirmedSince' | 'confirm'>
  /** Gets the end of the latest pause of the process. */
  readonly getResumedAt: () => number
  /** Checks whether neither this gateway nor a peer reaches the store. */
  readonly isStoreUnavailable: () => boolean
}

/**
 * Decides by the newest configuration whether a request may run, and for which workspace.
 *
 * A key is unknown only according to a read that begins after the request has arrived, because it may have been added just before. After a
 * pause of the process no key is served until a read has confirmed the configuration, because it may have been removed meanwhile.
 */
export class KeyGate {
  private readonly _options: KeyGateOptions

  constructor (options: KeyGateOptions) {
    this._options = options
  }

  /** Checks the key of a request; called again before the request is forwarded. */
  async admit (req: KeyedRequest): Promise<KeyAdmission> {
    const { confirmation, isStoreUnavailable } = this._options
    const found = this._decide(req)
    if (found !== undefined) return found
    if (!isStoreUnavailable()) await confirmation.confirm()
    return this._decide(req) ?? Left({ reason: 'keys-unconfirmed', retryAfterSeconds: UNCONFIRMED_RETRY_SECONDS })
  }

  /** Decides by what is known now; undefined if the configuration must be confirmed first. */
  private _decide ({ host, path, route, keyDigest, arrivedAt }: KeyedRequest): KeyAdmission | undefined {
    const { configs, confirmation, clock, getResumedAt, isStoreUnavailable } = this._options
    const table = configs.get()
    if (table?.workspaces === undefined) return Right(undefined)
    const resumedAt = getResumedAt()
    const { isPublic } = table.getRoute(host, path) ?? route
    const workspace = isPublic ? undefined : table.workspaces.findByDigest(keyDigest)
    if (isPublic || workspace !== undefined) {
      const cutOffMs = isStoreUnavailable() ? KNOWN_CUT_OFF_MS : CUT_OFF_MS
      const isCurrent = confirmation.isConfirmedSince(resumedAt) || clock.now() - resumedAt > cutOffMs
      return isCurrent ? Right(workspace) : undefined
    }
    return confirmation.isConfirmedSince(Math.max(arrivedAt, resumedAt)) ? Left({ reason: 'key-unknown' }) : undefined
  }
}
