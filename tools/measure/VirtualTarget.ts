import type { Timeline } from './Timeline.js'

/** Milliseconds to prefill one uncached token. */
export const PREFILL_MS_PER_UNCACHED_TOKEN = 0.25

/** Milliseconds of one decoding step while a request runs alone. */
export const DECODE_STEP_MS = 18

/** Growth of a decoding step with each further request in the batch. */
export const BATCH_COST = 0.04

/** Tokens that are prefilled within one step. */
const PREFILL_CHUNK_TOKENS = 256

/** Milliseconds of one plain request. */
export const PLAIN_REQUEST_MS = 25

/** Tokens of prefixes that fit into the memory of one engine. */
const CACHE_TOKENS = 150_000

/** Work for a target. */
export interface Work {
  readonly session: string
  /** Tokens at the start of the prompt that all sessions of the program share. */
  readonly sharedTokens: number
  readonly promptTokens: number
  /** Prompt tokens that were computed before, at some target. */
  readonly reusableTokens: number
  /** Tokens that the answer has; nobody but the engine knows. */
  readonly outputTokens: number
  /** Tokens that the request allows. */
  readonly maxTokens: number
}

/** What is told about a run. */
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

/** The fake target: steps of a continuous batch, a bounded cache of prefixes, hidden slowdowns. */
export class VirtualTarget {
  /** Factor by which the target is slowed just now; nothing reports it. */
  slowdown = 1
  private readonly _cache = new Map<string, number>()
  private readonly _runs = new Map<string, Run>()
  private _cachedTokens = 0
  private _isStepping = false

  constructor (readonly id: string, readonly isEngine: boolean, private readonly _timeline: Timeline) {}

  /** Starts a run. */
  start (attempt: string, work: Work, listener: RunListener): void {
    if (!this.isEngine) return this._timeline.after(PLAIN_REQUEST_MS * this.slowdown, () => { listener.onEnd(0) })
    const shared = this._cache.has('shared') ? work.sharedTokens : 0
    const cachedTokens = Math.min(work.promptTokens, Math.max(this._cache.get(work.session) ?? 0, shared))
    this._runs.set(attempt, { work, cachedTokens, listener, remainingPrefillTokens: work.promptTokens - cachedTokens, remainingOutputTokens: work.outputTokens })
    if (!this._isStepping) this._step()
  }

  /** Stops a run; its listener hears the end. */
  abort (attempt: string): void {
    const run = this._runs.get(attempt)
    if (run === undefined) return
    this._runs.delete(attempt)
    run.listener.onEnd(run.cachedTokens)
  }

  /** Gives up the prefix of a session. */
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
