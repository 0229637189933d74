import { MemoryTable, type Rows, type Transaction, type TransactionResult } from '../../src/core/platform/index.js'
import type { Scheduler } from './Scheduler.js'

/** Milliseconds after which a requester gives up on the table. */
const TIMEOUT_MS = 1_000

/** The platform's table with outages, lost answers and late arrivals. */
export class FakeTable {
  readonly rows = new MemoryTable()
  isDown = false
  /** Numbers of the commits whose answers get lost. */
  readonly lostResponses = new Set<number>()
  /** Numbers of the commits that arrive only after their requester has given up. */
  readonly lateArrivals = new Set<number>()
  commits = 0
  private readonly _scheduler: Scheduler

  constructor (scheduler: Scheduler) {
    this._scheduler = scheduler
  }

  read (actor: string, keys: readonly string[], onRows: (rows: Rows) => void, onNoResponse: () => void): void {
    const finish = this._createFirstOnly(actor, onNoResponse)
    if (this.isDown) return
    this._scheduler.add('table', () => {
      const rows = this.rows.read(keys)
      this._scheduler.add(actor, () => { finish(() => { onRows(rows) }) })
    })
  }

  commit (actor: string, transaction: Transaction, onResult: (result: TransactionResult) => void, onNoResponse: () => void): void {
    const commitNumber = ++this.commits
    const finish = this._createFirstOnly(actor, onNoResponse)
    if (this.isDown) return
    const apply = (): void => {
      const result = this.rows.commit(transaction)
      if (this.lostResponses.has(commitNumber)) return
      this._scheduler.add(actor, () => { finish(() => { onResult(result) }) })
    }
    if (this.lateArrivals.has(commitNumber)) this._scheduler.addTimer('table', TIMEOUT_MS * 1.5, apply)
    else this._scheduler.add('table', apply)
  }

  /** Makes a function that takes the first of an answer and a timeout. */
  private _createFirstOnly (actor: string, onNoResponse: () => void): (take: () => void) => void {
    let isFinished = false
    const finish = (callback: () => void): void => {
      if (isFinished) return
      isFinished = true
      callback()
    }
    this._scheduler.addTimer(actor, TIMEOUT_MS, () => { finish(onNoResponse) })
    return finish
  }
}
