import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { REFUSALS, RETRIES, type RefusalReason, type RetryReason } from '../../core/reason/index.js'

/** Buckets, in seconds, from a millisecond to the longest request. */
const SECONDS_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

/** Metrics of a gateway. */
export class GatewayMetrics {
  readonly registry = new Registry()
  private readonly _refusals = this._counter('wisteria_refusals_total', 'Requests refused, by reason.', ['reason'])
  private readonly _retries = this._counter('wisteria_retries_total', 'Attempts and store calls tried again, by reason.', ['reason'])
  private readonly _responses = this._counter('wisteria_answers_total', 'Answers of targets passed on, by kind of route and class of status.', ['kind', 'status'])
  private readonly _storeCalls = this._counter('wisteria_store_calls_total', 'Calls of the store, by call and result.', ['call', 'result'])
  private readonly _prompt = this._counter('wisteria_prompt_tokens_total', 'Prompt tokens sent to targets, by whether the target probably had them.', ['cached'])
  readonly callerDisconnects = this._counter('wisteria_caller_disconnects_total', 'Requests whose caller closed its connection before the answer was complete, by kind of route.', ['kind'])
  readonly fullConnections = this._counter('wisteria_connections_refused_total', 'Connections of callers refused before anything was read, by whether all or those of their address were in use.', ['cause'])
  readonly stalledConnections = this._counter('wisteria_connections_stalled_total', 'Connections of callers ended because they held much and moved little while memory was short, by what they waited for.', ['phase'])
  readonly ejections = this._counter('wisteria_ejections_total', 'Targets that get no work for a while.', [])
  readonly limitedSends = this._counter('wisteria_limited_sends_total', 'Requests sent to targets that limit their request rate.', [])
  readonly leavingNotices = this._counter('wisteria_leaving_notices_total', 'Targets that stated that they are leaving, by whether a response or a peer said so first.', ['source'])
  readonly failureNotices = this._counter('wisteria_failure_notices_total', 'Targets that count as doubtful because several gateways saw failures.', [])
  readonly secondAttempts = this._counter('wisteria_second_attempts_total', 'Requests sent to a second target while the first had not responded, by which one did, or that none was free.', ['outcome'])
  readonly admissions = this._counter('wisteria_admissions_total', 'Requests that waited for capacity of their service, by result.', ['result'])
  readonly retryPermits = this._counter('wisteria_retry_permits_total', 'Further attempts that asked the retry budget of their service, by result.', ['result'])
  readonly permits = this._counter('wisteria_permits_total', 'Permits requested for targets that limit their request rate, by result.', ['result'])
  readonly quotaRequests = this._counter('wisteria_quota_requests_total', 'Requests of workspaces with a quota, by whether they were admitted, beyond the quota, or no holder of it was reached.', ['outcome'])
  readonly quotaTokens = this._counter('wisteria_quota_tokens_total', 'Tokens of quotas borrowed, expired before a request used them, and returned by requests that did not run.', ['event'])
  readonly quotaCalls = this._counter('wisteria_quota_calls_total', 'Requests for tokens of a quota to its holders, this gateway included, by result.', ['result'])
  readonly quotaDebtWrites = this._counter('wisteria_quota_debt_writes_total', 'Writes of the debts that buckets of quotas may use, by result.', ['result'])
  readonly originLookups = this._counter('wisteria_origin_lookups_total', 'Streams whose callers sent another try, by where their origin was found.', ['source'])
  readonly streamSilences = this._counter('wisteria_stream_silences_total', 'Streams whose target sent no event for half of the time that callers wait, by whether another target took the stream over.', ['outcome'])
  readonly relayedCalls = this._counter('wisteria_store_calls_relayed_total', 'Calls of the store that went through a peer.', [])
  readonly loans = this._counter('wisteria_reserve_loans_total', 'Turns that asked for tokens of their program\'s reserve, by result.', ['result'])
  readonly droppedLines = this._counter('wisteria_log_lines_dropped_total', 'Log lines dropped because the reader was too slow.', [])
  readonly badRows = this._counter('wisteria_bad_rows_total', 'Rows of the store that could not be decoded, by table.', ['table'])
  readonly settingsChecks = this._counter('wisteria_settings_checks_total', 'Checks of the settings file, by result.', ['result'])
  readonly settingsUnusable = this._gauge('wisteria_settings_unusable', '1 while no gateway would start with the settings file as it is.')
  readonly settingsReplaced = this._gauge('wisteria_settings_replaced', 'Keys of the settings file whose values can not be used; defaults, or the values in force, are used instead.')
  readonly settingsPending = this._gauge('wisteria_settings_pending', 'Settings that have changed and are used from the next start.')
  readonly configVersion = this._gauge('wisteria_config_version', 'Version of the configuration in force.')
  readonly configReplaced = this._gauge('wisteria_config_replaced', 'Members of the configuration in force that can not be used, with defaults in their place.')
  readonly targets = this._gauge('wisteria_targets', 'Targets known.')
  readonly heldBytes = this._gauge('wisteria_held_bytes', 'Bytes that requests and connections of callers hold.')
  readonly openConnections = this._gauge('wisteria_connections', 'Open connections of callers.')
  readonly waiting = this._gauge('wisteria_requests_waiting', 'Requests that wait for capacity of a service.', ['service'])
  readonly inProgress = this._gauge('wisteria_requests_in_progress', 'Requests in progress.')
  private readonly _workspaceRequests = this._counter('wisteria_workspace_requests_total', 'Requests with a known key, by workspace and how they ended.', ['workspace', 'outcome'])
  private readonly _request = this._histogram('wisteria_request_seconds', 'Time from arrival to the end of the answer.', ['kind'])
  private readonly _firstByte = this._histogram('wisteria_first_byte_seconds', 'Time from arrival to the first byte of an answer in pieces.', ['kind'])
  private readonly _store = this._histogram('wisteria_store_seconds', 'Time of a call of the store.', ['call'])
  private readonly _originDelay = this._histogram('wisteria_origin_delay_seconds', 'Time from the first event of a stream until its origin was in the store, of the first stream of each transaction.', [])

