import { setTimeout as sleepFor } from 'node:timers/promises'
import type { Clock } from '../../core/clock/index.js'
import { StoreError, type RowStore } from '../../core/platform/index.js'
import { DEBT_TTL_MS, decodeQuotaDebts, encodeQuotaDebts, getQuotaDebtKey, QuotaDebts } from '../../core/quota/index.js'
import type { DecisionLog } from '../process/index.js'

/** Time-out of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000

/** Milliseconds between two attempts while the store is unavailable. */
const RETRY_INTERVAL_MS = 500

/** Shortest time in milliseconds between two writes, so that debts of several workspaces share one. */
const WRITE_INTERVAL_MS = 100

/** Options of {@link QuotaDebtStore}. */
export interface QuotaDebtStoreOptions {
  readonly store: RowStore
  readonly clock: Clock
  readonly log: DecisionLog
  readonly gatewayId: string
  /** Called after each write. */
  readonly onWrite: (result: 'written' | 'conflict' | 'failed') => void
}

/** Keeps the row in which a gateway records the debts of its quota buckets; see {@link QuotaDebts}. */
export class QuotaDebtStore {
  readonly debts = new QuotaDebts(() => { this._wake() })
  private readonly _options: QuotaDebtStoreOptions
  private _version = 0
  private _wake: () => void = () => {}

  constructor (options: QuotaDebtStoreOptions) {
    this._options = options
  }

  /** Takes over the row of this gateway, then records debts for as long as the process runs. */
  async run (): Promise<void> {
    await this._retry(async () => { await this._open() })
    for (;;) {
      const isWanted = new Promise<void>(resolve => { this._wake = resolve })
      await this._retry(async () => { await this._write() })
      await Promise.race([isWanted, sleep(DEBT_TTL_MS)])
      await sleep(WRITE_INTERVAL_MS)
    }
  }

  /**
   * Reads the debts of the previous process and writes them again.
   *
   * The write takes over the row: a write of the previous process that takes effect late finds another version.
   */
  private async _open (): Promise<void> {
    const { store, clock, log, gatewayId } = this._options
    const key = getQuotaDebtKey(gatewayId)
    const { rows } = await store.read({ table: key.table, part: key.part, from: gatewayId, to: `${gatewayId}\u0000` }, { timeoutMs: CALL_TIMEOUT_MS })
    const row = rows.find(row => row.key === gatewayId)
    const earlier = row === undefined ? new Map<string, number>() : decodeQuotaDebts(row)
    if (earlier === undefined) log.warn('quota-debts-rejected', { row: gatewayId, version: row?.version })
    if (!await this._commit(earlier ?? new Map(), row?.version ?? 0)) throw new StoreConflict()
    this.debts.open(earlier, clock.now())
    if (earlier !== undefined && earlier.size > 0) log.info('quota-debts-taken', { workspaces: earlier.size })
  }

  private async _write (): Promise<void> {
    const debts = this.debts.beginWrite(this._options.clock.now())
    if (debts === undefined) return
    if (!await this._commit(debts, this._version)) throw new StoreConflict()
    this.debts.endWrite(debts)
  }

  /** Writes the row; returns false if it has another version, as after a write whose response was lost. */
  private async _commit (debts: ReadonlyMap<string, number>, version: number): Promise<boolean> {
    const { store, gatewayId, onWrite } = this._options
    const key = getQuotaDebtKey(gatewayId)
    const transaction = { conditions: [{ ...key, version }], puts: [{ ...key, value: encodeQuotaDebts(debts) }] }
    const result = await store.commit(transaction, { timeoutMs: CALL_TIMEOUT_MS })
    onWrite(result.type === 'committed' ? 'written' : 'conflict')
    this._version = result.type === 'committed' ? result.version : result.rows.find(row => row.key === gatewayId)?.version ?? 0
    return result.type === 'committed'
  }

  private async _retry (step: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await step()
        return
      } catch (err) {
        if (err instanceof StoreConflict) continue
        if (!(err instanceof StoreError)) this._options.log.warn('quota-debts-failed', { cause: err instanceof Error ? err.stack : String(err) })
        this._options.onWrite('failed')
        await sleep(RETRY_INTERVAL_MS)
      }
    }
  }
}

/** The row has another version than expected. */
class StoreConflict extends Error {}

/** Waits without keeping the process alive. */
async function sleep (ms: number): Promise<void> {
  await sleepFor(ms, undefined, { ref: false })
}
