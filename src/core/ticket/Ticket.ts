import { createHmac, timingSafeEqual } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts'
import type { RefusalReason } from '../reason/index.js'

/** Validity period of a ticket, in milliseconds. */
export const TICKET_TTL_MS = 10_000

/** Largest clock difference between two processes that the check of the validity period tolerates, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 2_000

/** Kind of request to a sidecar that a ticket authorizes. */
export const TicketPurpose = { Dispatch: 'dispatch', Control: 'control' } as const
export type TicketPurpose = typeof TicketPurpose[keyof typeof TicketPurpose]

/** The signed content of a ticket. */
export interface TicketClaims {
  readonly purpose: TicketPurpose
  /** Id of the entry that issued the ticket. */
  readonly entry: string
  /** Id of the attempt, or an empty string for control calls. */
  readonly attempt: string
  /** Key of the ledger row that the attempt belongs to. */
  readonly ledgerKey: string
  /** Epoch of the ledger row under which the attempt was claimed. */
  readonly epoch: number
  /** Incarnation of the sidecar that the attempt is addressed to. */
  readonly incarnation: string
  /** Version of the configuration that the issuer uses. */
  readonly configVersion: number
  /** Time of the claim, or of signing for a control ticket, in milliseconds since the Unix epoch. */
  readonly issuedAt: number
  /** Hexadecimal SHA-256 digest of the request body that is sent with the ticket. */
  readonly bodyDigest: string
}

/** Options of {@link TicketSigner}. */
export interface TicketSignerOptions {
  /** Secrets accepted for verification; the first one is used for signing. */
  readonly keys: readonly string[]
}

/** Signs and verifies tickets with HMAC-SHA-256; during a rotation, tickets of the old and the new key are valid. */
export class TicketSigner {
  private readonly _keys: readonly string[]

  constructor (options: TicketSignerOptions) {
    if (options.keys.length === 0) {
      throw new RangeError('A ticket signer needs at least one key.')
    }
    this._keys = options.keys
  }

  /** Encodes and signs claims as `payload.signature`, both base64url. */
  sign (claims: TicketClaims): string {
    const payload = Buffer.from(JSON.stringify(claims)).toString('base64url')
    return `${payload}.${mac(this._keys[0]!, payload).toString('base64url')}`
  }

  /**
   * Verifies the signature and the validity period.
   *
   * @param ticket - The encoded ticket, if any was presented.
   * @param now - Current time of the verifying process, in milliseconds since the Unix epoch.
   */
  verify (ticket: string | undefined, now: number): Either<RefusalReason, TicketClaims> {
    if (ticket === undefined || ticket === '') return Left('ticket-missing')
    const [payload, signature, ...rest] = ticket.split('.')
    if (payload === undefined || signature === undefined || rest.length > 0) return Left('ticket-forged')
    const presented = Buffer.from(signature, 'base64url')
    const isValid = this._keys.some(key => {
      const expected = mac(key, payload)
      return expected.length === presented.length && timingSafeEqual(expected, presented)
    })
    if (!isValid) return Left('ticket-forged')
    const claims = JSON.parse(Buffer.from(payload, 'base64url').toString()) as TicketClaims
    if (claims.issuedAt > now + MAX_CLOCK_SKEW_MS) return Left('ticket-early')
    if (claims.issuedAt + TICKET_TTL_MS + MAX_CLOCK_SKEW_MS < now) return Left('ticket-expired')
    return Right(claims)
  }
}

function mac (key: string, payload: string): Buffer {
  return createHmac('sha256', key).update(payload).digest()
}
