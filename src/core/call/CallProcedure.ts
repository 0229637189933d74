import { Right, type Either } from 'purify-ts'
import type { Clock } from '../clock/index.js'
import { CommitResult } from '../commit/index.js'
import { StepName, type Trace } from '../explain/index.js'
import { digestOf, type CallResponse, type TurnRow } from '../history/index.js'
import type { RetryBudget } from '../limits/index.js'
import type { Rows } from '../platform/index.js'
import { Outcome, type Refusal, type RefusalReason, type RetryReason } from '../reason/index.js'
import { AttemptState, type CallEvent, type Reply } from './CallEffects.js'
import type { CallLedger, ReplacedClaim } from './CallLedger.js'
import type { CallSpec } from './CallSpec.js'
import { CLAIM_GRACE_MS, type Claim } from './Claim.js'
import {
  CLAIM_TIMEOUT_MS, FIRST_SEND_WINDOW_MS, LOCATE_INTERVAL_MS, LOCATE_MAX_WAIT_MS, MAX_ATTEMPTS, MAX_ROUNDS, SETTLE_RETRY_MS,
  SETTLE_TIMEOUT_MS
} from './callLimits.js'
import { hasPossiblyRun, toRefusalReply, toAttemptsFailed, toReply, toTurnReply, type RoundResult } from './callReplies.js'
import { LedgerAccess, type EffectGenerator } from './LedgerAccess.js'
import { RunOutcome } from './RunResult.js'
import type { SelectedTarget, TargetSelector } from './TargetSelector.js'
import { traceRun } from './traceRun.js'

/** Properties of a session that its next call depends on. */
export interface CallContext {
  readonly warmTargets: readonly string[]
  readonly attainedTokens: number
  readonly historyChars: number
  readonly isInProgress: boolean
  /** Time at which the budget of the session expires, in milliseconds since the Unix epoch. */
  readonly deadline: number
}

/** Options of {@link CallProcedure}. */
export interface CallProcedureOptions {
  readonly ledger: CallLedger
  readonly spec: CallSpec
  readonly requestDigest: string
  readonly session: string
  readonly call: number
  /** Id of the entry that runs the procedure. */
  readonly entry: string
  readonly selector: TargetSelector
  readonly retryBudget: RetryBudget
  readonly clock: Clock
  readonly trace: Trace
  /** Gets the context of the session from the ledger rows. */
  readonly getContext: (rows: Rows) => CallContext
  /** True when the caller marks the request as its first send. */
  readonly isFirstSend: boolean
  /** Checks whether the caller has disconnected. */
  readonly isCallerDisconnected: () => boolean
  /** Counts a retry. */
  readonly onRetry?: (reason: RetryReason) => void
}

/** State of an attempt that ended without a result: it provably did not run, or its whole reservation is charged. */
type FailedAttemptState = 'not-run' | 'charged'

/** Reasons with which a sidecar refuses an attempt that has been superseded; they do not exclude the target. */
const SUPERSEDED_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['epoch-stale', 'cancelled'])

/** Average number of characters per token, for estimates. */
const CHARS_PER_TOKEN = 4

/**
 * Runs one call from its arrival to its reply.
 *
 * @remarks The procedure does no I/O: it yields effects and is resumed with their events, so it can stop after any
 * effect. A call that a stopped process left unfinished is completed by the next procedure for the same call, which reads
 * the claim from the ledger and locates the attempt at the sidecar named there.
 */
export class CallProcedure {
  private readonly _options: CallProcedureOptions
  private readonly _failedAttempts = new Map<string, FailedAttemptState>()
  private readonly _excluded = new Set<string>()
  private readonly _startedAt: number
  private readonly _access: LedgerAccess
  private _lostStreams = 0

  constructor (options: CallProcedureOptions) {
    this._options = options
    this._startedAt = options.clock.now()
    const { ledger, clock, requestDigest } = options
    this._access = new LedgerAccess({ ledger, clock, contentDigest: digestOf(requestDigest) })
  }

  /** Runs the call; apart from acknowledgements, the last effect is always a reply. */
  * run (): EffectGenerator<void> {
    this._options.retryBudget.recordAttempt()
    for (let round = 0; round < MAX_ROUNDS; round++) {
      const next = yield * this._runRound()
      if (next.type === 'reply') {
        yield * this._reply(next.reply)
        return
      }
      this._options.trace.add(StepName.Retried, next.reason)
      this._options.onRetry?.(next.reason)
    }
    yield * this._reply(toRefusalReply('deadline-passed'))
  }

