/** Options of {@link ByteBudget}. */
export interface ByteBudgetOptions {
  /** Largest number of bytes that may be held at the same time. */
  readonly maxBytes: number
}

/** Limits the bytes that all requests together hold in memory. */
export class ByteBudget {
  private readonly _maxBytes: number
  private _heldBytes = 0

  constructor (options: ByteBudgetOptions) {
    this._maxBytes = options.maxBytes
  }

  /** Creates the account of one request. */
  open (): HeldBytes {
    let held = 0
    return {
      tryHold: bytes => {
        if (this._heldBytes + bytes > this._maxBytes) return false
        this._heldBytes += bytes
        held += bytes
        return true
      },
      release: () => {
        this._heldBytes -= held
        held = 0
      }
    }
  }

  /** Gets the bytes that are held. */
  getHeldBytes (): number {
    return this._heldBytes
  }
}

/** Bytes that one request holds in memory. */
export interface HeldBytes {
  /** Holds further bytes if the budget covers them; returns whether it does. */
  readonly tryHold: (bytes: number) => boolean
  /** Releases all bytes. */
  readonly release: () => void
}
