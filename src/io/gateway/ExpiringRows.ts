import type { Clock } from '../../core/clock/index.js'
import { RowExpiry, StoreError, type RowKey } from '../../core/platform/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for one removal of expired rows. */
const REMOVE_TIMEOUT_MS = 2_000

/** Options of {@link ExpiringRows}. */
export interface ExpiringRowsOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Log event of a removal that failed. */
  readonly failureEvent: string
}

/** Removes rows that this gateway wrote when they have expired. */
export class ExpiringRows {
  private readonly _options: ExpiringRowsOptions
  private readonly _expiry = new RowExpiry()

  constructor (options: ExpiringRowsOptions) {
    this._options = options
  }

  /** Adds rows of one partition that are removed together after their retention. */
  add (keys: readonly RowKey[], retentionMs: number): void {
    this._expiry.add(keys, retentionMs, this._options.clock.now())
  }

  /** Removes the rows that have expired; during an outage of the store they are kept until the next call. */
  async removeExpired (): Promise<void> {
    const { access, clock, log, failureEvent } = this._options
    if (access.health.isUnavailable()) return
    for (let removes = this._expiry.pollExpired(clock.now()); removes.length > 0; removes = this._expiry.pollExpired(clock.now())) {
      try {
        await access.commitRepeatable({ removes }, clock.now() + REMOVE_TIMEOUT_MS)
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        log.warn(failureEvent, { rows: removes.length, cause: err.message })
      }
    }
  }
}
