import type { PromptPart } from '../forward/index.js'

/** Parts remembered for one target; the least recently used ones yield, as at the target itself. */
export const MAX_REMEMBERED_PARTS = 2_000

/** Remembers which prompt parts this gateway sent to a target. */
export class PrefixMemory {
  private readonly _parts = new Set<string>()

  /** Notes that a prompt was read by the target. */
  add (parts: readonly PromptPart[]): void {
    for (const part of parts) {
      this._parts.delete(part.id)
      this._parts.add(part.id)
    }
    while (this._parts.size > MAX_REMEMBERED_PARTS) {
      const [oldest] = this._parts
      this._parts.delete(oldest!)
    }
  }

  /** Gets the tokens at the beginning of a prompt that the target probably still has. */
  getCachedTokens (parts: readonly PromptPart[]): number {
    let tokens = 0
    for (const part of parts) {
      if (!this._parts.has(part.id)) break
      tokens += part.tokens
    }
    return tokens
  }
}
