import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { REFUSALS, type RefusalReason } from '../../core/reason/index.js'
import { AbortCause } from '../../core/sidecar/index.js'

/** Histogram buckets for durations, in seconds. */
export const SECONDS_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 300]

/** Metrics of a sidecar. */
export class SidecarMetrics {
  readonly registry = new Registry()
  private readonly _refusals = new Counter({
    name: 'wisteria_sidecar_refusals_total', help: 'Dispatches refused, by reason.', labelNames: ['reason'], registers: [this.registry]
  })

  private readonly _aborts = new Counter({
    name: 'wisteria_sidecar_aborts_total', help: 'Runs stopped at the target, by cause.', labelNames: ['cause'], registers: [this.registry]
  })

  private readonly _runs = new Counter({
    name: 'wisteria_sidecar_runs_total', help: 'Runs that ended, by outcome.', labelNames: ['outcome'], registers: [this.registry]
  })

  private readonly _queueWait = new Histogram({
    name: 'wisteria_sidecar_queue_wait_seconds', help: 'Time in the queue.', buckets: SECONDS_BUCKETS, registers: [this.registry]
  })

  private readonly _firstToken = new Histogram({
    name: 'wisteria_sidecar_first_token_seconds', help: 'Time from the start of a run to its first token.', buckets: SECONDS_BUCKETS, registers: [this.registry]
  })

  private readonly _betweenTokens = new Histogram({
    name: 'wisteria_sidecar_between_tokens_seconds', help: 'Mean time between the tokens of a run.', buckets: SECONDS_BUCKETS, registers: [this.registry]
  })

  private readonly _holdsReleased = new Counter({
    name: 'wisteria_sidecar_holds_released_total', help: 'Engine memory given up.', registers: [this.registry]
  })

  readonly tokens = new Counter({ name: 'wisteria_sidecar_tokens_total', help: 'Tokens generated.', registers: [this.registry] })
  readonly cachedTokens = new Counter({ name: 'wisteria_sidecar_cached_prompt_tokens_total', help: 'Prompt tokens found cached.', registers: [this.registry] })
  readonly promptTokens = new Counter({ name: 'wisteria_sidecar_prompt_tokens_total', help: 'Prompt tokens.', registers: [this.registry] })
  readonly running = new Gauge({ name: 'wisteria_sidecar_running', help: 'Requests running at the target.', registers: [this.registry] })
  readonly queued = new Gauge({ name: 'wisteria_sidecar_queued', help: 'Requests waiting.', registers: [this.registry] })

  constructor () {
    for (const reason of Object.keys(REFUSALS)) this._refusals.inc({ reason }, 0)
    for (const cause of Object.values(AbortCause)) this._aborts.inc({ cause }, 0)
  }

  /** Counts a refused dispatch. */
  addRefusal (reason: RefusalReason): void {
    this._refusals.inc({ reason })
  }

  /** Counts an aborted run. */
  addAbort (cause: AbortCause): void {
    this._aborts.inc({ cause })
  }

  /** Counts a released hold. */
  addRelease (): void {
    this._holdsReleased.inc()
  }

  /** Records the outcome and latencies of a completed run; a time of 0 means that the run didn't reach that stage. */
  recordRun (run: { outcome: string, queuedAt: number, startedAt: number, firstByteAt: number, endedAt: number, tokens: number }): void {
    this._runs.inc({ outcome: run.outcome })
    if (run.startedAt === 0) return
    this._queueWait.observe((run.startedAt - run.queuedAt) / 1000)
    if (run.firstByteAt === 0) return
    this._firstToken.observe((run.firstByteAt - run.startedAt) / 1000)
    if (run.tokens > 1) this._betweenTokens.observe((run.endedAt - run.firstByteAt) / (run.tokens - 1) / 1000)
  }
}