  private * _runRound (): EffectGenerator<RoundResult> {
    const isRead = yield * this._access.read()
    if (!isRead && this._options.ledger.isDurable()) return toReply(this._toReadFailureReply())
    const decision = this._options.ledger.decide(this._access.getRows(), this._options.clock.now())
    return yield * decision.caseOf<EffectGenerator<RoundResult>>({
      Left: refusal => this._refuse(refusal),
      Right: allowed => {
        if (allowed.type === 'replay') return this._replay(allowed.turn)
        if (allowed.type === 'join') return this._join(allowed.claim)
        return this._attempt(undefined)
      }
    })
  }

  private * _refuse (refusal: Refusal): EffectGenerator<RoundResult> {
    return toReply({ type: 'refusal', refusal })
  }

  private * _replay (turn: TurnRow): EffectGenerator<RoundResult> {
    this._options.trace.add(StepName.Replayed, 'the call had finished')
    return toReply(toTurnReply(turn, true))
  }

  private * _join (claim: Claim): EffectGenerator<RoundResult> {
    const failedState = this._failedAttempts.get(claim.attempt)
    if (failedState !== undefined) return yield * this._attempt({ claim, isCharged: failedState === 'charged' })
    return yield * this._locate(claim)
  }

  /**
   * Builds the reply for a ledger that cannot be read.
   *
   * @remarks Only the ledger can prove that an earlier send of the request did not run. `store-unavailable`, which states
   * that nothing ran, is therefore limited to a first send without attempts, before the time at which the caller may resend it.
   */
  private _toReadFailureReply (): Reply {
    const isBeforeResend = this._options.clock.now() - this._startedAt <= FIRST_SEND_WINDOW_MS
    const isProvablyNotRun = this._options.isFirstSend && this._failedAttempts.size === 0 && isBeforeResend
    return toRefusalReply(isProvablyNotRun ? 'store-unavailable' : 'ledger-unreadable', 1)
  }

  private * _attempt (replaced: ReplacedClaim | undefined): EffectGenerator<RoundResult> {
    if (this._options.isCallerDisconnected() && replaced === undefined) return toReply(toRefusalReply('caller-gone'))
    if (this._access.isQuarantined()) return yield * this._withdraw(replaced, { reason: 'quarantined' })
    const tries = (replaced?.claim.tries ?? 0) + 1
    if (tries > MAX_ATTEMPTS) return yield * this._withdraw(replaced, { reason: 'retries-exhausted' })
    if (replaced !== undefined && !this._options.retryBudget.tryConsume()) {
      return yield * this._withdraw(replaced, { reason: 'retry-budget', retryAfterSeconds: 1 })
    }
    const selected = this._decideAgain(replaced).chain(() => this._select(replaced))
    return yield * selected.caseOf<EffectGenerator<RoundResult>>({
      Left: refusal => this._withdraw(replaced, refusal),
      Right: target => this._claim(target, tries, replaced)
    })
  }

  private _decideAgain (replaced: ReplacedClaim | undefined): Either<Refusal, true> {
    if (replaced === undefined) return Right(true)
    return this._options.ledger.decideReplacement(this._access.getRows(), replaced, this._options.clock.now())
  }

  private _select (replaced: ReplacedClaim | undefined): Either<Refusal, SelectedTarget> {
    const { spec, ledger, selector, clock } = this._options
    const context = this._options.getContext(this._access.getRows())
    return selector.select({
      service: spec.service,
      workspace: spec.workspace,
      affinityKey: this._options.session === '' ? ledger.key : this._options.session,
      warmTargets: context.warmTargets,
      promptTokens: this._estimatePromptTokens(context),
      maxTokens: spec.maxTokens,
      isInProgress: context.isInProgress || replaced !== undefined,
      deadline: this._getDeadline(),
      excluded: this._excluded
    }, clock.now())
  }

