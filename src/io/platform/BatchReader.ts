import type { Rows, Table } from '../../core/platform/index.js'

/** Maximum number of keys in one read. */
const MAX_KEYS_PER_READ = 1_000

/** Maximum number of concurrent reads. */
const MAX_CONCURRENT_READS = 4

interface PendingRead {
  readonly keys: readonly string[]
  readonly resolve: (rows: Rows) => void
  readonly reject: (err: unknown) => void
}

/** Batches the reads of concurrent calls into one read of the table. */
export class BatchReader {
  private readonly _table: Table
  private readonly _pending: PendingRead[] = []
  private _activeReads = 0

  constructor (table: Table) {
    this._table = table
  }

  /** Reads rows; rejects when the read of the table fails. */
  async read (keys: readonly string[]): Promise<Rows> {
    return await new Promise((resolve, reject) => {
      this._pending.push({ keys, resolve, reject })
      setImmediate(() => { void this._run() })
    })
  }

  private async _run (): Promise<void> {
    if (this._activeReads >= MAX_CONCURRENT_READS || this._pending.length === 0) return
    this._activeReads++
    const batch = this._removeBatch()
    try {
      const rows = await this._table.read([...new Set(batch.flatMap(entry => entry.keys))])
      for (const entry of batch) entry.resolve(rows)
    } catch (err) {
      for (const entry of batch) entry.reject(err)
    }
    this._activeReads--
    void this._run()
  }

  private _removeBatch (): PendingRead[] {
    const batch: PendingRead[] = []
    let keys = 0
    while (this._pending.length > 0 && (batch.length === 0 || keys + this._pending[0]!.keys.length <= MAX_KEYS_PER_READ)) {
      const next = this._pending.shift()!
      keys += next.keys.length
      batch.push(next)
    }
    return batch
  }
}
