import type { Claim } from '../call/Claim.js'

/** State of a session. */
export const SessionState = { Open: 'open', Closed: 'closed' } as const
export type SessionState = typeof SessionState[keyof typeof SessionState]

/** Budget of a session: its limits and the amounts spent, reserved and lent. */
export interface BudgetAccount {
  /** Tokens that the session and its sub-agents may generate. */
  readonly tokens: number
  /** Calls that the session and its sub-agents may make. */
  readonly calls: number
  /** Time after which no call starts, in milliseconds since the Unix epoch. */
  readonly deadline: number
  readonly spentTokens: number
  readonly spentCalls: number
  /** Tokens reserved by the pending claim. */
  readonly reservedTokens: number
  /** Tokens lent to open sub-agents. */
  readonly lentTokens: number
  /** Calls lent to open sub-agents. */
  readonly lentCalls: number
}

/** The ledger row of a session, stored under `session/{id}`. */
export interface SessionRow {
  readonly id: string
  readonly workspace: string
  readonly program: string
  /** Id of the parent session, if this session is a sub-agent. */
  readonly parent?: string
  readonly state: SessionState
  readonly openedAt: number
  /** Number of claims so far. */
  readonly epoch: number
  /** Number of the next call that may be claimed; the first is 1. */
  readonly nextCall: number
  readonly budget: BudgetAccount
  readonly pending?: Claim
  /** Head of the hash chain over the history. */
  readonly head: string
  /** Number of characters in the history, for the estimate of prompt tokens. */
  readonly historyChars: number
  /** Digest of the last finished request, for the detection of loops. */
  readonly lastDigest: string
  /** Number of consecutive times that the last request was made. */
  readonly repeats: number
  /** Ids of open sub-agents. */
  readonly children: readonly string[]
  /** Ids of the target instances that may keep KV cache for the session; the most recent is last. */
  readonly targets: readonly string[]
}

/** Gets the table key of a session. */
export function getSessionKey (session: string): string {
  return `session/${session}`
}

/** Gets the table key of a turn. */
export function getTurnKey (session: string, call: number): string {
  return `turn/${session}/${call}`
}

/** Gets the tokens that may still be reserved or lent. */
export function getFreeTokens (budget: BudgetAccount): number {
  return budget.tokens - budget.spentTokens - budget.reservedTokens - budget.lentTokens
}

/** Gets the calls that may still be made or lent. */
export function getFreeCalls (budget: BudgetAccount): number {
  return budget.calls - budget.spentCalls - budget.lentCalls
}
