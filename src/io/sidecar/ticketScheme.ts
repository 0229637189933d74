import { createHash } from 'node:crypto'

/** Prefix of an `authorization` header that carries a ticket. */
export const TICKET_SCHEME = 'Ticket '

/** Header of the response to a dispatch that carries the load of the target. */
export const LOAD_HEADER = 'wisteria-load'

/** Computes the digest that binds a ticket to the body of its dispatch. */
export function digestBody (bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex')
}
