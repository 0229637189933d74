import { randomUUID } from 'node:crypto'
import type { Readable } from 'node:stream'
import { Right, type Either } from 'purify-ts'
import type { Dispatch } from '../../core/call/index.js'
import { Configuration, type ConfigRow, type SidecarSettings } from '../../core/config/index.js'
import type { RefusalReason } from '../../core/reason/index.js'
import { OrderGate, SidecarCore, type AbortCause, type LoadSample, type SidecarEffect } from '../../core/sidecar/index.js'
import type { TicketClaims } from '../../core/ticket/index.js'
import { SystemClock, type StateLogger } from '../process/index.js'
import { ResponseBuffer } from './ResponseBuffer.js'
import { EngineClient } from './EngineClient.js'
import { PlainClient } from './PlainClient.js'
import { SidecarMetrics } from './SidecarMetrics.js'
import { SidecarControl, type CollectResponse, type HeartbeatResponse, type LocateResponse } from './SidecarRouter.js'
import type { TargetClient } from './TargetClient.js'

/** Interval between two checks of deadlines and leases, in milliseconds. */
export const TICK_INTERVAL_MS = 100

/** Interval between two comparisons with the engine's list of holds, in milliseconds. */
export const RECONCILE_INTERVAL_MS = 3_000

/** Performs the effects of the sidecar core at the target and buffers the responses. */
export class SidecarService extends SidecarControl {
  readonly metrics = new SidecarMetrics()
  readonly incarnation = randomUUID()
  private readonly _settings: SidecarSettings
  private readonly _logger: StateLogger
  private readonly _clock = new SystemClock()
  private readonly _core: SidecarCore
  private readonly _orderGate: OrderGate
  private readonly _client: TargetClient
  private readonly _dispatches = new Map<string, Dispatch>()
  private readonly _responses = new Map<string, ResponseBuffer>()
  private readonly _abortControllers = new Map<string, AbortController>()
  private _config: ConfigRow | undefined
  private _isOrderInProgress = false

  constructor (settings: SidecarSettings, logger: StateLogger) {
    super()
    this._settings = settings
    this._logger = logger
    this._core = new SidecarCore({
      incarnation: this.incarnation,
      clock: this._clock,
      slots: settings.slots,
      shortSlots: settings.shortSlots,
      maxQueued: settings.maxQueued
    })
    this._orderGate = new OrderGate({ checksOrders: settings.checksOrders, startedAt: this._clock.now() })
    const options = { url: settings.target, connectTimeoutMs: settings.connectTimeoutMs }
    this._client = settings.kind === 'engine' ? new EngineClient(options) : new PlainClient(options)
  }

  /** Accepts a dispatch and returns the stream of its response, or refuses it; a refused dispatch is never started. */
  dispatch (claims: TicketClaims, dispatch: Dispatch): Either<RefusalReason, Readable> {
    const attempt = dispatch.claim.attempt
    return this._core.dispatch(claims, dispatch).chain(effects => {
      this._dispatches.set(attempt, dispatch)
      this._responses.set(attempt, new ResponseBuffer())
      this._perform(effects)
      return Right(this._responses.get(attempt)!.createReader(0))
    }).ifLeft(reason => { this.metrics.addRefusal(reason) })
  }

  /** Reopens the stream of a response at a byte offset. */
  attach (attempt: string, offset: number): Readable | undefined {
    return this._responses.get(attempt)?.createReader(offset)
  }

  heartbeat (configVersion: number): HeartbeatResponse {
    if (this._core.recordConfigVersion(configVersion)) this._logger.info('newer configuration version announced', { version: configVersion })
    return { load: this._core.getLoad(), documentsVersion: this._config?.version ?? 0 }
  }

  locate (attempt: string, incarnation: string, claimedAt: number, cancelIfAbsent: boolean): LocateResponse {
    const state = this._core.locate(attempt, incarnation, claimedAt, cancelIfAbsent)
    return { state, bytes: this._responses.get(attempt)?.getSize() ?? 0 }
  }

  collect (attempt: string): CollectResponse {
    return { result: this._core.getResult(attempt), load: this._core.getLoad() }
  }

  acknowledge (attempts: readonly string[]): void {
    for (const attempt of attempts) this._perform(this._core.acknowledge(attempt))
  }

  release (session: string): void {
    this._perform(this._core.release(session))
  }

