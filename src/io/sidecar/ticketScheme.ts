import { createHash } from 'node:crypto'

/** Authorization scheme of tickets. */
export const TICKET_SCHEME = 'Ticket '

/** Header that carries the load of the target on the reply to a dispatch. */
export const LOAD_HEADER = 'wisteria-load'

/** Computes the digest of a dispatch body that its ticket names. */
export function digestBody (bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}
