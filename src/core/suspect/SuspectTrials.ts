import type { RowKey, StoredRow } from '../platform/index.js'
import { decodeTrialKey, decodeTrialRow, getTrialKey, type TrialRowContent } from './SuspectRows.js'

/** Milliseconds after which a trial ends without an outcome: a long request, and the time until the end of a target is known. */
export const TRIAL_MS = 10_000

/** A request that has crashed several targets, or may have, and is tried again, by its holder alone. */
export interface Trial {
  /** Names the trial; unique over all gateways. */
  readonly holder: string
  readonly digests: readonly string[]
}

/** A trial by any gateway. */
export interface KnownTrial extends TrialRowContent {
  /** Time that its row states, by the steady clock. */
  readonly startedAt: number
  /** Version of its row; 0 before it is stored. */
  readonly version: number
}

/** Tracks which requests are being tried again, at any gateway. */
export class SuspectTrials {
  private readonly _trials = new Map<string, KnownTrial>()

  /** Gets the holder of the trial of a request; undefined if there is none or its time is over. */
  getHolder (digest: string, now: number): string | undefined {
    const trial = this._trials.get(digest)
    return trial !== undefined && now - trial.startedAt < TRIAL_MS ? trial.holder : undefined
  }

  /** Gets the trial of a request, also one whose time is over; undefined if no row is known. */
  get (digest: string): KnownTrial | undefined {
    return this._trials.get(digest)
  }

  /** Gets the version of the row of a request's trial, also of one that is over; 0 if no row is known. */
  getVersion (digest: string): number {
    return this._trials.get(digest)?.version ?? 0
  }

  /** Sets the trial of a request. */
  set (digest: string, trial: KnownTrial): void {
    this._trials.set(digest, trial)
  }

  /** Applies a row that the store shows; returns whether it is one of a trial. */
  apply (row: StoredRow, startedAt: number): boolean {
    const digest = decodeTrialKey(row)
    if (digest === undefined) return false
    this._trials.set(digest, { ...decodeTrialRow(row.value), startedAt, version: row.version })
    return true
  }

  /** Removes the trial of a request. */
  remove (digest: string): void {
    this._trials.delete(digest)
  }

  /** Removes the trial whose row was removed. */
  removeRow (key: RowKey): void {
    const digest = decodeTrialKey(key)
    if (digest !== undefined) this._trials.delete(digest)
  }

  /** Removes the trials that the store does not show, except those that are not stored yet. */
  retainStored (keys: readonly RowKey[]): void {
    const shown = new Set(keys.map(({ key }) => key))
    for (const [digest, { version }] of this._trials) {
      if (version !== 0 && !shown.has(getTrialKey(digest).key)) this._trials.delete(digest)
    }
  }
}
