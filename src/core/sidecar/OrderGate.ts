/** Milliseconds for which a sidecar that falls silent may still give orders to its target. */
export const ORDER_LEASE_MS = 8_000

/** Options of {@link OrderGate}. */
export interface OrderGateOptions {
  /** True when the target refuses an order with an old fencing number. */
  readonly checksOrders: boolean
  /** Time at which the sidecar started. */
  readonly startedAt: number
}

/**
 * Decides when a sidecar may give an order to its target; the configuration version is the fencing number.
 *
 * @remarks A target that checks fencing numbers protects itself. For one that does not, a new sidecar waits until the
 * lease of a possible predecessor has ended, and a sidecar that was paused for longer than its lease waits again.
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

  /** Notes that the process runs; a long gap means that it was paused. */
  tick (now: number): void {
    if (now - this._lastTick >= ORDER_LEASE_MS / 2) this._leaseStartedAt = now
    this._lastTick = now
  }

  /** Tells whether an order with a fencing number may be given now; the process must have ticked at this time. */
  mayIssue (fence: number, now: number): boolean {
    this.tick(now)
    if (fence <= this._lastFence) return false
    return this._checksOrders || now >= this._leaseStartedAt + ORDER_LEASE_MS
  }

  /** Notes that an order was given. */
  recordIssued (fence: number): void {
    this._lastFence = Math.max(this._lastFence, fence)
  }
}
