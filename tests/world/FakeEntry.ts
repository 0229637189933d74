import { CallProcedure, type CallEffect, type CallEvent, type CallProcedureOptions, type Claim, type Reply } from '../../src/core/call/index.js'
import { GroupCommitter, type Settlement } from '../../src/core/commit/index.js'
import { Trace } from '../../src/core/explain/index.js'
import { getHeadAfter, getFirstHead, toMessages, type TurnRow } from '../../src/core/history/index.js'
import { RetryBudget } from '../../src/core/limits/index.js'
import type { Instance, Rows, Transaction } from '../../src/core/platform/index.js'
import { CostSelector, TargetDirectory } from '../../src/core/routing/index.js'
import { getSessionContext, getSessionKey, getTurnKey, type SessionRow } from '../../src/core/session/index.js'
import type { FakeSidecar } from './FakeSidecar.js'
import type { FakeTable } from './FakeTable.js'
import type { Scheduler } from './Scheduler.js'

const HEARTBEAT_MS = 1_000
const CONTROL_TIMEOUT_MS = 1_000
const COMMIT_TICK_MS = 25

/** Options of a call that a test sets; the entry adds those of the process. */
export type CallOptions = Pick<CallProcedureOptions, 'ledger' | 'spec' | 'requestDigest' | 'session' | 'call'>

type Resume = (event: CallEvent) => void
type SidecarCallEffect = Extract<CallEffect, { type: 'dispatch' | 'attach' | 'locate' | 'collect' }>

/** Environment in which a fake entry runs. */
export interface EntryEnvironment {
  readonly scheduler: Scheduler
  readonly table: FakeTable
  readonly sidecars: ReadonlyMap<string, FakeSidecar>
  readonly log: (actor: string, line: string) => void
  /** Checks whether messages between two processes are delivered. */
  readonly isConnected: (a: string, b: string) => boolean
  readonly getRetryBudget: () => RetryBudget
}

/** Runs the real procedures and the real committer of an entry; the process can be stopped between any two effects. */
export class FakeEntry {
  readonly directory = new TargetDirectory()
  configVersion = 1
  private readonly _committer: GroupCommitter
  private readonly _commitCallbacks = new Map<number, (result: Settlement['result']) => void>()
  private readonly _selector: CostSelector
  private _nextCommit = 1
  private _isTickScheduled = false

  constructor (readonly id: string, private readonly _environment: EntryEnvironment, instances: readonly Instance[]) {
    this._committer = new GroupCommitter({ writerKey: `writer/${id}` })
    this._selector = new CostSelector({ directory: this.directory, region: 'zentral', failureDomain: 'luzern' })
    this.directory.setInstances(instances)
    this._sendHeartbeats()
  }

  /** Runs a call. */
  call (options: CallOptions, onReply: (reply: Reply) => void): void {
    const { scheduler, getRetryBudget } = this._environment
    const procedure = new CallProcedure({
      ...options,
      entry: this.id,
      selector: this._selector,
      retryBudget: getRetryBudget(),
      clock: scheduler.clock,
      trace: new Trace(scheduler.clock),
      isFirstSend: false,
      isCallerDisconnected: () => false,
      getContext: rows => getSessionContext(rows, options.session)
    })
    this.run(procedure.run(), options.session, onReply)
  }

  /** Runs any procedure. */
  run (procedure: Generator<CallEffect, void, CallEvent>, session: string, onReply: (reply: Reply) => void): void {
    let rows: Rows = new Map()
    const resume = (event: CallEvent): void => {
      if (event.type === 'rows') rows = event.rows
      const next = procedure.next(event)
      if (next.done === true) return
      // Each effect is a separate action, so that faults can be injected between any two.
      this._environment.scheduler.add(this.id, () => {
        this._environment.log(this.id, describeEffect(next.value))
        this._perform(next.value, session, rows, resume, onReply)
      })
    }
    this._environment.scheduler.add(this.id, () => { resume({ type: 'done' }) })
  }

