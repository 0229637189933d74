import type { Dispatch } from '../../src/core/call/index.js'
import type { EngineHolds, RunTermination } from '../../src/core/sidecar/index.js'

/** Marker in a message that sets the number of tokens that the engine generates. */
const TOKENS_MARKER = /\[tokens=(\d+)\]/

/** One run in the record of a target. */
export interface RecordedRun {
  readonly target: string
  readonly attempt: string
  readonly ledgerKey: string
  readonly call: number
  readonly operation: string
  readonly startedAt: number
  tokens: number
  text: string
}

/** A target that records its runs; it checks no tickets, epochs or limits. */
export class FakeTarget {
  readonly runs: RecordedRun[] = []
  readonly holds = new Map<string, number>()
  isUp = true
  /** Operation that never responds. */
  hangingOperation = ''
  /** Number of releases of holds, from the first on, that are lost. */
  releasesToLose = 0

  constructor (readonly id: string) {}

  /** Starts a run; it counts as run from now on, however it ends. */
  start (dispatch: Dispatch, now: number): RecordedRun {
    const run = this.createRun(dispatch, now)
    this.runs.push(run)
    return run
  }

  createRun (dispatch: Dispatch, now: number): RecordedRun {
    const { claim, ledgerKey, operation } = dispatch
    return { target: this.id, attempt: claim.attempt, ledgerKey, call: claim.call, operation, startedAt: now, tokens: 0, text: '' }
  }

  /** Gets the number of tokens that a run generates next; 0 or less when it is complete. */
  getNextTokenCount (run: RecordedRun, dispatch: Dispatch): number {
    const lastMessage = dispatch.messages.at(-1)?.content ?? ''
    const requestedTokens = Number(TOKENS_MARKER.exec(lastMessage)?.[1] ?? 6)
    const maxTokens = lastMessage.includes('[ignore-max]') ? requestedTokens : Math.min(requestedTokens, dispatch.claim.reservedTokens)
    return Math.min(4, maxTokens - run.tokens)
  }

  createTermination (type: RunTermination['type'], run: RecordedRun, dispatch: Dispatch): RunTermination {
    const text = dispatch.kind === 'model' ? run.text : `${dispatch.operation} ran`
    return { type, answer: { status: 200, contentType: 'text/plain', text, tokens: 0, finish: 'stop' }, cachedTokens: 0, promptTokens: dispatch.promptTokens }
  }

  release (key: string): void {
    if (this.releasesToLose > 0) this.releasesToLose--
    else this.holds.delete(key)
  }

  getHolds (): EngineHolds {
    return { holds: [...this.holds].map(([key, tokens]) => ({ key, tokens })), capacityTokens: 1_000_000 }
  }
}