  private * _claim (target: SelectedTarget, tries: number, replaced: ReplacedClaim | undefined): EffectGenerator<RoundResult> {
    const { ledger, spec, trace } = this._options
    const claim = this._toClaim(target, tries, replaced)
    trace.add(StepName.Placed, target.cause, target.id)
    const history = spec.kind === 'model' && ledger.isDurable() ? yield { type: 'read-history' } : undefined
    if (history?.type === 'history-damaged') return this._refuseClaim(claim, { reason: 'history-damaged' })
    if (history?.type === 'unavailable') return this._refuseClaim(claim, { reason: 'store-unavailable' })
    const transaction = ledger.toClaimTransaction(this._access.getRows(), claim, replaced)
    if (ledger.isDurable()) {
      const result = yield * this._access.commit(transaction, this._options.clock.now() + CLAIM_TIMEOUT_MS)
      if (result === CommitResult.Conflict) return { type: 'again', reason: 'claim-conflict' }
      // The attempt does not run even if the claim is committed later: only this procedure may dispatch it, and it has not.
      if (result !== CommitResult.Committed) return this._refuseClaim(claim, { reason: 'store-unavailable' })
      trace.add(StepName.Claimed, `attempt ${claim.attempt}`, target.id)
    }
    yield * this._acknowledgeReplaced(replaced)
    const messages = history?.type === 'history' ? [...history.messages, ...spec.messages] : spec.messages
    return yield * this._dispatch(claim, messages)
  }

  private * _dispatch (claim: Claim, messages: CallSpec['messages']): EffectGenerator<RoundResult> {
    const { spec } = this._options
    const context = this._options.getContext(this._access.getRows())
    this._options.trace.add(StepName.Dispatched, `try ${claim.tries}`, claim.target)
    const event = yield {
      type: 'dispatch',
      dispatch: {
        claim,
        ledgerKey: this._options.ledger.key,
        workspace: spec.workspace,
        service: spec.service,
        operation: spec.operation,
        contentType: spec.contentType,
        body: spec.body,
        kind: spec.kind,
        attainedTokens: context.attainedTokens,
        promptTokens: this._estimatePromptTokens(context),
        messages,
        holdKey: this._options.session
      }
    }
    return yield * this._onStreamEvent(claim, event)
  }

  /** Continues after the completion, the refusal or the loss of a response stream. */
  private * _onStreamEvent (claim: Claim, event: CallEvent): EffectGenerator<RoundResult> {
    if (event.type === 'ended') return yield * this._collect(claim)
    // A replayed ticket means that the sidecar accepted a first copy of the dispatch, so the attempt may run.
    if (event.type === 'refused' && event.reason !== 'ticket-replayed') return this._recordRefusal(claim, event.reason)
    this._options.onRetry?.('dispatch-lost')
    if (this._lostStreams++ > 0) yield { type: 'wait', ms: LOCATE_INTERVAL_MS }
    return yield * this._locate(claim)
  }

  private _recordRefusal (claim: Claim, reason: RefusalReason): RoundResult {
    this._options.trace.add(StepName.Refused, reason, claim.target)
    if (SUPERSEDED_REASONS.has(reason)) return this._retry(claim, 'not-run', 'dispatch-refused')
    this._excluded.add(claim.target)
    return this._retry(claim, 'not-run', 'dispatch-refused')
  }

  private * _locate (claim: Claim): EffectGenerator<RoundResult> {
    const locateDeadline = this._getLocateDeadline(claim)
    for (;;) {
      const cancelIfAbsent = this._mayCancel(claim)
      const event = yield { type: 'locate', claim, cancelIfAbsent }
      const next = event.type === 'located' ? yield * this._onLocated(claim, event.state, cancelIfAbsent) : undefined
      if (next !== undefined) return next
      if (event.type !== 'located') this._options.onRetry?.('locate-failed')
      if (this._options.clock.now() >= locateDeadline) return yield * this._onAttemptLost(claim, 'its sidecar cannot be reached')
      yield { type: 'wait', ms: LOCATE_INTERVAL_MS }
    }
  }

  /** Gets the time until which an attempt is located; for a non-repeatable call its deadline, since its outcome is unknown after that. */
  private _getLocateDeadline (claim: Claim): number {
    const minDeadline = this._options.clock.now() + LOCATE_MAX_WAIT_MS
    return claim.repeatable ? minDeadline : Math.max(claim.deadline, minDeadline)
  }

  private _mayCancel (claim: Claim): boolean {
    return claim.claimer === this._options.entry || this._options.clock.now() >= claim.claimedAt + CLAIM_GRACE_MS
  }

