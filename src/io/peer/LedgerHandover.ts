import { setTimeout as defaultSleep } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { StoreError, type RowStore, type StoredRow } from '../../core/platform/index.js'
import { decodeHandover, encodeHandover, getHandoverKey, type LedgerState } from '../../core/reserve/index.js'
import type { DecisionLog } from '../process/index.js'

/** Time-out of one call to the store, in milliseconds; a stopping process has little more before it is killed. */
const CALL_TIMEOUT_MS = 400

/** Milliseconds between two tries to leave the state while the store is unavailable. */
const RETRY_PAUSE_MS = 200

/** Options of {@link LedgerHandover}. */
export interface LedgerHandoverOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly gatewayId: string
  /** Unique name of this run of the process. */
  readonly incarnation: string
  /** Largest payload of a row, in bytes. */
  readonly rowBytes: number
  /** Waits some milliseconds; by a timer by default. */
  readonly sleep?: (ms: number) => Promise<unknown>
}

/**
 * Hands the ledger of a gateway's reserves over to the next process with the same id, by a row in the store.
 *
 * Needed at planned restarts: without the ledger, the next process could not lend before all programs of the previous one have ended.
 * Each process marks the row as taken before it lends, so that a write of an earlier process that takes effect late conflicts.
 */
export class LedgerHandover {
  private readonly _options: LedgerHandoverOptions
  /** State that the previous process left; kept because a try whose response is lost is repeated. */
  private _state: LedgerState | undefined
  private _version = 0

  constructor (options: LedgerHandoverOptions) {
    this._options = options
  }

  /** Takes the state that the previous process left; undefined if it left none. Rejects with a {@link StoreError} and may be repeated. */
  async take (): Promise<LedgerState | undefined> {
    const { store, gatewayId, incarnation } = this._options
    const key = getHandoverKey(gatewayId)
    for (;;) {
      const row = await this._read()
      const handover = row === undefined ? undefined : decodeHandover(row)
      if (row !== undefined && handover?.type === 'taken' && handover.incarnation === incarnation) {
        this._version = row.version
        return this._state
      }
      this._state = handover?.type === 'left' ? handover.state : undefined
      const result = await store.commit({
        conditions: [{ ...key, version: row?.version ?? 0 }],
        puts: [{ ...key, value: encodeHandover({ type: 'taken', incarnation }) }]
      }, { timeoutMs: CALL_TIMEOUT_MS })
      if (result.type === 'conflict') continue
      this._version = result.version
      return this._state
    }
  }

  /** Leaves the state to the next process, with retries until the deadline; without success, that process waits as after a crash. */
  async leave (state: LedgerState, deadline: number): Promise<void> {
    const { store, clock, log, gatewayId, rowBytes, sleep = defaultSleep } = this._options
    const key = getHandoverKey(gatewayId)
    const value = encodeHandover({ type: 'left', state })
    const programs = Object.keys(state).length
    if (value.length > rowBytes) {
      log.warn('reserves-not-left', { programs, cause: `${value.length} bytes exceed a row of ${rowBytes}` })
      return
    }
    const transaction = { conditions: [{ ...key, version: this._version }], puts: [{ ...key, value }] }
    for (;;) {
      try {
        // After a commit without a response, the next try conflicts if the commit took effect.
        const result = await store.commit(transaction, { timeoutMs: CALL_TIMEOUT_MS })
        log.info('reserves-left', { programs, result: result.type })
        return
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        if (clock.now() + RETRY_PAUSE_MS + CALL_TIMEOUT_MS >= deadline) {
          log.warn('reserves-not-left', { programs, cause: err.message })
          return
        }
      }
      await sleep(RETRY_PAUSE_MS)
    }
  }

  private async _read (): Promise<StoredRow | undefined> {
    const { store, gatewayId } = this._options
    const { table, part, key } = getHandoverKey(gatewayId)
    const { rows } = await store.read({ table, part, from: key, to: `${key}\u0000` }, { timeoutMs: CALL_TIMEOUT_MS })
    return rows.find(row => row.key === key)
  }
}
