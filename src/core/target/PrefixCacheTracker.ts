import type { PromptSegment } from '../forward/index.js'

/** Segments tracked for one target; the least recently used ones are evicted, as in the cache of the target itself. */
export const MAX_TRACKED_SEGMENTS = 2_000

/** Tracks how many tokens of each prompt segment a target has probably cached: the segment of a session grows with every turn. */
export class PrefixCacheTracker {
  /** Tokens by segment id. */
  private readonly _tokens = new Map<string, number>()

  /** Adds the segments of a prompt that was sent to the target or that the target lists as cached. */
  add (segments: readonly PromptSegment[]): void {
    for (const { id, tokens } of segments) {
      const previous = this._tokens.get(id) ?? 0
      this._tokens.delete(id)
      this._tokens.set(id, Math.max(previous, tokens))
    }
    while (this._tokens.size > MAX_TRACKED_SEGMENTS) {
      const [oldest] = this._tokens.keys()
      this._tokens.delete(oldest!)
    }
  }

  /** Gets the number of tokens at the beginning of a prompt that the target has probably still cached. */
  getCachedTokens (segments: readonly PromptSegment[]): number {
    let cached = 0
    for (const { id, tokens } of segments) {
      const cachedOfSegment = Math.min(tokens, this._tokens.get(id) ?? 0)
      cached += cachedOfSegment
      if (cachedOfSegment < tokens) break
    }
    return cached
  }
}
