import type { Timeline } from './Timeline.js'

/** Milliseconds of the prefill of one uncached token. */
export const PREFILL_MS_PER_UNCACHED_TOKEN = 0.25

/** Milliseconds of one decoding step with a single request in the batch. */
export const DECODE_STEP_MS = 18

/** Relative increase of the time of a decoding step with each further request in the batch. */
export const BATCH_COST = 0.04

/** Maximum number of tokens that one step prefills. */
const PREFILL_CHUNK_TOKENS = 256

/** Milliseconds of one plain request. */
export const PLAIN_REQUEST_MS = 25

/** Capacity of the prefix cache of one engine, in tokens. */
const CACHE_TOKENS = 150_000

/** Size of the work that a request causes at a target. */
export interface Work {
  readonly session: string
  /** Tokens of the prompt prefix that all sessions of the program share. */
  readonly sharedTokens: number
  readonly promptTokens: number
  /** Prompt tokens that any target has computed before. */
  readonly reusableTokens: number
  /** Tokens of the response; only the engine has this number, the policies do not. */
  readonly outputTokens: number
  /** Maximum number of output tokens of the request. */
  readonly maxTokens: number
}

/** Callbacks of a run. */
export interface RunListener {
  readonly onToken: () => void
  readonly onEnd: (cachedTokens: number) => void
}

interface Run {
  readonly work: Work
  readonly cachedTokens: number
  readonly listener: RunListener
  remainingPrefillTokens: number
  remainingOutputTokens: number
}

/** Simulates a target: an engine with continuous batching and a bounded prefix cache, or a plain service; both can be slowed down. */
export class VirtualTarget {
  /** Factor of the current slowdown; the target does not report it. */
  slowdown = 1
  private readonly _cache = new Map<string, number>()
  private readonly _runs = new Map<string, Run>()
  private _cachedTokens = 0
  private _isStepping = false

  constructor (readonly id: string, readonly isEngine: boolean, private readonly _timeline: Timeline) {}

  /** Starts a run; runs of a plain service take a constant time. */
  start (attempt: string, work: Work, listener: RunListener): void {
    if (!this.isEngine) return this._timeline.after(PLAIN_REQUEST_MS * this.slowdown, () => { listener.onEnd(0) })
    const shared = this._cache.has('shared') ? work.sharedTokens : 0
    const cachedTokens = Math.min(work.promptTokens, Math.max(this._cache.get(work.session) ?? 0, shared))
    this._runs.set(attempt, {
      work,
      cachedTokens,
      listener,
      remainingPrefillTokens: work.promptTokens - cachedTokens,
      remainingOutputTokens: work.outputTokens
    })
    if (!this._isStepping) this._step()
  }

  /** Aborts a run and calls the end callback of its listener. */
  abort (attempt: string): void {
    const run = this._runs.get(attempt)
    if (run === undefined) return
    this._runs.delete(attempt)
    run.listener.onEnd(run.cachedTokens)
  }

  /** Evicts the cached prefix of a session. */
  release (session: string): void {
    this._cachedTokens -= this._cache.get(session) ?? 0
    this._cache.delete(session)
  }

  private _step (): void {
    this._isStepping = this._runs.size > 0
    if (!this._isStepping) return
    const decoding = [...this._runs].filter(([, run]) => run.remainingPrefillTokens <= 0)
    const prefilling = [...this._runs.values()].find(run => run.remainingPrefillTokens > 0)
    const chunk = Math.min(PREFILL_CHUNK_TOKENS, prefilling?.remainingPrefillTokens ?? 0)
    const decodeMs = decoding.length === 0 ? 0 : DECODE_STEP_MS * (1 + BATCH_COST * (decoding.length - 1))
    this._timeline.after((decodeMs + chunk * PREFILL_MS_PER_UNCACHED_TOKEN) * this.slowdown, () => {
      if (prefilling !== undefined) prefilling.remainingPrefillTokens -= chunk
      for (const [attempt, run] of decoding) this._generateToken(attempt, run)
      this._step()
    })
  }

  private _generateToken (attempt: string, run: Run): void {
    if (!this._runs.has(attempt)) return
    run.remainingOutputTokens--
    run.listener.onToken()
    if (run.remainingOutputTokens > 0) return
    this._runs.delete(attempt)
    this._cachePrefix('shared', run.work.sharedTokens)
    this._cachePrefix(run.work.session, run.work.promptTokens + run.work.outputTokens)
    run.listener.onEnd(run.cachedTokens)
  }

  private _cachePrefix (key: string, tokens: number): void {
    this.release(key)
    this._cache.set(key, tokens)
    this._cachedTokens += tokens
    for (const [oldest] of this._cache) {
      if (this._cachedTokens <= CACHE_TOKENS) break
      this.release(oldest)
    }
  }
}
