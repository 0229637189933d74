/** Largest number of attempts of one call, including the first. */
export const MAX_ATTEMPTS = 4

/** Largest number of times that a procedure reads its ledger before it refuses the call. */
export const MAX_ROUNDS = 24

/** Time-out of the commit of a claim, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 3_000

/** Milliseconds for which the end of a response is withheld from the caller until its settlement is committed. */
export const SETTLE_TIMEOUT_MS = 30_000

/** Milliseconds for which the settlement is retried after the caller was told that the response is not durable. */
export const SETTLE_RETRY_MS = 600_000

/** Milliseconds between two locate requests for an attempt. */
export const LOCATE_INTERVAL_MS = 250

/** Milliseconds for which a repeatable attempt is searched for before another one is made. */
export const LOCATE_MAX_WAIT_MS = 2_000

/** Milliseconds after which a ledger row that was read no longer proves that a request did not run. */
export const LEDGER_MAX_AGE_MS = 1_000

/** Milliseconds within which a caller that marks its first send does not resend the request. */
export const FIRST_SEND_WINDOW_MS = 5_000