  private * _onLocated (claim: Claim, state: AttemptState, cancelIfAbsent: boolean): EffectGenerator<RoundResult | undefined> {
    this._options.trace.add(StepName.Located, state, claim.target)
    switch (state) {
      case AttemptState.Done:
      case AttemptState.Running:
      case AttemptState.Queued:
        return yield * this._onStreamEvent(claim, yield { type: 'attach', claim })
      case AttemptState.NotRun:
        return this._retry(claim, 'not-run', 'dispatch-refused')
      case AttemptState.Absent:
        return cancelIfAbsent ? this._retry(claim, 'not-run', 'attempt-absent') : undefined
      case AttemptState.ResultLost:
        return yield * this._onAttemptLost(claim, 'its answer is no longer held')
      case AttemptState.OtherIncarnation:
        return yield * this._onAttemptLost(claim, 'its sidecar restarted')
    }
  }

  private * _onAttemptLost (claim: Claim, cause: string): EffectGenerator<RoundResult> {
    if (claim.repeatable) {
      this._excluded.add(claim.target)
      return this._retry(claim, 'charged', 'attempt-gone')
    }
    return yield * this._settleUnknown(claim, cause)
  }

  private * _collect (claim: Claim): EffectGenerator<RoundResult> {
    const event = yield { type: 'collect', claim }
    if (event.type !== 'collected') return yield * this._locate(claim)
    const result = event.result
    traceRun(this._options.trace, claim.target, result)
    switch (result.outcome) {
      case RunOutcome.Complete:
      case RunOutcome.Truncated:
        return yield * this._settle(claim, this._toTurn(claim, Outcome.Answered, result.answer))
      case RunOutcome.Unreached:
        this._excluded.add(claim.target)
        return this._retry(claim, 'not-run', 'target-unreachable')
      case RunOutcome.Dropped:
        this._failedAttempts.set(claim.attempt, 'not-run')
        return yield * this._withdraw({ claim, isCharged: false }, { reason: 'queue-timeout', retryAfterSeconds: 1 })
      case RunOutcome.TimedOut:
        return yield * this._settleUnknown(claim, 'the target did not answer by the deadline')
      case RunOutcome.Crashed:
        return yield * this._onCrashed(claim)
    }
  }

  private * _onCrashed (claim: Claim): EffectGenerator<RoundResult> {
    yield * this._access.recordCrash(claim.target)
    if (!claim.repeatable) return yield * this._settleUnknown(claim, 'the target broke off')
    this._excluded.add(claim.target)
    return this._retry(claim, 'charged', 'target-crashed')
  }

  private * _settleUnknown (claim: Claim, cause: string): EffectGenerator<RoundResult> {
    this._options.trace.add(StepName.Finished, `outcome unknown: ${cause}`, claim.target)
    const answer: CallResponse = { status: 502, contentType: 'text/plain', text: '', tokens: claim.reservedTokens, finish: 'unknown' }
    return yield * this._settle(claim, this._toTurn(claim, Outcome.Unknown, answer))
  }

  /**
   * Commits the turn to the ledger.
   *
   * @remarks The caller receives the end of the response only after the commit. When the store does not respond in time,
   * the reply is `answer-not-durable` and the commit is still retried.
   */
  private * _settle (claim: Claim, turn: TurnRow): EffectGenerator<RoundResult> {
    if (!this._options.ledger.isDurable()) return yield * this._finish(claim, turn, false)
    const replyDeadline = this._options.clock.now() + SETTLE_TIMEOUT_MS
    const settleDeadline = replyDeadline + SETTLE_RETRY_MS
    let isReplySent = false
    while (this._options.clock.now() < settleDeadline) {
      const isInForce = this._isClaimInForce(claim)
      if (isInForce === false) return { type: 'again', reason: 'settle-conflict' }
      const deadline = isReplySent ? settleDeadline : replyDeadline
      const result = yield * this._access.commit(this._options.ledger.toSettleTransaction(this._access.getRows(), claim, turn), deadline)
      if (result === CommitResult.Committed) return yield * this._finish(claim, turn, isReplySent)
      this._options.onRetry?.(result === CommitResult.Conflict ? 'settle-conflict' : 'settle-unavailable')
      if (result !== CommitResult.Conflict && !isReplySent) {
        isReplySent = true
        yield { type: 'reply', reply: toRefusalReply('answer-not-durable', 5) }
      }
      yield * this._access.readOrWait()
    }
    return toReply(toRefusalReply('answer-not-durable'))
  }

