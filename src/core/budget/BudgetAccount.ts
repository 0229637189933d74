/** What one gateway may spend for a program without asking the store. */
export class BudgetAccount {
  /** Time at which the account was last used, by the steady clock. */
  usedAt: number
  /** Lifetime of the target that ran the program's earlier turns, as the store's row says. */
  warmTarget: string | undefined
  private _granted = 0
  private _spent = 0
  private _reserved = 0
  private _hasAsked = false
  private _left = Infinity
  /** Least tokens of a turn that the program's reserve does not cover any more. */
  private _reserveSpentAt = Infinity

  constructor (now: number) {
    this.usedAt = now
  }

  /** Gets the tokens granted so far. */
  getGranted (): number {
    return this._granted
  }

  /** Gets the tokens that are neither spent nor reserved. */
  getAvailable (): number {
    return this._granted - this._spent - this._reserved
  }

  /** Tells whether turns are under way. */
  isInUse (): boolean {
    return this._reserved > 0
  }

  /** Notes that a grant is asked for, so that the row's grants from now on belong to this account. */
  noteAsked (): void {
    this._hasAsked = true
  }

  /** Tells whether a grant was asked for; the row may then name one, though no answer said so. */
  hasAsked (): boolean {
    return this._hasAsked
  }

  /**
   * Sets the tokens that the store's row grants to this gateway.
   *
   * @remarks What the row granted before this account asked belongs to an account that was forgotten, and counts as spent.
   */
  setGranted (tokens: number): void {
    if (!this._hasAsked) this._spent = tokens
    this._granted = tokens
  }

  /** Notes what the store's row has left to grant; grants are not taken back, so it never has more. */
  noteLeft (tokens: number): void {
    this._left = Math.min(this._left, tokens)
  }

  /** Tells whether a turn is known to be covered neither by this account nor by the store's row. */
  isKnownSpent (turnTokens: number): boolean {
    return turnTokens - this.getAvailable() > this._left
  }

  /** Notes that the program's reserve does not cover a turn, for good. */
  noteReserveSpent (turnTokens: number): void {
    this._reserveSpentAt = Math.min(this._reserveSpentAt, turnTokens)
  }

  /** Tells whether the program's reserve is known not to cover a turn. */
  isReserveKnownSpent (turnTokens: number): boolean {
    return turnTokens >= this._reserveSpentAt
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
