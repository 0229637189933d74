/** A request in progress, among those with the same content. */
export interface ContentUse {
  /** True if another request with the same content was in progress at some time during this one. */
  isShared: boolean
}

/**
 * Tracks which requests in progress have the same content.
 *
 * Requests with one content that are in progress at the same time come from several callers. When all targets go down together, that they
 * had it in common tells nothing.
 */
export class ContentsInProgress {
  private readonly _uses = new Map<string, Set<ContentUse>>()

  /** Adds a request; returns what is passed to {@link end} when the request is over or its caller has disconnected. */
  begin (content: string): ContentUse {
    let uses = this._uses.get(content)
    if (uses === undefined) this._uses.set(content, uses = new Set())
    const use: ContentUse = { isShared: uses.size > 0 }
    // Among several all are marked already.
    if (uses.size === 1) for (const other of uses) other.isShared = true
    uses.add(use)
    return use
  }

  /** Removes a request; further calls do nothing. */
  end (content: string, use: ContentUse): void {
    const uses = this._uses.get(content)
    if (uses?.delete(use) === true && uses.size === 0) this._uses.delete(content)
  }

  /** Gets the number of different contents in progress. */
  getSize (): number {
    return this._uses.size
  }
}