  private * _finish (claim: Claim, turn: TurnRow, isReplySent: boolean): EffectGenerator<RoundResult> {
    yield { type: 'acknowledge', claim }
    return toReply(isReplySent ? toRefusalReply('answer-not-durable') : toTurnReply(turn, false))
  }

  private _isClaimInForce (claim: Claim): boolean {
    return this._options.ledger.decide(this._access.getRows(), this._startedAt).caseOf({
      Left: () => false,
      Right: decision => decision.type === 'join' && decision.claim.attempt === claim.attempt
    })
  }

  /** Refuses a call after withdrawing the claim, if any, of its ended attempt, so that the refused call leaves no pending claim. */
  private * _withdraw (replaced: ReplacedClaim | undefined, cause: Refusal): EffectGenerator<RoundResult> {
    const refusal = hasPossiblyRun(replaced) ? toAttemptsFailed(cause) : cause
    if (this._access.isStale()) return { type: 'again', reason: 'ledger-stale' }
    this._options.trace.add(StepName.Refused, refusal.reason)
    if (replaced !== undefined && this._options.ledger.isDurable()) {
      const transaction = this._options.ledger.toReleaseTransaction(this._access.getRows(), replaced)
      const result = yield * this._access.commit(transaction, this._options.clock.now() + CLAIM_TIMEOUT_MS)
      if (result === CommitResult.Conflict) return { type: 'again', reason: 'claim-conflict' }
      if (result !== CommitResult.Committed) return toReply({ type: 'refusal', refusal })
    }
    yield * this._acknowledgeReplaced(replaced)
    return toReply({ type: 'refusal', refusal })
  }

  /**
   * Refuses a call whose claim was not made.
   *
   * @remarks If the process was paused after it read the ledger, another process may have run the call in the meantime;
   * the ledger is then read again.
   */
  private _refuseClaim (claim: Claim, cause: Refusal): RoundResult {
    const refusal = claim.mayHaveRun ? toAttemptsFailed(cause) : cause
    return this._access.isStale() ? { type: 'again', reason: 'ledger-stale' } : toReply({ type: 'refusal', refusal })
  }

  /** Lets the sidecar discard the result of an attempt that has been replaced or withdrawn in the ledger. */
  private * _acknowledgeReplaced (replaced: ReplacedClaim | undefined): EffectGenerator<void> {
    if (replaced !== undefined) yield { type: 'acknowledge', claim: replaced.claim }
  }

  private * _reply (reply: Reply): EffectGenerator<void> {
    yield { type: 'reply', reply }
  }

  private _retry (claim: Claim, state: FailedAttemptState, reason: RetryReason): RoundResult {
    this._failedAttempts.set(claim.attempt, state)
    return { type: 'again', reason }
  }

  private _toClaim (target: SelectedTarget, tries: number, replaced: ReplacedClaim | undefined): Claim {
    const { ledger, spec, call, requestDigest, entry, clock } = this._options
    const epoch = ledger.getNextEpoch(this._access.getRows())
    return {
      attempt: `${ledger.key}#${epoch}`,
      epoch,
      call,
      requestDigest,
      repeatable: spec.repeatable,
      target: target.id,
      incarnation: target.incarnation,
      claimer: entry,
      claimedAt: clock.now(),
      deadline: this._getDeadline(),
      reservedTokens: spec.maxTokens,
      mayHaveRun: hasPossiblyRun(replaced),
      tries
    }
  }

  private _toTurn (claim: Claim, outcome: Outcome, answer: CallResponse): TurnRow {
    const { spec, trace, session, requestDigest } = this._options
    trace.add(StepName.Settled, outcome)
    return { session, call: claim.call, kind: spec.kind, requestDigest, messages: spec.messages, outcome, answer, steps: trace.getSteps() }
  }

  private _getDeadline (): number {
    const { deadline } = this._options.getContext(this._access.getRows())
    return Math.min(this._startedAt + this._options.spec.timeoutMs, deadline)
  }

  private _estimatePromptTokens (context: CallContext): number {
    if (this._options.spec.kind === 'service') return 0
    const chars = this._options.spec.messages.reduce((sum, message) => sum + message.content.length, context.historyChars)
    return Math.ceil(chars / CHARS_PER_TOKEN)
  }
}
