import type { TraceStep } from './Trace.js'

/** Requests that one entry remembers for explanations. */
export const MAX_LOGGED_REQUESTS = 2_000

/** What an entry remembers of one request. */
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

/** Remembers the latest requests of one entry, in memory. */
export class RequestLog {
  private readonly _records = new Map<string, RequestRecord>()

  /** Adds a record; the oldest one makes room. */
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

  /** Gets the records of a session, the oldest first. */
  getBySession (session: string): RequestRecord[] {
    return [...this._records.values()].filter(record => record.session === session)
  }
}
