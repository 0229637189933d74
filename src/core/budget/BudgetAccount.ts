import type { StoredRow } from '../platform/index.js'

/** Milliseconds for which a spent row is believed to be so; gateways give back what they do not need. */
export const SPENT_CACHE_MS = 1_000

/** What is known of a program's row; a program that was not met before most often has none. */
export type CachedRow = { readonly isKnown: true, readonly row: StoredRow | undefined } | { readonly isKnown: false }

/** What one gateway may spend for a program without asking the store. */
export class BudgetAccount {
  /** Time at which the account was last used, by the steady clock. */
  usedAt: number
  /** Lifetime of the target that ran the program's earlier turns, as the store's row says. */
  warmTarget: string | undefined
  /** The program's row as of this gateway's latest look or change, if nothing is known to have changed it without an answer. */
  row: CachedRow = { isKnown: true, row: undefined }
  private _granted = 0
  private _spent = 0
  private _reserved = 0
  private _hasRequestedGrant = false
  private _remaining = Infinity
  private _remainingReadAt = -Infinity
  /** Tokens that were given back without an answer: the row may still name them. */
  private _unconfirmed = 0
  /** Least tokens of a turn that the program's reserve does not cover any more. */
  private _minUncoveredTokens = Infinity

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

  /** Tells whether turns are under way. */
  isInUse (): boolean {
    return this._reserved > 0
  }

  /** Notes that a grant is asked for, so that the row's grants from now on belong to this account. */
  recordGrantRequest (): void {
    this._hasRequestedGrant = true
  }

  /**
   * Sets the tokens that the store's row grants to this gateway.
   *
   * @remarks What the row granted before this account asked belongs to an account that was forgotten, and counts as spent.
   */
  setGranted (tokens: number): void {
    if (!this._hasRequestedGrant) this._spent = tokens
    this._granted = tokens
  }

  /** Notes what the store's row has left to grant. */
  recordRemaining (tokens: number, now: number): void {
    this._remaining = tokens
    this._remainingReadAt = now
  }

  /** Tells whether a turn is known to be covered neither by this account nor by the store's row. */
  isCachedAsSpent (turnTokens: number, now: number): boolean {
    return now - this._remainingReadAt < SPENT_CACHE_MS && turnTokens - this.getAvailable() > this._remaining
  }

  /** Takes what is neither spent nor reserved out of the account, to be given back; returns the tokens. */
  beginReturn (): number {
    const tokens = Math.max(0, this.getAvailable())
    this._unconfirmed += tokens
    return tokens
  }

  /** Puts tokens back into the account that the store did not take. */
  cancelReturn (tokens: number): void {
    this._unconfirmed -= tokens
  }

  /** Gets the tokens that are neither spent nor reserved once a change of the row has settled what was given back. */
  getAvailableOnceConfirmed (): number {
    return this._granted - this._spent - this._reserved
  }

  /** Sets what the row grants after a change of the row by this gateway; an earlier one without an answer can no longer be made. */
  confirmGranted (tokens: number): void {
    this.setGranted(tokens)
    this._unconfirmed = 0
    this._remainingReadAt = -Infinity
  }

  /** Notes that the program's reserve does not cover a turn, for good. */
  recordReserveSpent (turnTokens: number): void {
    this._minUncoveredTokens = Math.min(this._minUncoveredTokens, turnTokens)
  }

  /** Tells whether the program's reserve is known not to cover a turn. */
  isReserveSpent (turnTokens: number): boolean {
    return turnTokens >= this._minUncoveredTokens
  }

  /** Reserves the most that a turn may spend, if it is available. */
  tryReserve (tokens: number): boolean {
    if (this.getAvailable() < tokens) return false
    this._reserved += tokens
    return true
  }

  /** Ends a reservation with what the turn did spend. */
  settle (reserved: number, spent: number): void {
    this._reserved -= reserved
    this._spent += spent
  }
}
