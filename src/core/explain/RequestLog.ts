import type { TraceStep } from './Trace.js'

/** Number of requests that one entry keeps for explanations. */
export const MAX_LOGGED_REQUESTS = 2_000

/** Record of one request at an entry. */
export interface RequestRecord {
  readonly id: string
  readonly workspace: string
  readonly kind: string
  readonly session: string
  readonly call: number
  readonly receivedAt: number
  readonly endedAt: number
  /** `answered`, or the reason of the refusal. */
  readonly result: string
  readonly steps: readonly TraceStep[]
}

/** Keeps the latest requests of one entry in memory. */
export class RequestLog {
  private readonly _records = new Map<string, RequestRecord>()

  /** Adds a record; the oldest one is evicted when the log is full. */
  add (record: RequestRecord): void {
    this._records.set(record.id, record)
    if (this._records.size <= MAX_LOGGED_REQUESTS) return
    const [oldest] = this._records.keys()
    this._records.delete(oldest!)
  }

  /** Gets the record of a request. */
  get (id: string): RequestRecord | undefined {
    return this._records.get(id)
  }

  /** Gets the records of a session, oldest first. */
  getBySession (session: string): RequestRecord[] {
    return [...this._records.values()].filter(record => record.session === session)
  }
}
