import type { PromptSegment } from '../forward/index.js'

/** Parts remembered for one target; the least recently used ones yield, as at the target itself. */
export const MAX_TRACKED_SEGMENTS = 2_000

/** Remembers which prompt parts a target has, and how much of each: the part of a session grows with every turn. */
export class PrefixCacheTracker {
  /** Tokens by part id. */
  private readonly _tokens = new Map<string, number>()

  /** Notes that a prompt was read by the target. */
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

  /** Gets the tokens at the beginning of a prompt that the target probably still has. */
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
