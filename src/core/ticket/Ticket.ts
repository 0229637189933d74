import { createHmac, timingSafeEqual } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts'
import type { RefusalReason } from '../reason/index.js'

/** Milliseconds for which a ticket may be presented after it was issued. */
export const TICKET_TTL_MS = 10_000

/** Largest difference between two processes' clocks that tickets allow for, in milliseconds. */
export const MAX_CLOCK_SKEW_MS = 2_000

/** What an entry may do at a sidecar with a ticket. */
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
  /** Configuration version known to the issuer. */
  readonly configVersion: number
  /** Time of the claim, in milliseconds since the Unix epoch. */
  readonly issuedAt: number
  /** SHA-256 of the request body that goes with the ticket, in hex. */
  readonly bodyDigest: string
}

/** Options of {@link TicketSigner}. */
export interface TicketSignerOptions {
  /** Secrets that are accepted; the first one signs. */
  readonly keys: readonly string[]
}

/** Signs and checks tickets with HMAC-SHA-256; two keys can be valid at once during a rotation. */
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
   * Checks the signature and the validity period.
   *
   * @param ticket - The encoded ticket, if any was presented.
   * @param now - Current time of the checking process in milliseconds.
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
