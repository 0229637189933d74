import { getRequestDigest, KeyLedger, type CallSpec, type Reply } from '../../src/core/call/index.js'
import { closeSession, openSession, SessionLedger, SessionOpening } from '../../src/core/session/index.js'
import type { FakeEntry } from './FakeEntry.js'
import type { Simulation } from './Simulation.js'

/** One step of a caller's script. */
export type Step =
  | { readonly type: 'open', readonly session: string, readonly parent?: string, readonly tokens: number, readonly calls?: number }
  | { readonly type: 'model', readonly session: string, readonly call: number, readonly text: string, readonly maxTokens: number }
  | { readonly type: 'service', readonly session: string, readonly call: number, readonly operation: string, readonly repeatable: boolean }
  | { readonly type: 'request', readonly key: string, readonly operation: string, readonly body?: string }
  | { readonly type: 'close', readonly session: string }
  | { readonly type: 'pause', readonly ms: number }

/** A reply to a step of a script. */
export interface ReceivedReply {
  readonly step: Step
  readonly reply: Reply
}

/** Milliseconds without a reply after which a caller treats its connection as lost and resends, to another entry. */
const RESEND_TIMEOUT_MS = 8_000
const RETRY_DELAY_MS = 500
const MAX_SENDS_PER_STEP = 60

/** Reasons after which a caller does not resend. */
const FINAL_REASONS: ReadonlySet<string> = new Set([
  'outcome-unknown', 'budget-tokens', 'budget-calls', 'budget-time', 'loop-detected', 'quarantined', 'session-closed', 'session-unknown',
  'call-conflict', 'children-limit', 'history-damaged'
])

/** A caller that sends its script step by step and resends a step until it has a final reply. */
export class ScriptedCaller {
  readonly replies: ReceivedReply[] = []
  /** Steps that the caller has abandoned without a final reply. */
  readonly abandonedSteps: Step[] = []
  private _position = 0
  private _sendsOfStep = 0
  private _totalSends = 0
  private _currentSend = 0

  constructor (readonly workspace: string, private readonly _script: readonly Step[], private readonly _simulation: Simulation) {}

  isDone (): boolean {
    return this._position >= this._script.length
  }

  start (): void {
    this._simulation.scheduler.add(this._actor, () => { this._send() })
  }

  private get _actor (): string {
    return `caller/${this.workspace}`
  }

  private _send (): void {
    const step = this._script[this._position]
    if (step === undefined) return
    const { scheduler } = this._simulation
    if (step.type === 'pause') return scheduler.addTimer(this._actor, step.ms, () => { this._advance() })
    if (++this._sendsOfStep > MAX_SENDS_PER_STEP) {
      this.abandonedSteps.push(step)
      return this._advance()
    }
    const send = ++this._currentSend
    const onReply = (reply: Reply): void => {
      scheduler.add(this._actor, () => {
        this.replies.push({ step, reply })
        if (send === this._currentSend) this._processReply(reply)
      })
    }
    // Each send goes to the next running entry: the load balancer does not route by session.
    const entry = this._simulation.pickEntry(this._totalSends++)
    if (entry !== undefined) this._sendTo(entry, step, onReply)
    scheduler.addTimer(this._actor, RESEND_TIMEOUT_MS, () => { if (send === this._currentSend) this._send() })
  }

  private _processReply (reply: Reply): void {
    this._currentSend++
    if (reply.type !== 'refusal' || FINAL_REASONS.has(reply.refusal.reason)) return this._advance()
    this._simulation.scheduler.addTimer(this._actor, RETRY_DELAY_MS, () => { this._send() })
  }

  private _advance (): void {
    this._position++
    this._sendsOfStep = 0
    this._send()
  }

  private _sendTo (entry: FakeEntry, step: Exclude<Step, { type: 'pause' }>, onReply: (reply: Reply) => void): void {
    const { clock } = this._simulation.scheduler
    const { workspace } = this
    if (step.type === 'open') {
      const { session: id, parent, tokens } = step
      const opening = new SessionOpening({
        id, workspace, program: 'consultation', ...(parent === undefined ? {} : { parent }), tokens, calls: step.calls ?? 10, seconds: 3_600, maxChildren: 4
      })
      return entry.run(openSession(opening, clock), '', onReply)
    }
    if (step.type === 'close') return entry.run(closeSession(step.session, workspace, clock), '', onReply)
    this._simulation.onCall()
    const spec = createSpec(step, workspace)
    const requestDigest = getRequestDigest(spec)
    if (step.type === 'request') {
      const ledger = new KeyLedger({ workspace, service: 'kanzlei', idempotencyKey: step.key, requestDigest })
      return entry.call({ ledger, spec, requestDigest, session: '', call: 0 }, onReply)
    }
    const { session, call } = step
    const ledger = new SessionLedger({ session, workspace, call, requestDigest, maxTokens: spec.maxTokens, maxRepeats: 3 })
    entry.call({ ledger, spec, requestDigest, session, call }, onReply)
  }
}

function createSpec (step: Extract<Step, { type: 'model' | 'service' | 'request' }>, workspace: string): CallSpec {
  const commonFields = { workspace, program: 'consultation', contentType: 'application/json', timeoutMs: 20_000 }
  if (step.type === 'model') {
    const messages = [{ role: 'user', content: step.text }]
    return { ...commonFields, kind: 'model', service: 'ratgeber', operation: '', repeatable: true, messages, maxTokens: step.maxTokens, body: '' }
  }
  const body = step.type === 'request' ? step.body ?? '' : `call ${step.call}`
  const repeatable = step.type === 'service' && step.repeatable
  return { ...commonFields, kind: 'service', service: 'kanzlei', operation: step.operation, repeatable, messages: [], maxTokens: 0, body }
}
