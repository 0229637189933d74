import type { RowKey, StoredRow } from '../platform/index.js'

/** Table in which a gateway that stops leaves the state of its reserves to the next process with the same id. */
export const HANDOVER_TABLE = 'reserve-handovers'

/** Reserve of one program, as its ledger hands it over. */
export interface ReserveState {
  /** Tokens spent; loans that are not settled count in full. */
  readonly spent: number
  readonly isClosed: boolean
}

/** State of all reserves of a ledger that were used recently, by program. */
export type LedgerState = Readonly<Record<string, ReserveState>>

/** Value of a handover row: the state that a stopped process left, or the incarnation of the process that has taken it. */
export type HandoverRow =
  | { readonly type: 'left', readonly state: LedgerState }
  | { readonly type: 'taken', readonly incarnation: string }

/** Gets the key of a gateway's handover row. */
export function getHandoverKey (gatewayId: string): RowKey {
  return { table: HANDOVER_TABLE, part: '', key: gatewayId }
}

/** Encodes the value of a handover row. */
export function encodeHandover (row: HandoverRow): Buffer {
  return Buffer.from(JSON.stringify(row))
}

/** Decodes a handover row. */
export function decodeHandover (row: StoredRow): HandoverRow {
  return JSON.parse(Buffer.from(row.value).toString('utf8')) as HandoverRow
}