  constructor () {
    for (const reason of Object.keys(REFUSALS)) this._refusals.inc({ reason }, 0)
    for (const reason of Object.keys(RETRIES)) this._retries.inc({ reason }, 0)
  }

  /** Counts how a request of a workspace ended; nothing without a workspace. The configuration bounds the names. */
  recordWorkspaceRequest (workspace: string | undefined, outcome: 'answered' | 'refused' | 'broken-off'): void {
    if (workspace !== undefined) this._workspaceRequests.inc({ workspace, outcome })
  }

  /** Counts a refusal. */
  addRefusal (reason: RefusalReason): void {
    this._refusals.inc({ reason })
  }

  /** Counts a retry. */
  addRetry (reason: RetryReason): void {
    this._retries.inc({ reason })
  }

  /** Records a response that was relayed completely. */
  recordResponse (kind: string, status: number, tookMs: number): void {
    this._responses.inc({ kind, status: `${Math.floor(status / 100)}xx` })
    this._request.observe({ kind }, tookMs / 1_000)
  }

  /** Records the time to the first byte of a response in chunks. */
  recordFirstByte (kind: string, tookMs: number): void {
    this._firstByte.observe({ kind }, tookMs / 1_000)
  }

  /** Records a call of the store. */
  recordStoreCall (call: string, result: string, tookMs: number): void {
    this._storeCalls.inc({ call, result })
    this._store.observe({ call }, tookMs / 1_000)
  }

  /** Records a transaction with origins of streams, by the time from the first event of its first stream until it was durable. */
  recordOriginsWritten (delayMs: number): void {
    this._originDelay.observe(delayMs / 1_000)
  }

  /** Records the prompt tokens of a dispatched request, by whether the target has probably cached them. */
  recordPrompt (cached: number, uncached: number): void {
    this._prompt.inc({ cached: 'yes' }, cached)
    this._prompt.inc({ cached: 'no' }, uncached)
  }

  private _counter (name: string, help: string, labelNames: string[]): Counter {
    return new Counter({ name, help, labelNames, registers: [this.registry] })
  }

  private _gauge (name: string, help: string, labelNames: string[] = []): Gauge {
    return new Gauge({ name, help, labelNames, registers: [this.registry] })
  }

  private _histogram (name: string, help: string, labelNames: string[]): Histogram {
    return new Histogram({ name, help, labelNames, buckets: SECONDS_BUCKETS, registers: [this.registry] })
  }
}
