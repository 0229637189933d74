/** A request in progress, among those with the same input. */
export interface InputUse {
  /** True if another request with the same input was in progress at some time during this one. */
  isShared: boolean
}

/**
 * Tracks which requests in progress have the same input.
 *
 * A caller sends a request again after its earlier try. Requests with one input that are in progress at the same time belong to several
 * programs, so that a crash which they have in common tells nothing about the input.
 */
export class InputsInProgress {
  private readonly _uses = new Map<string, Set<InputUse>>()

  /** Adds a request; returns what is passed to {@link end} when the request is over or its caller has disconnected. */
  begin (input: string): InputUse {
    let uses = this._uses.get(input)
    if (uses === undefined) this._uses.set(input, uses = new Set())
    const use: InputUse = { isShared: uses.size > 0 }
    // Among several all are marked already.
    if (uses.size === 1) for (const other of uses) other.isShared = true
    uses.add(use)
    return use
  }

  /** Removes a request; further calls do nothing. */
  end (input: string, use: InputUse): void {
    const uses = this._uses.get(input)
    if (uses?.delete(use) === true && uses.size === 0) this._uses.delete(input)
  }

  /** Gets the number of different inputs in progress. */
  getSize (): number {
    return this._uses.size
  }
}
