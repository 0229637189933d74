import { setTimeout as sleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import type { TableWatch } from './TableWatch.js'

/** Milliseconds between two reads at least: for any number of unknown keys, 84 gateways read 420 times a second; the store takes 6,000. */
const READ_INTERVAL_MS = 200

/** Options of {@link ConfigConfirmation}. */
export interface ConfigConfirmationOptions {
  readonly watch: Pick<TableWatch, 'isConfirmedSince' | 'confirm'>
  readonly clock: Clock
}

/** Confirms by a read that the configuration in force is the newest one; requests share the reads. */
export class ConfigConfirmation {
  private readonly _options: ConfigConfirmationOptions
  /** The read that is due; undefined if none is, or it has begun. */
  private _next: Promise<void> | undefined
  private _startedAt = -Infinity

  constructor (options: ConfigConfirmationOptions) {
    this._options = options
  }

  /** Checks whether a read that began at the given time or later has confirmed the configuration. */
  isConfirmedSince (time: number): boolean {
    return this._options.watch.isConfirmedSince(time)
  }

  /** Awaits a read that begins from now on; {@link isConfirmedSince} tells whether it has succeeded. */
  async confirm (): Promise<void> {
    this._next ??= this._readNext()
    await this._next
  }

  private async _readNext (): Promise<void> {
    const { watch, clock } = this._options
    // Not skipped without a wait: the caller stores this call before the read begins.
    await sleep(Math.max(0, this._startedAt + READ_INTERVAL_MS - clock.now()))
    this._next = undefined
    this._startedAt = clock.now()
    await watch.confirm()
  }
}
