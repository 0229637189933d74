import type { AttemptState, Claim, Dispatch, RunResult } from '../../src/core/call/index.js'
import type { RefusalReason } from '../../src/core/reason/index.js'
import { SidecarCore, type SidecarEffect } from '../../src/core/sidecar/index.js'
import type { TicketClaims } from '../../src/core/ticket/index.js'
import { TicketPurpose, TicketSigner } from '../../src/core/ticket/index.js'
import type { FakeTarget, RecordedRun } from './FakeTarget.js'
import type { Scheduler } from './Scheduler.js'

const TICK_MS = 200
const RECONCILE_MS = 3_000
/** Milliseconds that one step of a run takes. */
const STEP_MS = 20
/** Milliseconds after which a crashed target is available again. */
const RESTART_MS = 1_000

/** Runs the real sidecar core with a fake target. */
export class FakeSidecar {
  core!: SidecarCore
  /** Name of the running process in the scheduler; a restart changes it. */
  actor = ''
  incarnation = ''
  slots = 4
  private readonly _signer = new TicketSigner({ keys: ['key'] })
  private _restarts = 0
  private readonly _endCallbacks = new Map<string, Array<() => void>>()
  private readonly _dispatches = new Map<string, Dispatch>()
  private readonly _aborted = new Set<string>()

  constructor (readonly id: string, readonly target: FakeTarget, private readonly _scheduler: Scheduler) {
    this.restart()
  }

  /** Kills the process if it is running, and starts a new one. */
  restart (): void {
    if (this.actor !== '') this._scheduler.kill(this.actor)
    this.incarnation = `${this.id}/${++this._restarts}`
    this.actor = this.incarnation
    this._endCallbacks.clear()
    this.core = new SidecarCore({ incarnation: this.incarnation, clock: this._scheduler.clock, slots: this.slots })
    this._repeat(TICK_MS, () => { this._perform(this.core.tick()) })
    this._repeat(RECONCILE_MS, () => { if (this.target.isUp) this._perform(this.core.reconcile(this.target.getHolds())) })
  }

  /** Receives a dispatch as over the network, with a signed ticket. */
  dispatch (
    dispatch: Dispatch, entry: string, configVersion: number, onRefused: (reason: RefusalReason) => void, onEnded: () => void
  ): void {
    const claims = this._createClaims(dispatch, entry, configVersion)
    this._signer.verify(this._signer.sign(claims), this._scheduler.clock.now())
      .chain(verifiedClaims => this.core.dispatch(verifiedClaims, dispatch))
      .caseOf({
        Left: onRefused,
        Right: effects => {
          this._dispatches.set(dispatch.claim.attempt, dispatch)
          this.attach(dispatch.claim, onEnded)
          this._perform(effects)
        }
      })
  }

  attach (claim: Claim, onEnded: () => void): void {
    const state = this.core.locate(claim.attempt, this.incarnation, claim.claimedAt, false)
    if (state !== 'queued' && state !== 'running') onEnded()
    else this._endCallbacks.set(claim.attempt, [...this._endCallbacks.get(claim.attempt) ?? [], onEnded])
  }

  locate (claim: Claim, cancelIfAbsent: boolean): AttemptState {
    return this.core.locate(claim.attempt, claim.incarnation, claim.claimedAt, cancelIfAbsent)
  }

  collect (attempt: string): RunResult | undefined {
    return this.core.getResult(attempt)
  }

  acknowledge (attempt: string): void {
    this._perform(this.core.acknowledge(attempt))
  }

  release (session: string): void {
    this._perform(this.core.release(session))
  }

  private _perform (effects: readonly SidecarEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'start') this._start(effect.attempt)
      else if (effect.type === 'abort') this._aborted.add(effect.attempt)
      else if (effect.type === 'release-hold') this.target.release(effect.key)
      else if (effect.type === 'ended') this._notifyEnded(effect.attempt)
    }
  }

  private _start (attempt: string): void {
    const dispatch = this._dispatches.get(attempt)!
    const { actor } = this
    if (!this.target.isUp) {
      const termination = this.target.createTermination('unreached', this.target.createRun(dispatch, 0), dispatch)
      return this._scheduler.addTimer(actor, STEP_MS, () => { this._perform(this.core.onRunEnded(attempt, termination)) })
    }
    const run = this.target.start(dispatch, this._scheduler.clock.now())
    const lastMessage = dispatch.messages.at(-1)?.content ?? dispatch.body
    if (lastMessage.includes('[crash]')) return this._crash(run, dispatch)
    this._scheduleStep(run, dispatch)
  }

  private _scheduleStep (run: RecordedRun, dispatch: Dispatch): void {
    const { actor } = this
    this._scheduler.addTimer(actor, STEP_MS, () => {
      if (dispatch.operation !== '' && dispatch.operation === this.target.hangingOperation && !this._aborted.has(run.attempt)) return this._scheduleStep(run, dispatch)
      const count = dispatch.kind === 'model' ? this.target.getNextTokenCount(run, dispatch) : 0
      if (count <= 0 || this._aborted.has(run.attempt)) return this._completeRun(run, dispatch)
      for (let token = 0; token < count && !this._aborted.has(run.attempt); token++) this._addToken(run)
      this._scheduleStep(run, dispatch)
    })
  }

  private _addToken (run: RecordedRun): void {
    run.tokens++
    run.text += `${run.ledgerKey.slice(-2)}.${run.call}.${run.tokens} `
    this._perform(this.core.addTokens(run.attempt, 1))
  }

  private _completeRun (run: RecordedRun, dispatch: Dispatch): void {
    if (dispatch.holdKey !== '' && dispatch.kind === 'model') this.target.holds.set(dispatch.holdKey, run.tokens)
    const type = this._aborted.has(run.attempt) ? 'aborted' : 'complete'
    this._perform(this.core.onRunEnded(run.attempt, this.target.createTermination(type, run, dispatch)))
  }

  private _crash (run: RecordedRun, dispatch: Dispatch): void {
    this.target.isUp = false
    this.target.holds.clear()
    this._scheduler.addTimer('platform', RESTART_MS, () => { this.target.isUp = true })
    const termination = this.target.createTermination('crashed', run, dispatch)
    this._scheduler.addTimer(this.actor, STEP_MS, () => { this._perform(this.core.onRunEnded(run.attempt, termination)) })
  }

  private _notifyEnded (attempt: string): void {
    for (const onEnded of this._endCallbacks.get(attempt) ?? []) onEnded()
    this._endCallbacks.delete(attempt)
  }

  private _repeat (ms: number, run: () => void): void {
    const { actor } = this
    const runAndReschedule = (): void => {
      run()
      this._scheduler.addTimer(actor, ms, runAndReschedule)
    }
    this._scheduler.addTimer(actor, ms, runAndReschedule)
  }

  private _createClaims (dispatch: Dispatch, entry: string, configVersion: number): TicketClaims {
    const { claim, ledgerKey } = dispatch
    const { attempt, epoch, incarnation, claimedAt } = claim
    return { purpose: TicketPurpose.Dispatch, entry, attempt, ledgerKey, epoch, incarnation, configVersion, issuedAt: claimedAt, bodyDigest: '' }
  }
}
