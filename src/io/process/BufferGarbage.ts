import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Bytes read or written between two checks. */
const CHECK_BYTES = 1_048_576

/** Bytes of garbage at which young objects are collected; V8 by itself lets about 64 MB gather, a third of a small machine. */
const MAX_GARBAGE_BYTES = 8_388_608

/** Bytes of garbage at which all objects are collected, because the young ones were not enough. */
const MAX_OLD_GARBAGE_BYTES = 16_777_216

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
  /** Fewest bytes of buffers without a known use since the last collection of all objects: caches and the like, which are no garbage. */
  private _keptBytes = 0

  constructor (options: BufferGarbageOptions) {
    this._options = options
    this._collect = options.collect ?? createCollect()
  }

  /** Records bytes that were read or written. */
  add (bytes: number): void {
    this._bytes += bytes
    if (this._bytes < CHECK_BYTES) return
    this._bytes = 0
    const { getUsedBytes, getBufferBytes = () => process.memoryUsage().arrayBuffers } = this._options
    const unusedBytes = Math.max(0, getBufferBytes() - getUsedBytes())
    this._keptBytes = Math.min(this._keptBytes, unusedBytes)
    const garbageBytes = unusedBytes - this._keptBytes
    // V8 frees the buffers of collected objects a little later, so the effect of a collection shows at the next check.
    if (garbageBytes >= MAX_OLD_GARBAGE_BYTES) {
      this._collect()
      this._keptBytes = unusedBytes
    } else if (garbageBytes >= MAX_GARBAGE_BYTES) this._collect({ type: 'minor' })
  }
}

function createCollect (): Collect {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as Collect
}
