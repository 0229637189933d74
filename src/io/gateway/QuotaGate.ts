import { setTimeout as sleepFor } from 'node:timers/promises'
import type { AgeClock, Clock } from '../../core/clock/index.js'
import { QuotaBorrower, type QuotaGrant, type QuotaHolders, type QuotaLoan, type QuotaRequest } from '../../core/quota/index.js'
import type { Workspace } from '../../core/workspace/index.js'
import type { DecisionLog } from '../process/index.js'
import type { GatewayMetrics } from './GatewayMetrics.js'

/** Longest time in milliseconds for which the first request of a program waits for a token that there is not yet. */
const MAX_TOKEN_WAIT_MS = 150

/** Share of its remaining time for which a request of a program in progress waits: a refusal may lose the work of the program. */
const IN_PROGRESS_WAIT_SHARE = 0.4

/** Longest time in milliseconds for which a request waits in all, calls to holders that do not respond included. */
const MAX_WAIT_MS = 1_000

/** Shortest delay in milliseconds before holders are asked again for requests that wait. */
const MIN_DELAY_MS = 5

/** Milliseconds after which holders are looked for again while the list of gateways is not known. */
const LIST_DELAY_MS = 50

/** Seconds after which a request may return whose gateway reached no holder, before they are spread. */
const UNAVAILABLE_RETRY_SECONDS = 0.2

/** Milliseconds without a refusal after which a workspace is within its quota again. */
const WITHIN_AFTER_MS = 2_000

/** Milliseconds between two log lines about all borrowed tokens. */
const SUMMARY_INTERVAL_MS = 10_000

/** Milliseconds without a request after which the state of a workspace is removed; there are no more of them than workspaces. */
const STATE_TTL_MS = 60_000

/** Decision on a request. */
export type QuotaAdmission =
  /** `giveBack` returns the token of a request that has not run. */
  | { readonly type: 'admitted', readonly giveBack: () => void }
  | { readonly type: 'exceeded', readonly retryAfterSeconds: number }
  /** No holder of the quota was reached. */
  | { readonly type: 'unavailable', readonly retryAfterSeconds: number }

/** Options of {@link QuotaGate}. */
export interface QuotaGateOptions {
  readonly clock: Clock
  readonly ages: AgeClock
  readonly log: DecisionLog
  readonly metrics: Pick<GatewayMetrics, 'quotaRequests' | 'quotaTokens' | 'quotaCalls'>
  readonly holders: Pick<QuotaHolders, 'getHolders'>
  /** Requests tokens from a holder; undefined if it does not respond. */
  readonly request: (holder: string, req: QuotaRequest) => Promise<QuotaLoan | undefined>
  /** Gets a random number in [0, 1). */
  readonly random: () => number
  /** Waits for a number of milliseconds. */
  readonly sleep?: (ms: number) => Promise<unknown>
}

/** Facts about a request to be admitted. */
export interface AdmitOptions {
  /** Milliseconds that the request has left; unlimited by default. */
  readonly remainingMs?: number
  /** True if earlier work of a program is lost with the request. */
  readonly isInProgress?: boolean
}

interface Waiter {
  readonly isInProgress: boolean
  /** Time by the steady clock until which the request may wait for a token; later if a holder does not respond. */
  until: number
  /** Latest value of `until`. */
  readonly latest: number
  readonly resolve: (admission: QuotaAdmission) => void
}

interface WorkspaceState {
  readonly name: string
  readonly borrower: QuotaBorrower
  waiters: Waiter[]
  isBorrowing: boolean
  /** True while no holder is asked, because none has tokens. */
  isAwaiting: boolean
  /** Number of refusals since the workspace was last within its quota. */
  refused: number
  refusedAt: number
}

/** Admits the requests of workspaces with a quota: each takes a token that this gateway has borrowed from a holder of the quota. */
export class QuotaGate {
  private readonly _options: QuotaGateOptions
  private readonly _states = new Map<string, WorkspaceState>()
  private _summarizedAt: number
  private _summary = { borrowed: 0, expired: 0, calls: 0 }

  constructor (options: QuotaGateOptions) {
    this._options = options
    this._summarizedAt = options.clock.now()
  }

