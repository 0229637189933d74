/** Milliseconds for which a sidecar that no longer responds may still send orders to its target. */
export const ORDER_LEASE_MS = 8_000

/** Options of {@link OrderGate}. */
export interface OrderGateOptions {
  /** True if the target itself rejects an order with an outdated fencing token. */
  readonly checksOrders: boolean
  /** Time at which the sidecar started. */
  readonly startedAt: number
}

/**
 * Decides when a sidecar may send an order to its target, so that no order of a sidecar takes effect after one of its successor.
 *
 * @remarks The configuration version is the fencing token. A target that checks fencing tokens rejects outdated orders
 * itself. For a target that doesn't, a new sidecar waits until the lease of a possible predecessor has expired, and a
 * sidecar that was paused waits again.
 */
export class OrderGate {
  private readonly _checksOrders: boolean
  private _leaseStartedAt: number
  private _lastTick: number
  private _lastFence = 0

  constructor (options: OrderGateOptions) {
    this._checksOrders = options.checksOrders
    this._leaseStartedAt = options.startedAt
    this._lastTick = options.startedAt
  }

  /** Records that the process is running; a gap of at least half the lease means that it was paused, and restarts the wait. */
  tick (now: number): void {
    if (now - this._lastTick >= ORDER_LEASE_MS / 2) this._leaseStartedAt = now
    this._lastTick = now
  }

  /** Checks whether an order with the given fencing token may be sent now; also records that the process is running. */
  mayIssue (fence: number, now: number): boolean {
    this.tick(now)
    if (fence <= this._lastFence) return false
    return this._checksOrders || now >= this._leaseStartedAt + ORDER_LEASE_MS
  }

  /** Records that an order was sent, so that no order with the same or a lower fencing token follows it. */
  recordIssued (fence: number): void {
    this._lastFence = Math.max(this._lastFence, fence)
  }
}
