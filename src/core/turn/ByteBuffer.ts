/** Bytes that are allocated at first. */
const INITIAL_BYTES = 1_024

/** Largest number of bytes that are allocated in advance; growing one block instead leaves as much garbage as it has bytes. */
const MAX_BLOCK_BYTES = 65_536

/** Options of {@link ByteBuffer}. */
export interface ByteBufferOptions {
  /** Largest number of bytes that are expected, so that no more are allocated in advance. */
  readonly maxBytes?: number
}

/** Collects bytes in a few blocks, so that the memory used depends on their number and not on the size of the pieces. */
export class ByteBuffer {
  private _fullBlocks: Buffer[] = []
  private _block = Buffer.alloc(0)
  /** Bytes of the last block that are used. */
  private _used = 0
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
    const fitting = Math.min(bytes.length, this._block.length - this._used)
    this._fill(bytes.subarray(0, fitting))
    if (fitting === bytes.length) return
    this._addBlock(bytes.length - fitting)
    this._fill(bytes.subarray(fitting))
  }

  /** Gets a view of the bytes, which is valid until more are appended. */
  getView (): Buffer {
    if (this._fullBlocks.length > 0) {
      this._block = Buffer.concat([...this._fullBlocks, this._block.subarray(0, this._used)])
      this._used = this._length
      this._fullBlocks = []
    }
    return this._block.subarray(0, this._length)
  }

  /** Removes the bytes and returns them, without a copy if they are in one block. */
  take (): Buffer {
    const bytes = this.getView()
    this._block = Buffer.alloc(0)
    this._used = 0
    this._length = 0
    return bytes
  }

  private _fill (bytes: Uint8Array): void {
    this._block.set(bytes, this._used)
    this._used += bytes.length
    this._length += bytes.length
  }

  private _addBlock (minBytes: number): void {
    if (this._used > 0) this._fullBlocks.push(this._block)
    const size = Math.min(Math.max(2 * this._block.length, INITIAL_BYTES), MAX_BLOCK_BYTES, this._maxBytes - this._length)
    this._block = Buffer.allocUnsafe(Math.max(minBytes, size))
    this._used = 0
  }
}
