/** Milliseconds for which an answer shows that a request crashes no targets; less than the time in which one that does is to be stopped. */
export const ANSWERED_MS = 2_000

/** Milliseconds for which an answer shows that bodies with a common beginning crash no targets because of it. */
export const OPENING_ANSWERED_MS = 600_000

/** Maximum number of requests that are kept; the oldest are evicted. */
const MAX_ANSWERED = 10_000

/**
 * Remembers which requests targets have answered lately.
 *
 * A popular request is in progress at most targets that go down, whatever ends them, and is answered all the time; one that crashes targets
 * never is.
 */
export class AnsweredRequests {
  private readonly _answeredAt = new Map<string, number>()
  private readonly _retentionMs: number

  /** @param options.retentionMs - Milliseconds for which an answer is remembered. */
  constructor ({ retentionMs = ANSWERED_MS }: { readonly retentionMs?: number } = {}) {
    this._retentionMs = retentionMs
  }

  /** Records that a target has answered a request, at a time by the steady clock. */
  record (digest: string, now: number): void {
    // The latest is moved to the end, so that the oldest come first.
    this._answeredAt.delete(digest)
    this._answeredAt.set(digest, now)
    for (const [oldest, at] of this._answeredAt) {
      if (this._answeredAt.size <= MAX_ANSWERED && now - at < this._retentionMs) break
      this._answeredAt.delete(oldest)
    }
  }

  /** Checks whether a target has answered a request lately. */
  has (digest: string, now: number): boolean {
    return now - (this._answeredAt.get(digest) ?? -Infinity) < this._retentionMs
  }
}