  private _perform (effect: CallEffect, session: string, rows: Rows, resume: Resume, onReply: (reply: Reply) => void): void {
    switch (effect.type) {
      case 'read':
        return this._environment.table.read(
          this.id, effect.keys, found => { resume({ type: 'rows', rows: found }) }, () => { resume({ type: 'unavailable' }) }
        )
      case 'read-history':
        return this._readHistory(rows.get(getSessionKey(session))!.value as SessionRow, resume)
      case 'commit':
        return this._commit(effect.transaction, effect.deadline, result => { resume({ type: 'commit-result', result }) })
      case 'wait':
        return this._environment.scheduler.addTimer(this.id, effect.ms, () => { resume({ type: 'done' }) })
      case 'reply':
        onReply(effect.reply)
        return resume({ type: 'done' })
      case 'release':
        for (const target of effect.targets) this._send(target, sidecar => { sidecar.release(effect.session) })
        return resume({ type: 'done' })
      case 'acknowledge':
        this._send(effect.claim.target, sidecar => { sidecar.acknowledge(effect.claim.attempt) })
        return resume({ type: 'done' })
      default:
        return this._performAtSidecar(effect, resume)
    }
  }

  private _performAtSidecar (effect: SidecarCallEffect, resume: Resume): void {
    const claim = effect.type === 'dispatch' ? effect.dispatch.claim : effect.claim
    const timeoutMs = effect.type === 'dispatch' || effect.type === 'attach' ? undefined : CONTROL_TIMEOUT_MS
    const respond = this._createResponseHandler(
      claim, timeoutMs, effect.type === 'locate' || effect.type === 'collect' ? { type: 'unavailable' } : { type: 'lost' }, resume
    )
    this._send(claim.target, sidecar => {
      switch (effect.type) {
        case 'dispatch':
          this.directory.recordDispatch(claim.target)
          return sidecar.dispatch(
            effect.dispatch, this.id, this.configVersion, reason => { respond({ type: 'refused', reason }) }, () => { respond({ type: 'ended' }) }
          )
        case 'attach':
          return sidecar.attach(claim, () => { respond({ type: 'ended' }) })
        case 'locate':
          return respond({ type: 'located', state: sidecar.locate(claim, effect.cancelIfAbsent) })
        case 'collect': {
          const result = sidecar.collect(claim.attempt)
          return respond(result === undefined ? { type: 'unavailable' } : { type: 'collected', result })
        }
      }
    })
  }

  /** Creates a handler for the sidecar's response; a dead or unreachable sidecar or a time-out resumes with the failure event. */
  private _createResponseHandler (claim: Claim, timeoutMs: number | undefined, failureEvent: CallEvent, resume: Resume): Resume {
    const { scheduler, sidecars, isConnected } = this._environment
    const { actor } = sidecars.get(claim.target)!
    let isFinished = false
    const finish = (event: CallEvent): void => {
      if (isFinished) return
      isFinished = true
      resume(event)
    }
    const checkConnection = (): void => {
      if (isFinished) return
      if (timeoutMs !== undefined || scheduler.isDead(actor) || !isConnected(this.id, claim.target)) return finish(failureEvent)
      scheduler.addTimer(this.id, CONTROL_TIMEOUT_MS, checkConnection)
    }
    scheduler.addTimer(this.id, timeoutMs ?? CONTROL_TIMEOUT_MS, checkConnection)
    return event => {
      if (!isConnected(this.id, claim.target)) return
      scheduler.add(this.id, () => { finish(event) })
    }
  }

  private _send (target: string, deliver: (sidecar: FakeSidecar) => void): void {
    const sidecar = this._environment.sidecars.get(target)!
    if (!this._environment.isConnected(this.id, target)) return
    this._environment.scheduler.add(sidecar.actor, () => { deliver(sidecar) })
  }

  private _readHistory (session: SessionRow, resume: (event: CallEvent) => void): void {
    const keys: string[] = []
    for (let call = 1; call < session.nextCall; call++) keys.push(getTurnKey(session.id, call))
    this._environment.table.read(this.id, keys, rows => {
      const turns = keys.map(key => rows.get(key)!.value as TurnRow)
      const isIntact = getHeadAfter(getFirstHead(session.id), turns) === session.head
      resume(isIntact ? { type: 'history', messages: toMessages(turns) } : { type: 'history-damaged' })
    }, () => { resume({ type: 'unavailable' }) })
  }

