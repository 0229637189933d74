/** Attempts that one call may make, the first one included. */
export const MAX_ATTEMPTS = 4

/** Times that a procedure reads its ledger before it gives up. */
export const MAX_ROUNDS = 24

/** Milliseconds for which a claim waits for the store. */
export const CLAIM_TIMEOUT_MS = 3_000

/** Milliseconds for which the end of an answer is held until the store has taken it. */
export const SETTLE_TIMEOUT_MS = 30_000

/** Milliseconds for which an unsettled answer is still offered to the store after its caller has been told. */
export const SETTLE_RETRY_MS = 600_000

/** Milliseconds between two questions about an attempt. */
export const LOCATE_INTERVAL_MS = 250

/** Milliseconds for which a repeatable attempt is searched before another one is made. */
export const LOCATE_MAX_WAIT_MS = 2_000

/** Milliseconds after which a ledger that has been read proves no more that a request did not run. */
export const LEDGER_MAX_AGE_MS = 1_000

/** Milliseconds in which a caller that marks its first sending does not send again. */
export const FIRST_SEND_WINDOW_MS = 5_000