  /**
   * Admits a request, or refuses it.
   *
   * Answers a workspace that reaches its quota: requests of programs in progress wait longer and get the next tokens, so that programs are
   * refused before they begin rather than midway.
   *
   * @param configVersion - Version of the configuration that states the quota.
   */
  async admit (
    { name, quota }: Pick<Workspace, 'name' | 'quota'>, configVersion: number, { remainingMs = Infinity, isInProgress = false }: AdmitOptions = {}
  ): Promise<QuotaAdmission> {
    if (quota === undefined) return { type: 'admitted', giveBack: () => {} }
    const now = this._options.clock.now()
    const state = this._getState(name, now)
    const { borrower } = state
    borrower.recordDemand(configVersion, quota)
    // Earlier requests that wait get their tokens first.
    const grant = state.waiters.length === 0 ? borrower.take() : undefined
    if (grant !== undefined) {
      if (borrower.getWanted(0) > 0) void this._borrow(state)
      return this._toAdmission(state, grant)
    }
    return await new Promise(resolve => {
      const latest = now + Math.min(MAX_WAIT_MS, remainingMs)
      const maxWaitMs = isInProgress ? remainingMs * IN_PROGRESS_WAIT_SHARE : MAX_TOKEN_WAIT_MS
      const waiter = { until: Math.min(now + maxWaitMs, latest), latest, isInProgress, resolve }
      const place = isInProgress ? state.waiters.findIndex(other => !other.isInProgress) : -1
      state.waiters.splice(place < 0 ? state.waiters.length : place, 0, waiter)
      if (state.isAwaiting) this._refuseLate(state)
      void this._borrow(state)
    })
  }

  /** Borrows for the requests that wait and in advance, with one call at a time. */
  private async _borrow (state: WorkspaceState): Promise<void> {
    if (state.isBorrowing) return
    state.isBorrowing = true
    try {
      for (;;) {
        this._serve(state)
        const isAsked = await this._askNext(state)
        if (isAsked) continue
        this._refuseLate(state)
        if (state.waiters.length === 0) return
        await this._awaitToken(state)
      }
    } finally {
      state.isBorrowing = false
    }
  }

  /** Asks the next holder that may have tokens; returns false if none are wanted or all have been asked. */
  private async _askNext (state: WorkspaceState): Promise<boolean> {
    const { clock, holders, request, ages, metrics } = this._options
    const { name, borrower, waiters } = state
    // Requests of programs in progress are the first ones; they ask on while the holders have tokens for them only.
    const urgent = waiters.findLastIndex(({ isInProgress }) => isInProgress) + 1
    const inProgress = Math.max(0, urgent - borrower.getStock())
    const wanted = borrower.getWanted(inProgress > 0 ? urgent : waiters.length)
    const holder = wanted === 0 ? undefined : borrower.getNextHolder(holders.getHolders(name), inProgress > 0)
    if (holder === undefined) return false
    const requestedAt = ages.mark()
    const loan = await request(holder, { workspace: name, ...borrower.getQuota(), tokens: wanted, ...(inProgress > 0 && { inProgress }) })
    borrower.recordLoan(holder, wanted, requestedAt, loan, inProgress)
    // The time in which a holder did not respond does not count: the others have not been asked.
    const lostMs = loan === undefined ? clock.now() - requestedAt.at : 0
    for (const waiter of state.waiters) waiter.until = Math.min(waiter.latest, waiter.until + lostMs)
    const tokens = loan?.type === 'granted' ? loan.tokens : 0
    metrics.quotaCalls.inc({ result: loan?.type ?? 'unreached' })
    if (tokens > 0) metrics.quotaTokens.inc({ event: 'borrowed' }, tokens)
    this._summary.borrowed += tokens
    this._summary.calls++
    return true
  }

  private _serve (state: WorkspaceState): void {
    while (state.waiters.length > 0) {
      const grant = state.borrower.take()
      if (grant === undefined) return
      state.waiters.shift()!.resolve(this._toAdmission(state, grant))
    }
  }

