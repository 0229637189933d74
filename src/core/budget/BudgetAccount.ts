import type { StoredRow } from '../platform/index.js'

/** Milliseconds for which a spent row is cached; it may be outdated soon, because other gateways return grants that they do not need. */
export const SPENT_CACHE_MS = 1_000

/** A program's row as cached by this gateway; `isKnown` is false when the cached row may be outdated and has to be read again. */
export type CachedRow = { readonly isKnown: true, readonly row: StoredRow | undefined } | { readonly isKnown: false }

/** Tracks the tokens that one gateway may spend for a program without a call to the store. */
export class BudgetAccount {
  /** Time of the latest use of the account, by the steady clock. */
  usedAt: number
  /** Incarnation of the target that ran the program's earlier turns, according to the store's row. */
  warmTarget: string | undefined
  /** True if turns of the program have spent tokens, as far as this gateway knows. */
  hasEarlierTurns = false
  /**
   * The program's row after this gateway's latest read or commit; unknown after a call without a response, which may have changed it.
   *
   * @remarks Starts as an absent row, because most programs that are new to a gateway have none; if there is one, the commit conflicts.
   */
  row: CachedRow = { isKnown: true, row: undefined }
  private _granted = 0
  private _spent = 0
  private _reserved = 0
  private _hasRequestedGrant = false
  /** Tokens that the row could still grant when it was last found not to cover a turn. */
  private _remaining = Infinity
  private _remainingReadAt = -Infinity
  /** Tokens whose return is not confirmed by a response: the row may or may not grant them still, so they are not spent. */
  private _unconfirmed = 0
  private _isReserveSpent = false

  constructor (now: number) {
    this.usedAt = now
  }

  /** Gets the tokens granted so far. */
  getGranted (): number {
    return this._granted
  }

  /** Gets the tokens that are neither spent nor reserved. */
  getAvailable (): number {
    return this._granted - this._spent - this._reserved - this._unconfirmed
  }

  /** Checks whether turns are in progress. */
  isInUse (): boolean {
    return this._reserved > 0
  }

  /** Records that a grant is being requested, after which the grants in the row belong to this account. */
  recordGrantRequest (): void {
    this._hasRequestedGrant = true
  }

  /**
   * Sets the tokens that the store's row grants to this gateway.
   *
   * @remarks Tokens granted before this account's first request belong to an earlier account that was removed from memory, and count as
   * spent.
   */
  setGranted (tokens: number): void {
    if (!this._hasRequestedGrant) this._spent = tokens
    this._granted = tokens
  }

  /** Records the tokens that the store's row can still grant. */
  recordRemaining (tokens: number, now: number): void {
    this._remaining = tokens
    this._remainingReadAt = now
  }

  /** Checks whether, according to the cached remainder of the row, neither this account nor the row covers a turn. */
  isCachedAsSpent (turnTokens: number, now: number): boolean {
    return now - this._remainingReadAt < SPENT_CACHE_MS && turnTokens - this.getAvailable() > this._remaining
  }

  /** Removes the tokens that are neither spent nor reserved from the account, to return them to the store's row; gets their number. */
  beginReturn (): number {
    const tokens = Math.max(0, this.getAvailable())
    this._unconfirmed += tokens
    return tokens
  }

  /** Makes tokens available again whose return the store did not accept. */
  cancelReturn (tokens: number): void {
    this._unconfirmed -= tokens
  }

  /** Gets the tokens that are neither spent nor reserved once a commit of the row shows whether unconfirmed returns took effect. */
  getAvailableOnceConfirmed (): number {
    return this._granted - this._spent - this._reserved
  }

  /** Sets the granted tokens after this gateway's commit of the row; earlier commits without a response can no longer take effect. */
  confirmGranted (tokens: number): void {
    this.setGranted(tokens)
    this._unconfirmed = 0
    this._remainingReadAt = -Infinity
  }

  /** Records that the program's reserve is permanently spent. */
  recordReserveSpent (): void {
    this._isReserveSpent = true
  }

  /** Checks whether the program's reserve was recorded as spent. */
  isReserveSpent (): boolean {
    return this._isReserveSpent
  }

  /** Reserves the maximum tokens of a turn if they are available; returns whether they were. */
  tryReserve (tokens: number): boolean {
    if (this.getAvailable() < tokens) return false
    this._reserved += tokens
    return true
  }

  /** Ends a reservation and records the tokens that the turn spent. */
  settle (reserved: number, spent: number): void {
    this._reserved -= reserved
    this._spent += spent
    if (spent > 0) this.hasEarlierTurns = true
  }
}