  private _commit (transaction: Transaction, deadline: number, onResult: (result: Settlement['result']) => void): void {
    const id = this._nextCommit++
    this._commitCallbacks.set(id, onResult)
    this._committer.add({ id, transaction, deadline })
    this._runCommitter()
  }

  private _runCommitter (): void {
    const { scheduler, table } = this._environment
    const now = scheduler.clock.now()
    this._settle(this._committer.expire(now))
    const step = this._committer.next(now)
    if (step === undefined) return this._scheduleCommitterTick()
    const onNoResponse = (): void => {
      this._committer.onNoResponse(scheduler.clock.now())
      this._scheduleCommitterTick()
    }
    const settleAndContinue = (settlements: readonly Settlement[]): void => {
      this._settle(settlements)
      this._runCommitter()
    }
    if (step.type === 'read') table.read(this.id, step.keys, rows => { settleAndContinue(this._committer.onRead(rows)) }, onNoResponse)
    else table.commit(this.id, step.transaction, result => { settleAndContinue(this._committer.onResponse(result)) }, onNoResponse)
  }

  private _scheduleCommitterTick (): void {
    if (this._isTickScheduled || this._committer.getPendingCount() === 0) return
    this._isTickScheduled = true
    this._environment.scheduler.addTimer(this.id, COMMIT_TICK_MS, () => {
      this._isTickScheduled = false
      this._runCommitter()
    })
  }

  private _settle (settlements: readonly Settlement[]): void {
    for (const { id, result } of settlements) {
      this._commitCallbacks.get(id)?.(result)
      this._commitCallbacks.delete(id)
    }
  }

  private _sendHeartbeats (): void {
    const { scheduler, sidecars, isConnected } = this._environment
    for (const [id, sidecar] of sidecars) {
      if (!scheduler.isActive(sidecar.actor) || !isConnected(this.id, id)) continue
      sidecar.core.recordConfigVersion(this.configVersion)
      this.directory.recordLoad(id, sidecar.core.getLoad(), scheduler.clock.now())
    }
    scheduler.addTimer(this.id, HEARTBEAT_MS, () => { this._sendHeartbeats() })
  }
}

function describeEffect (effect: CallEffect): string {
  switch (effect.type) {
    case 'read':
      return `read ${effect.keys.filter(key => !key.startsWith('suspect/')).join(' ')}`
    case 'commit':
      return `commit ${effect.transaction.puts.map(describePut).join(', ')}`
    case 'dispatch':
      return `dispatch ${effect.dispatch.claim.attempt} to ${effect.dispatch.claim.target}, ${effect.dispatch.messages.length} messages`
    case 'locate':
      return `locate ${effect.claim.attempt} at ${effect.claim.target}${effect.cancelIfAbsent ? ', cancel if absent' : ''}`
    case 'attach':
    case 'collect':
    case 'acknowledge':
      return `${effect.type} ${effect.claim.attempt} at ${effect.claim.target}`
    case 'release':
      return `release ${effect.session} at ${effect.targets.join(' ')}`
    case 'reply':
      return `reply ${describeReply(effect.reply)}`
    case 'wait':
      return `wait ${effect.ms} ms`
    case 'read-history':
      return effect.type
  }
}

function describePut (put: Transaction['puts'][number]): string {
  const value = put.value as Partial<SessionRow> | undefined
  if (value?.budget === undefined) return put.key.startsWith('suspect/') ? 'suspect' : put.key
  const pending = value.pending === undefined ? '' : `, pending ${value.pending.epoch}`
  return `${put.key} (${value.state}, next ${value.nextCall}, spent ${value.budget.spentTokens}, reserved ${value.budget.reservedTokens}${pending})`
}

function describeReply (reply: Reply): string {
  if (reply.type === 'refusal') return `refused: ${reply.refusal.reason}`
  if (reply.type === 'session') return `session ${reply.session.id} ${reply.session.state}`
  return `${reply.isReplay ? 'replayed' : 'answered'} call ${reply.turn.call}: ${reply.turn.answer.text.trim()}`
}
