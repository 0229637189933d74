import { z } from 'zod'

/** Largest port of TCP. */
const MAX_PORT = 65_535

/** Host and port of a listening server. */
export const HOST_AND_PORT = z.string().regex(/^[A-Za-z0-9.-]+:[0-9]{1,5}$/).refine(hasPort, 'the port does not exist')

function hasPort (address: string): boolean {
  const port = Number(address.slice(address.indexOf(':') + 1))
  return port >= 1 && port <= MAX_PORT
}
