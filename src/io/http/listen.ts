import type { AddressInfo, Server } from 'node:net'

/** Options of {@link listen}. */
export interface ListenOptions {
  /** Maximum number of connections that wait to be accepted. */
  readonly backlog?: number
}

/** Starts to listen on `host:port`; returns the address in use, whose port the operating system chooses for port 0. */
export async function listen (server: Server, address: string, options: ListenOptions = {}): Promise<string> {
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port: Number(port), ...options }, resolve)
  })
  return `${host}:${(server.address() as AddressInfo).port}`
}
