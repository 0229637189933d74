import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import type { TablePeers } from '../peer/index.js'
import type { DecisionLog } from '../process/index.js'
import type { TableWatch } from './TableWatch.js'

/** Milliseconds between two reads at least: 84 gateways whose streams go on all the time read 840 times a second; the store takes 6,000. */
const READ_INTERVAL_MS = 100

/** Milliseconds without a response of the store after which peers are asked; it usually takes some 30 ms. */
const ASK_PEERS_MS = 100

/** Options of {@link ListConfirmation}. */
export interface ListConfirmationOptions {
  readonly watch: Pick<TableWatch, 'isConfirmedSince' | 'confirm' | 'applyRead'>
  readonly table: string
  readonly peers: Pick<TablePeers, 'read'>
  readonly clock: Clock
  readonly log: DecisionLog
  /** Checks whether the store is known to be unavailable, directly and through peers. */
  readonly isStoreUnavailable: () => boolean
}

/**
 * Confirms that the list of targets is the newest one before a stream goes on at a target; streams share the reads.
 *
 * A target may have started again under its id with another software version. While the connection to the store is silent, the watch
 * reports this only after its time-out, and the target's responses do not state its version. Peers that reach the store know at once.
 */
export class ListConfirmation {
  private readonly _options: ListConfirmationOptions
  /** The read that is due; undefined if none is, or it has begun. */
  private _next: Promise<boolean> | undefined
  private _startedAt = -Infinity

  constructor (options: ListConfirmationOptions) {
    this._options = options
  }

  /**
   * Awaits a read that begins from now on; returns whether the list may be used.
   *
   * In an outage that affects all gateways the list may be used as well, because no gateway can know a newer one.
   */
  async confirm (): Promise<boolean> {
    this._next ??= this._readNext()
    return await this._next
  }

  private async _readNext (): Promise<boolean> {
    const { clock } = this._options
    // Not skipped without a wait: the caller stores this call before the read begins.
    await sleep(Math.max(0, this._startedAt + READ_INTERVAL_MS - clock.now()))
    this._next = undefined
    this._startedAt = clock.now()
    return await this._read(this._startedAt)
  }

  private async _read (startedAt: number): Promise<boolean> {
    const { watch, table, peers, log, isStoreUnavailable } = this._options
    const direct = watch.confirm()
    const timer = new AbortController()
    await Promise.race([direct, sleep(ASK_PEERS_MS, undefined, { signal: timer.signal }).catch(() => {})])
    timer.abort()
    if (watch.isConfirmedSince(startedAt)) return true
    const read = await peers.read(table)
    if (read.type === 'read') watch.applyRead(read.snapshot, startedAt)
    else if (read.type === 'unreached') await direct
    const isConfirmed = watch.isConfirmedSince(startedAt)
    const isUsable = isConfirmed || read.type === 'away' || isStoreUnavailable()
    log.info('list-confirmed', { table, peers: read.type, isConfirmed, isUsable })
    return isUsable
  }
}
