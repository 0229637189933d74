import { z } from 'zod'
import { decodeRow, type RowKey, type StoredRow } from '../platform/index.js'

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

const RESERVE = z.object({ spent: z.int().min(0), isClosed: z.boolean() })

const HANDOVER = z.discriminatedUnion('type', [
  z.object({ type: z.literal('left'), state: z.record(z.string(), RESERVE) }),
  z.object({ type: z.literal('taken'), incarnation: z.string() })
])

/** Decodes a handover row; undefined if the row is none, so that nothing is known of earlier loans. */
export function decodeHandover (row: StoredRow): HandoverRow | undefined {
  return decodeRow(row, HANDOVER)
}
