import type { CommitResult, GroupCommitter } from '../../core/commit/index.js'
import type { Table, Transaction } from '../../core/platform/index.js'
import type { RetryReason } from '../../core/reason/index.js'

/** Milliseconds between two checks of deadlines and due retries. */
const TICK_INTERVAL_MS = 25

/** Options of {@link CommitLoop}. */
export interface CommitLoopOptions {
  readonly committer: GroupCommitter
  readonly table: Table
  readonly onRetry?: (reason: RetryReason) => void
  /** Called with the number of commits that one batch settled. */
  readonly onBatch?: (size: number) => void
}

/** Runs the steps of a group committer against the table. */
export class CommitLoop {
  private readonly _options: CommitLoopOptions
  private readonly _pending = new Map<number, (result: CommitResult) => void>()
  private _timer: NodeJS.Timeout | undefined
  private _nextId = 1
  private _isRunning = false

  constructor (options: CommitLoopOptions) {
    this._options = options
  }

  /** Commits a transaction within a batch; resolves by the deadline at the latest. */
  async commit (transaction: Transaction, deadline: number): Promise<CommitResult> {
    const id = this._nextId++
    this._options.committer.add({ id, transaction, deadline })
    return await new Promise(resolve => {
      this._pending.set(id, resolve)
      this._startTimer()
      // Deferred, so that commits of the same event loop iteration share a batch.
      setImmediate(() => { void this._run() })
    })
  }

  /** Stops the timer. */
  close (): void {
    clearInterval(this._timer)
  }

  private _startTimer (): void {
    if (this._timer !== undefined) return
    this._timer = setInterval(() => {
      this._settle(this._options.committer.expire(Date.now()))
      if (this._options.committer.getPendingCount() > 0) {
        void this._run()
        return
      }
      clearInterval(this._timer)
      this._timer = undefined
    }, TICK_INTERVAL_MS)
  }

  private async _run (): Promise<void> {
    if (this._isRunning) return
    this._isRunning = true
    const { committer, table } = this._options
    for (let step = committer.next(Date.now()); step !== undefined; step = committer.next(Date.now())) {
      try {
        const settled = step.type === 'read'
          ? committer.onRead(await table.read(step.keys))
          : committer.onResponse(await table.commit(step.transaction))
        this._options.onBatch?.(settled.length)
        this._settle(settled)
      } catch (err) {
        this._options.onRetry?.(isTimeout(err) ? 'store-timeout' : 'store-error')
        committer.onNoResponse(Date.now())
      }
    }
    this._isRunning = false
  }

  private _settle (settlements: ReadonlyArray<{ id: number, result: CommitResult }>): void {
    for (const { id, result } of settlements) {
      this._pending.get(id)?.(result)
      this._pending.delete(id)
    }
  }
}

function isTimeout (err: unknown): boolean {
  return err instanceof Error && (err.name === 'TimeoutError' || err.name.endsWith('TimeoutError'))
}