  drain (): void {
    this._logger.info('draining', {})
    this._core.setLeaving()
  }

  setConfig (row: ConfigRow): void {
    if (row.version <= (this._config?.version ?? 0)) return
    this._config = row
    this._core.recordConfigVersion(row.version)
    this._logger.info('configuration in force', { version: row.version })
  }

  getConfig (): ConfigRow | undefined {
    return this._config
  }

  /** Gets the load sample that responses to entries carry. */
  getLoad (): LoadSample {
    return this._core.getLoad()
  }

  /** Checks whether no attempt is queued, running or waiting for its acknowledgement. */
  isDrained (): boolean {
    return this._core.isDrained()
  }

  /** Enforces deadlines and leases, updates the gauges and issues a due order. */
  tick (): void {
    this._orderGate.tick(this._clock.now())
    this._perform(this._core.tick())
    const load = this._core.getLoad()
    this.metrics.running.set(load.running)
    this.metrics.queued.set(load.queued)
    void this._issueOrder()
  }

  /** Releases holds at the engine that have no lease, for example after a lost release. */
  async reconcile (): Promise<void> {
    if (!(this._client instanceof EngineClient)) return
    try {
      this._perform(this._core.reconcile(await this._client.getHolds()))
    } catch {
      // The engine is down or busy; the next comparison finds the remaining holds.
    }
  }

  /** Closes the connections to the target. */
  async close (): Promise<void> {
    await this._client.close()
  }

  private _perform (effects: readonly SidecarEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'start':
          void this._run(effect.attempt)
          break
        case 'abort':
          this._abort(effect.attempt, effect.cause)
          break
        case 'ended':
          this._complete(effect.attempt)
          break
        case 'drop-answer':
          this._responses.delete(effect.attempt)
          break
        case 'release-hold':
          void this._releaseHold(effect.key)
      }
    }
  }

  private async _run (attempt: string): Promise<void> {
    const controller = new AbortController()
    this._abortControllers.set(attempt, controller)
    const termination = await this._client.run(this._dispatches.get(attempt)!, controller.signal, {
      getRemainingTokens: () => this._core.getRemainingTokens(attempt),
      onBytes: (bytes, tokens) => { this._appendBytes(attempt, bytes, tokens) }
    })
    this._abortControllers.delete(attempt)
    this._perform(this._core.onRunEnded(attempt, termination))
  }

  private _appendBytes (attempt: string, bytes: Buffer, tokens: number): void {
    const response = this._responses.get(attempt)
    if (response === undefined) return
    response.add(bytes)
    if (tokens > 0) {
      this.metrics.tokens.inc(tokens)
      this._perform(this._core.addTokens(attempt, tokens))
    }
    if (response.getSize() > this._settings.answerBytes) this._perform(this._core.abortForMemory(attempt))
  }

  private _abort (attempt: string, cause: AbortCause): void {
    this.metrics.addAbort(cause)
    this._abortControllers.get(attempt)?.abort()
  }

  private _complete (attempt: string): void {
    this._dispatches.delete(attempt)
    this._responses.get(attempt)?.end()
    const result = this._core.getResult(attempt)
    if (result === undefined) return
    this.metrics.recordRun({ ...result, tokens: result.answer.tokens })
    this.metrics.cachedTokens.inc(result.cachedTokens)
    this.metrics.promptTokens.inc(result.promptTokens)
  }

  private async _releaseHold (key: string): Promise<void> {
    if (!(this._client instanceof EngineClient)) return
    this.metrics.addRelease()
    // If the release is lost, the next comparison with the engine's list finds the hold.
    await this._client.releaseHold(key).catch(() => {})
  }

  private async _issueOrder (): Promise<void> {
    if (this._isOrderInProgress || this._config === undefined || !(this._client instanceof EngineClient)) return
    const { version } = this._config
    if (!this._orderGate.mayIssue(version, this._clock.now())) return
    const model = Configuration.parse(this._config).toMaybe().extract()?.getService(this._settings.service)?.model
    if (model === undefined) return
    this._isOrderInProgress = true
    const isAccepted = await this._client.order(model, version).catch(() => undefined)
    this._isOrderInProgress = false
    if (isAccepted === undefined) return
    this._orderGate.recordIssued(version)
    this._client.setModel(model)
    this._logger.info('order issued', { model, fence: version, isAccepted })
  }
}
