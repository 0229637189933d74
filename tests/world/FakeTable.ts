import { MemoryTable, type Rows, type Transaction, type TransactionResult } from '../../src/core/platform/index.js'
import type { Scheduler } from './Scheduler.js'

/** Milliseconds after which a request to the store times out. */
const TIMEOUT_MS = 1_000

/** A fake of the platform's store with outages, lost responses and commits that arrive after their time-out. */
export class FakeTable {
  readonly rows = new MemoryTable()
  isDown = false
  /** Numbers of the commits that are applied, but whose responses are lost. */
  readonly lostResponses = new Set<number>()
  /** Numbers of the commits that arrive after their request has timed out. */
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

  /** Creates a function that runs a callback unless the request has timed out or has had a response. */
  private _createFirstOnly (actor: string, onNoResponse: () => void): (callback: () => void) => void {
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
