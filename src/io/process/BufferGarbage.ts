import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Bytes read or written between two checks. */
const CHECK_BYTES = 2_097_152

/** Bytes of buffers beyond those in use at which garbage is collected; V8 by itself lets about 64 MB gather, a third of a small machine. */
const MAX_GARBAGE_BYTES = 12_582_912

/** Bytes of buffers beyond those in use after a collection of young objects at which all are collected. */
const MAX_OLD_GARBAGE_BYTES = 25_165_824

type Collect = (options?: { readonly type: 'minor' }) => void

/** Options of {@link BufferGarbage}. */
export interface BufferGarbageOptions {
  /** Gets the bytes of buffers that are in use. */
  readonly getUsedBytes: () => number
  /** Collects garbage; that of V8 unless given. */
  readonly collect?: Collect
  /** Gets the bytes of all buffers of the process; unless given, as Node.js counts them. */
  readonly getBufferBytes?: () => number
}

/**
 * Bounds the memory of buffers that are no longer in use.
 *
 * V8 schedules its collections by the size of its own heap, in which a buffer of 64 KB takes a hundred bytes.
 */
export class BufferGarbage {
  private readonly _options: BufferGarbageOptions
  private readonly _collect: Collect
  private _bytes = 0

  constructor (options: BufferGarbageOptions) {
    this._options = options
    this._collect = options.collect ?? createCollect()
  }

  /** Records bytes that were read or written. */
  add (bytes: number): void {
    this._bytes += bytes
    if (this._bytes < CHECK_BYTES) return
    this._bytes = 0
    if (this._getGarbageBytes() < MAX_GARBAGE_BYTES) return
    this._collect({ type: 'minor' })
    if (this._getGarbageBytes() >= MAX_OLD_GARBAGE_BYTES) this._collect()
  }

  private _getGarbageBytes (): number {
    const { getUsedBytes, getBufferBytes = () => process.memoryUsage().arrayBuffers } = this._options
    return getBufferBytes() - getUsedBytes()
  }
}

function createCollect (): Collect {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as Collect
}
