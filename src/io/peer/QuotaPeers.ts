import type { QuotaHolder, QuotaLoan, QuotaRequest } from '../../core/quota/index.js'
import type { PeerPool } from './PeerPool.js'

/** Time-out of one call to a holder, in milliseconds; allows for a round trip between regions, and is short because a request waits. */
const QUOTA_TIMEOUT_MS = 200

/** Options of {@link QuotaPeers}. */
export interface QuotaPeersOptions {
  readonly pool: PeerPool
  readonly localId: string
  /** The shares of quotas that this gateway holds. */
  readonly holder: QuotaHolder
}

/** Borrows tokens of the quotas of workspaces from their holders, and lends those that this gateway holds. */
export class QuotaPeers {
  private readonly _options: QuotaPeersOptions

  constructor (options: QuotaPeersOptions) {
    this._options = options
  }

  /** Requests tokens from a holder; undefined if it does not respond. */
  async request (holder: string, req: QuotaRequest): Promise<QuotaLoan | undefined> {
    const { pool, localId } = this._options
    if (holder === localId) return this.lend(req)
    return await pool.call(holder, { subject: req.workspace, timeoutMs: QUOTA_TIMEOUT_MS }, async (procedures, options) => {
      return await procedures.lendQuota.mutate(req, options)
    })
  }

  /** Lends tokens, if this gateway holds a share of the quota. */
  lend (req: QuotaRequest): QuotaLoan {
    return this._options.holder.lend(req)
  }
}