  /** Refuses the requests that can't get a token in their time. */
  private _refuseLate (state: WorkspaceState): void {
    const { clock, holders, metrics, random } = this._options
    if (state.waiters.length === 0) return
    const now = clock.now()
    const ids = holders.getHolders(state.name)
    const isLending = state.borrower.isAnyLending(ids)
    const getNextAt = (isInProgress: boolean): number => {
      return ids.length === 0 ? now + LIST_DELAY_MS : Math.max(now, state.borrower.getNextTokenAt(ids, isInProgress))
    }
    const nextAt = { inProgress: getNextAt(true), others: getNextAt(false) }
    const late = state.waiters.filter(({ until, isInProgress }) => until < (isInProgress ? nextAt.inProgress : nextAt.others))
    state.waiters = state.waiters.filter(waiter => !late.includes(waiter))
    for (const { resolve, isInProgress } of late) {
      metrics.quotaRequests.inc({ outcome: isLending ? 'exceeded' : 'unavailable' })
      if (isLending) {
        this._recordRefusal(state, (isInProgress ? nextAt.inProgress : nextAt.others) - now)
        resolve({ type: 'exceeded', retryAfterSeconds: state.borrower.getReturnSeconds(ids) })
      } else resolve({ type: 'unavailable', retryAfterSeconds: UNAVAILABLE_RETRY_SECONDS * (1 + random()) })
    }
  }

  private async _awaitToken (state: WorkspaceState): Promise<void> {
    const { clock, holders, sleep = sleepFor } = this._options
    const ids = holders.getHolders(state.name)
    const isInProgress = state.waiters[0]?.isInProgress ?? false
    const delayMs = ids.length === 0 ? LIST_DELAY_MS : Math.ceil(state.borrower.getNextTokenAt(ids, isInProgress) - clock.now())
    state.isAwaiting = true
    await sleep(Math.min(MAX_TOKEN_WAIT_MS, Math.max(MIN_DELAY_MS, delayMs)))
    state.isAwaiting = false
  }

  private _toAdmission (state: WorkspaceState, grant: QuotaGrant): QuotaAdmission {
    const { clock, metrics, log } = this._options
    metrics.quotaRequests.inc({ outcome: 'admitted' })
    if (state.refused > 0 && clock.now() - state.refusedAt >= WITHIN_AFTER_MS) {
      log.info('quota-within', { workspace: state.name, refused: state.refused })
      state.refused = 0
    }
    let isHeld = true
    const giveBack = (): void => {
      if (!isHeld) return
      isHeld = false
      metrics.quotaTokens.inc({ event: 'returned' })
      state.borrower.giveBack(grant)
    }
    return { type: 'admitted', giveBack }
  }

  private _recordRefusal (state: WorkspaceState, waitMs: number): void {
    const { clock, log } = this._options
    const { version, quota } = state.borrower.getQuota()
    if (state.refused === 0) log.info('quota-exceeded', { workspace: state.name, ...quota, config: version, waitMs: Math.ceil(waitMs) })
    state.refused++
    state.refusedAt = clock.now()
  }

  private _getState (name: string, now: number): WorkspaceState {
    this._summarize(now)
    const existing = this._states.get(name)
    if (existing !== undefined) return existing
    const { clock, ages, random, metrics } = this._options
    const onExpired = (tokens: number): void => {
      metrics.quotaTokens.inc({ event: 'expired' }, tokens)
      this._summary.expired += tokens
    }
    const borrower = new QuotaBorrower({ clock, ages, random, onExpired })
    const state = { name, borrower, waiters: [], isBorrowing: false, isAwaiting: false, refused: 0, refusedAt: -Infinity }
    this._states.set(name, state)
    return state
  }

  private _summarize (now: number): void {
    if (now - this._summarizedAt < SUMMARY_INTERVAL_MS) return
    if (this._summary.calls > 0) this._options.log.info('quota-borrowed', { workspaces: this._states.size, ...this._summary })
    this._summary = { borrowed: 0, expired: 0, calls: 0 }
    this._summarizedAt = now
    for (const [name, { borrower, waiters }] of this._states) {
      if (waiters.length === 0 && now - borrower.getUsedAt() >= STATE_TTL_MS) this._states.delete(name)
    }
  }
}
