import type { Clock } from '../../core/clock/index.js'
import { StoreError, type RowKey } from '../../core/platform/index.js'
import { SuspectList, toSuspectRow } from '../../core/suspect/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for which writing a crash to the store is retried. */
const WRITE_TIMEOUT_MS = 10_000

/** Options of {@link SuspectStore}. */
export interface SuspectStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
}

/** Shares between gateways which requests have crashed targets. */
export class SuspectStore {
  private readonly _options: SuspectStoreOptions
  private readonly _list = new SuspectList()

  constructor (options: SuspectStoreOptions) {
    this._options = options
  }

  /** Checks whether a request must not be run any more. */
  isRefused (digest: string | undefined): boolean {
    return this._list.isRefused(digest)
  }

  /** Records that the connection to a target was lost while it ran a request, and shares this with the other gateways. */
  async record (digest: string, incarnation: string, requestId: string): Promise<void> {
    const { access, clock, log } = this._options
    if (this._list.add(digest, incarnation)) log.warn('suspect-confirmed', { digest, req: requestId, lifetime: incarnation })
    try {
      await access.commitRepeatable({ puts: [toSuspectRow(digest, incarnation)] }, clock.now() + WRITE_TIMEOUT_MS)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('suspect-not-shared', { digest, lifetime: incarnation, cause: err.message })
    }
  }

  /** Applies a row that another gateway wrote. */
  applyRow (key: RowKey): void {
    if (this._list.addRow(key)) this._options.log.warn('suspect-confirmed', { row: key.key })
  }
}
