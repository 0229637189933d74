/** End of a head, and of the last chunk of a body. */
const HEAD_END = Buffer.from('\r\n\r\n')

/** Fewest bytes of a piece of a body in chunks: it may contain the end of a head anywhere, and each piece costs a call of the parser. */
const MIN_CHUNKED_PIECE_BYTES = 256

/** Most bytes of a piece of a body in chunks, so that connections with very many small chunks take turns. */
const MAX_CHUNKED_PIECE_BYTES = 4_096

/** What the bytes that follow belong to: a head, a body of a number of bytes, or a body in chunks. */
export type Expected = 'head' | 'chunks' | number

/** Received bytes that are given to a parser in pieces, each of which completes at most one request, or few after a body in chunks. */
export class RequestPieces {
  private _chunks: Buffer[] = []
  private _offset = 0
  private _length = 0
  /** Last bytes of an incomplete head. */
  private _tail = Buffer.alloc(0)

  /** Gets the bytes that were received and not taken. */
  get length (): number {
    return this._length
  }

  /** Adds received bytes. */
  add (chunk: Buffer): void {
    this._chunks.push(chunk)
    this._length += chunk.length
  }

  /** Takes the next piece; undefined if there is none. */
  take (expected: Expected): Buffer | undefined {
    const chunk = this._chunks[0]
    if (chunk === undefined) return undefined
    const isChunked = expected === 'chunks'
    const end = typeof expected === 'number'
      ? Math.min(chunk.length, this._offset + expected)
      : Math.min(this._findHeadEnd(chunk, isChunked), isChunked ? this._offset + MAX_CHUNKED_PIECE_BYTES : chunk.length)
    const piece = chunk.subarray(this._offset, end)
    this._length -= piece.length
    this._offset = end
    if (end === chunk.length) {
      this._chunks.shift()
      this._offset = 0
    }
    const last = Buffer.concat([this._tail, piece.subarray(1 - HEAD_END.length)])
    this._tail = typeof expected === 'number' || piece.subarray(-HEAD_END.length).equals(HEAD_END) ? Buffer.alloc(0) : last.subarray(1 - HEAD_END.length)
    return piece
  }

  /** Drops everything. */
  clear (): void {
    this._chunks = []
    this._offset = this._length = 0
  }

  private _findHeadEnd (chunk: Buffer, isChunked: boolean): number {
    const joined = Buffer.concat([this._tail, chunk.subarray(this._offset, this._offset + HEAD_END.length - 1)])
    const atJoin = joined.indexOf(HEAD_END)
    if (atJoin !== -1) return this._offset + atJoin + HEAD_END.length - this._tail.length
    const at = chunk.indexOf(HEAD_END, this._offset + (isChunked ? MIN_CHUNKED_PIECE_BYTES : 0))
    return at === -1 ? chunk.length : at + HEAD_END.length
  }
}
