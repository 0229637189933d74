/** Bytes of an account up to which it may use the part of a budget that is reserved for small ones. */
export const SMALL_ACCOUNT_BYTES = 65_536

/** Share of a budget that large accounts leave to small ones, so that a few large requests do not refuse all others. */
const RESERVED_SHARE = 0.2

/** Options of {@link ByteBudget}. */
export interface ByteBudgetOptions {
  /** Largest number of bytes that may be held at the same time. */
  readonly maxBytes: number
  /** Largest number of bytes that the accounts of one owner may hold; as many as all without it. */
  readonly maxBytesPerOwner?: number
}

/** Limits the bytes that all requests and connections together hold in memory, and those of each owner, such as the address of a caller. */
export class ByteBudget {
  private readonly _maxBytes: number
  private readonly _maxBytesPerOwner: number
  private readonly _ownerBytes = new Map<string, number>()
  private _heldBytes = 0
  private _costBytes = 0

  constructor (options: ByteBudgetOptions) {
    this._maxBytes = options.maxBytes
    this._maxBytesPerOwner = options.maxBytesPerOwner ?? options.maxBytes
  }

  /** Creates the account of what one request or connection costs beside its buffers. */
  openCost (owner = ''): HeldBytes {
    return this._open(owner, bytes => { this._costBytes += bytes })
  }

  /** Creates the account of one request or connection, which holds nothing yet. */
  open (owner = ''): HeldBytes {
    return this._open(owner, () => {})
  }

  /** Gets the bytes that are held in buffers. */
  getBufferBytes (): number {
    return this._heldBytes - this._costBytes
  }

  private _open (owner: string, onChange: (bytes: number) => void): HeldBytes {
    let held = 0
    const change = (bytes: number): void => {
      held += bytes
      onChange(bytes)
      this._change(owner, bytes)
    }
    return {
      tryHold: bytes => {
        if (bytes > this._getFreeBytes(owner, held + bytes)) return false
        change(bytes)
        return true
      },
      set: bytes => { change(bytes - held) },
      hold: bytes => { change(bytes) },
      free: bytes => { change(-Math.min(bytes, held)) },
      release: () => { change(-held) },
      getBytes: () => held
    }
  }

  /** Creates a budget of a share of this one; what its accounts hold is not counted here. */
  createPart (share: number): ByteBudget {
    return new ByteBudget({ maxBytes: this._maxBytes * share })
  }

  /** Gets the bytes that are held. */
  getHeldBytes (): number {
    return this._heldBytes
  }

  /** Gets the bytes held beyond a share of the budget; 0 if there are none. */
  getExcessBytes (share: number): number {
    return Math.max(0, this._heldBytes - this._maxBytes * share)
  }

  private _getFreeBytes (owner: string, accountBytes: number): number {
    const share = accountBytes <= SMALL_ACCOUNT_BYTES ? 1 : 1 - RESERVED_SHARE
    return Math.min(this._maxBytes * share - this._heldBytes, this._maxBytesPerOwner - (this._ownerBytes.get(owner) ?? 0))
  }

  private _change (owner: string, bytes: number): void {
    this._heldBytes += bytes
    const ownerBytes = (this._ownerBytes.get(owner) ?? 0) + bytes
    if (ownerBytes === 0) this._ownerBytes.delete(owner)
    else this._ownerBytes.set(owner, ownerBytes)
  }
}

/** Bytes that one request or connection holds in memory. */
export interface HeldBytes {
  /** Holds further bytes if the budget covers them; returns whether it does. */
  readonly tryHold: (bytes: number) => boolean
  /** Holds further bytes that are in memory already, also beyond the budget. */
  readonly hold: (bytes: number) => void
  /** Sets the bytes held, also beyond the budget. */
  readonly set: (bytes: number) => void
  /** Releases some bytes. */
  readonly free: (bytes: number) => void
  /** Releases all bytes. */
  readonly release: () => void
  /** Gets the bytes held. */
  readonly getBytes: () => number
}
