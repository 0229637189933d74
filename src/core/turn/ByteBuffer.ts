/** Bytes that are allocated at first. */
const INITIAL_BYTES = 1_024

/** Options of {@link ByteBuffer}. */
export interface ByteBufferOptions {
  /** Largest number of bytes that are expected, so that no more are allocated in advance. */
  readonly maxBytes?: number
}

/** Collects bytes in one growing block, so that the memory used depends on their number and not on the size of the pieces. */
export class ByteBuffer {
  private _block = Buffer.alloc(0)
  private _length = 0
  private readonly _maxBytes: number

  constructor (options: ByteBufferOptions = {}) {
    this._maxBytes = options.maxBytes ?? Infinity
  }

  /** Gets the number of bytes. */
  get length (): number {
    return this._length
  }

  /** Appends a copy of bytes. */
  append (bytes: Uint8Array): void {
    const length = this._length + bytes.length
    if (length > this._block.length) this._grow(length)
    this._block.set(bytes, this._length)
    this._length = length
  }

  /** Gets a view of the bytes, which is valid until more are appended. */
  getView (): Buffer {
    return this._block.subarray(0, this._length)
  }

  /** Removes the bytes and returns them without a copy. */
  take (): Buffer {
    const bytes = this.getView()
    this._block = Buffer.alloc(0)
    this._length = 0
    return bytes
  }

  private _grow (length: number): void {
    const block = Buffer.allocUnsafe(Math.max(length, Math.min(Math.max(2 * this._block.length, INITIAL_BYTES), this._maxBytes)))
    this._block.copy(block, 0, 0, this._length)
    this._block = block
  }
}
