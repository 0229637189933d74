import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { REFUSALS, RETRIES, type RefusalReason, type RetryReason } from '../../core/reason/index.js'
import { SECONDS_BUCKETS } from '../sidecar/index.js'

/** Kinds of requests, used as label values. */
export const RequestKind = { Session: 'session', Call: 'call', Completion: 'completion', Service: 'service' } as const
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

/** Metrics of an entry. */
export class EntryMetrics {
  readonly registry = new Registry()
  private readonly _refusals = new Counter({
    name: 'wisteria_refusals_total', help: 'Requests refused, by reason.', labelNames: ['reason'], registers: [this.registry]
  })

  private readonly _retries = new Counter({
    name: 'wisteria_retries_total', help: 'Attempts and store operations tried again, by reason.', labelNames: ['reason'], registers: [this.registry]
  })

  private readonly _responses = new Counter({
    name: 'wisteria_answers_total', help: 'Requests answered, by kind.', labelNames: ['kind'], registers: [this.registry]
  })

  private readonly _firstToken = new Histogram({
    name: 'wisteria_first_token_seconds', help: 'Time from arrival to the first byte of a streamed answer.', buckets: SECONDS_BUCKETS, registers: [this.registry]
  })

  private readonly _session = new Histogram({
    name: 'wisteria_session_seconds',
    help: 'Time from the opening to the closing of a session.',
    buckets: [1, 5, 15, 60, 300, 900, 3_600, 14_400, 86_400],
    registers: [this.registry]
  })

  readonly ejections = new Counter({ name: 'wisteria_ejections_total', help: 'Targets ejected.', registers: [this.registry] })
  readonly batchSize = new Histogram({
    name: 'wisteria_commit_batch_size', help: 'Commits settled by one batch.', buckets: [1, 2, 5, 10, 20, 50, 100, 200], registers: [this.registry]
  })

  readonly configVersion = new Gauge({ name: 'wisteria_config_version', help: 'Version of the configuration in force.', registers: [this.registry] })
  readonly configAge = new Gauge({ name: 'wisteria_config_age_seconds', help: 'Time since the store confirmed the version.', registers: [this.registry] })
  readonly inProgress = new Gauge({ name: 'wisteria_requests_in_progress', help: 'Requests in progress.', registers: [this.registry] })
  readonly configFindings = new Counter({
    name: 'wisteria_config_findings_total', help: 'Stored configurations that failed their check.', registers: [this.registry]
  })

  constructor () {
    for (const reason of Object.keys(REFUSALS)) this._refusals.inc({ reason }, 0)
    for (const reason of Object.keys(RETRIES)) this._retries.inc({ reason }, 0)
    for (const kind of Object.values(RequestKind)) this._responses.inc({ kind }, 0)
  }

  /** Counts a refusal. */
  addRefusal (reason: RefusalReason): void {
    this._refusals.inc({ reason })
  }

  /** Counts a retry. */
  addRetry (reason: RetryReason): void {
    this._retries.inc({ reason })
  }

  /** Counts a response. */
  addResponse (kind: RequestKind): void {
    this._responses.inc({ kind })
  }

  /** Records the time to the first byte of a stream. */
  recordFirstToken (ms: number): void {
    this._firstToken.observe(ms / 1000)
  }

  /** Records the duration of a closed session. */
  recordSession (ms: number): void {
    this._session.observe(ms / 1000)
  }
}
