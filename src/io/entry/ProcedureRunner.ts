import { setTimeout as sleep } from 'node:timers/promises'
import type { CallEffect, CallEvent, Claim, Dispatch, Reply, RunResult } from '../../core/call/index.js'
import type { Rows } from '../../core/platform/index.js'
import { ASSUMED_MS_PER_TOKEN, PREFILL_MS_PER_TOKEN } from '../../core/routing/index.js'
import { getSessionKey, type SessionRow } from '../../core/session/index.js'
import { ResponseRelay } from './ResponseRelay.js'
import type { CallerStream } from './CallerStream.js'
import type { EntryState } from './EntryState.js'

/** Options of {@link ProcedureRunner}. */
export interface ProcedureRunnerOptions {
  readonly state: EntryState
  readonly session: string
  /** Stream to the caller; undefined when the response is sent whole after its completion. */
  readonly stream?: CallerStream | undefined
  readonly onReply: (reply: Reply) => void
}

/** Performs the effects of one procedure and resumes it with the resulting events. */
export class ProcedureRunner {
  private readonly _options: ProcedureRunnerOptions
  private _rows: Rows = new Map()
  private _dispatchedTarget: string | undefined

  constructor (options: ProcedureRunnerOptions) {
    this._options = options
  }

  /** Runs a procedure to completion. */
  async run (procedure: Generator<CallEffect, void, CallEvent>): Promise<void> {
    try {
      let next = procedure.next()
      while (next.done !== true) next = procedure.next(await this._perform(next.value))
    } finally {
      this._recordCompletion()
    }
  }

  private async _perform (effect: CallEffect): Promise<CallEvent> {
    switch (effect.type) {
      case 'read':
        return await this._read(effect.keys)
      case 'read-history':
        return await this._readHistory()
      case 'commit':
        return { type: 'commit-result', result: await this._options.state.commits.commit(effect.transaction, effect.deadline) }
      case 'dispatch':
        return await this._dispatch(effect.dispatch)
      case 'attach':
        return await this._attach(effect.claim)
      case 'locate':
        return await this._locate(effect.claim, effect.cancelIfAbsent)
      case 'collect':
        return await this._collect(effect.claim)
      case 'acknowledge':
        this._acknowledge(effect.claim)
        return { type: 'done' }
      case 'release':
        this._release(effect.session, effect.targets)
        return { type: 'done' }
      case 'wait':
        await sleep(effect.ms)
        return { type: 'done' }
      case 'reply':
        this._options.onReply(effect.reply)
        return { type: 'done' }
    }
  }

  private async _read (keys: readonly string[]): Promise<CallEvent> {
    try {
      this._rows = await this._options.state.reader.read(keys)
      return { type: 'rows', rows: this._rows }
    } catch {
      this._options.state.metrics.addRetry('store-error')
      return { type: 'unavailable' }
    }
  }

  private async _readHistory (): Promise<CallEvent> {
    const session = this._rows.get(getSessionKey(this._options.session))?.value as SessionRow | undefined
    if (session === undefined) return { type: 'history', messages: [] }
    return await this._options.state.histories.get(session)
  }

  private async _dispatch (dispatch: Dispatch): Promise<CallEvent> {
    const { claim } = dispatch
    const client = this._options.state.pool.get(claim.target)
    if (client === undefined) return { type: 'lost' }
    this._recordDispatch(claim.target)
    const event = await this._createRelay(claim).run(async () => await client.dispatch(dispatch), 0)
    if (event.type === 'refused' && event.reason === 'leaving') this._options.state.directory.recordLeaving(claim.target)
    return event
  }

  private async _attach (claim: Claim): Promise<CallEvent> {
    const client = this._options.state.pool.get(claim.target)
    if (client === undefined) return { type: 'lost' }
    const offset = this._options.stream?.getOffset(claim.attempt) ?? 0
    return await this._createRelay(claim).run(async () => await client.attach(claim, offset), offset)
  }

  private _createRelay (claim: Claim): ResponseRelay {
    const { state, stream } = this._options
    return new ResponseRelay({
      client: state.pool.get(claim.target)!,
      claim,
      stream,
      onRetry: reason => { state.metrics.addRetry(reason) },
      onLoad: load => { state.directory.recordLoad(claim.target, load, state.clock.now()) }
    })
  }

  private async _locate (claim: Claim, cancelIfAbsent: boolean): Promise<CallEvent> {
    const { state } = this._options
    const { attempt, incarnation, claimedAt } = claim
    try {
      const client = state.pool.get(claim.target)
      const located = await client?.control.locate.mutate({ attempt, incarnation, claimedAt, cancelIfAbsent })
      return located === undefined ? { type: 'unavailable' } : { type: 'located', state: located.state }
    } catch {
      if (state.directory.recordFailure(claim.target, state.clock.now())) state.metrics.ejections.inc()
      return { type: 'unavailable' }
    }
  }

  private async _collect (claim: Claim): Promise<CallEvent> {
    const { state } = this._options
    try {
      const collected = await state.pool.get(claim.target)?.control.collect.mutate({ attempt: claim.attempt })
      if (collected?.result === undefined) return { type: 'unavailable' }
      state.directory.recordLoad(claim.target, collected.load, state.clock.now())
      this._recordResult(claim, collected.result)
      return { type: 'collected', result: collected.result }
    } catch {
      return { type: 'unavailable' }
    }
  }

  private _acknowledge (claim: Claim): void {
    // A lost acknowledgement only delays the removal of the response from the sidecar's memory until its retention period ends.
    this._options.state.pool.get(claim.target)?.control.acknowledge.mutate({ attempts: [claim.attempt] }).catch(() => {})
  }

  private _release (session: string, targets: readonly string[]): void {
    // If the release is lost, the hold is released when its lease at the sidecar expires.
    for (const target of targets) this._options.state.pool.get(target)?.control.release.mutate({ session }).catch(() => {})
  }

  private _recordDispatch (target: string): void {
    this._recordCompletion()
    this._dispatchedTarget = target
    this._options.state.directory.recordDispatch(target)
  }

  private _recordCompletion (): void {
    if (this._dispatchedTarget !== undefined) this._options.state.directory.recordCompletion(this._dispatchedTarget)
    this._dispatchedTarget = undefined
  }

  private _recordResult (claim: Claim, result: RunResult): void {
    const { directory, clock, metrics } = this._options.state
    this._recordCompletion()
    if (result.outcome === 'complete' || result.outcome === 'cut') {
      const uncached = result.promptTokens - result.cachedTokens
      const expected = Math.max(1, result.answer.tokens) * ASSUMED_MS_PER_TOKEN + uncached * PREFILL_MS_PER_TOKEN
      directory.recordRun(claim.target, result.endedAt - result.startedAt, expected, clock.now())
    } else if (directory.recordFailure(claim.target, clock.now())) {
      metrics.ejections.inc()
    }
  }
}
