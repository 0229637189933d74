import { Readable } from 'node:stream'

/** Buffers the bytes of one response; several readers can read it from any offset, also while it grows. */
export class ResponseBuffer {
  private readonly _chunks: Buffer[] = []
  private readonly _readers = new Set<() => void>()
  private _size = 0
  private _isEnded = false

  /** Gets the number of bytes added until now. */
  getSize (): number {
    return this._size
  }

  /** Appends bytes. */
  add (bytes: Buffer): void {
    this._chunks.push(bytes)
    this._size += bytes.length
    this._notifyReaders()
  }

  /** Marks the response as complete; the streams of readers end after its last byte. */
  end (): void {
    this._isEnded = true
    this._notifyReaders()
  }

  /** Creates a stream of the bytes from an offset; a slow reader needs no memory besides this buffer. */
  createReader (offset: number): Readable {
    let { index, skip } = this._seek(offset)
    let isReadPending = false
    const pushChunks = (): void => {
      while (isReadPending && index < this._chunks.length) {
        const chunk = this._chunks[index]!.subarray(skip)
        index++
        skip = 0
        if (chunk.length > 0) isReadPending = stream.push(chunk)
      }
      if (isReadPending && this._isEnded && index === this._chunks.length) {
        isReadPending = false
        stream.push(null)
      }
    }
    const readers = this._readers
    const stream = new Readable({
      read (): void {
        isReadPending = true
        pushChunks()
      },
      destroy (err, callback): void {
        readers.delete(pushChunks)
        callback(err)
      }
    })
    readers.add(pushChunks)
    return stream
  }

  private _notifyReaders (): void {
    for (const reader of [...this._readers]) reader()
  }

  private _seek (offset: number): { index: number, skip: number } {
    let index = 0
    let remaining = offset
    while (index < this._chunks.length && remaining >= this._chunks[index]!.length) {
      remaining -= this._chunks[index]!.length
      index++
    }
    return { index, skip: index < this._chunks.length ? remaining : 0 }
  }
}
