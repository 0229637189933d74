import type { AgeClock, Moment } from '../clock/index.js'

/** Milliseconds after the request for tokens for which they may be used: within a tenth of the window of 5 s in which they count. */
export const GRANT_TTL_MS = 400

/** Tokens that a holder has lent. */
export interface QuotaGrant {
  /** When they were requested. */
  readonly requestedAt: Moment
  /** Time by the steady clock from which they may be used. */
  readonly usableAt: number
  tokens: number
}

/** The borrowed tokens of one workspace. */
export class QuotaGrants {
  private readonly _ages: AgeClock
  private readonly _onExpired: (tokens: number) => void
  private _grants: QuotaGrant[] = []

  constructor (ages: AgeClock, onExpired: (tokens: number) => void = () => {}) {
    this._ages = ages
    this._onExpired = onExpired
  }

  /** Adds tokens that were requested at a moment and may be used in `waitMs` milliseconds. */
  add (requestedAt: Moment, tokens: number, waitMs: number): void {
    this._grants.push({ requestedAt, usableAt: this._ages.mark().at + waitMs, tokens })
    this._removeExpired()
  }

  /** Takes the token that expires first; undefined if none may be used now. */
  take (): QuotaGrant | undefined {
    this._removeExpired()
    const now = this._ages.mark().at
    const grant = this._grants.find(({ tokens, usableAt }) => tokens > 0 && usableAt <= now)
    if (grant !== undefined) grant.tokens--
    return grant
  }

  /** Returns a token whose request has not run; it is lost if it has expired. */
  giveBack (grant: QuotaGrant): void {
    grant.tokens++
    if (!this._grants.includes(grant)) this._onExpired(1)
  }

  /** Gets the number of tokens, those included that may be used only later, without those older than `maxAgeMs` milliseconds. */
  count (maxAgeMs = GRANT_TTL_MS): number {
    this._removeExpired()
    return this._grants.reduce((sum, { requestedAt, tokens }) => sum + (this._ages.getAgeMs(requestedAt) < maxAgeMs ? tokens : 0), 0)
  }

  /** Gets the time by the steady clock at which the next token may be used; Infinity if there is none. */
  getUsableAt (): number {
    this._removeExpired()
    return Math.min(...this._grants.map(({ tokens, usableAt }) => tokens > 0 ? usableAt : Infinity))
  }

  private _removeExpired (): void {
    const valid = this._grants.filter(({ requestedAt }) => this._ages.getAgeMs(requestedAt) < GRANT_TTL_MS)
    if (valid.length === this._grants.length) return
    const expired = this._grants.filter(grant => !valid.includes(grant)).reduce((sum, { tokens }) => sum + tokens, 0)
    this._grants = valid
    if (expired > 0) this._onExpired(expired)
  }
}
