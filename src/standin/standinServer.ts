import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Handles one request to a stand-in, with its complete body. */
export type StandinHandler = (req: IncomingMessage, res: ServerResponse, body: Buffer) => void | Promise<void>

/** Starts a stand-in on a loopback port, by default a free one; returns its URL and server. */
export async function startStandin (handler: StandinHandler, port = 0): Promise<{ url: string, server: Server }> {
  const server = createServer((req, res) => { void serve(req, res, handler) })
  server.keepAliveTimeout = 75_000
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server }
}

/** Sends a JSON response. */
export function sendJson (res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

async function serve (req: IncomingMessage, res: ServerResponse, handler: StandinHandler): Promise<void> {
  try {
    const chunks: Buffer[] = []
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
    await handler(req, res, Buffer.concat(chunks))
  } catch {
    res.destroy()
  }
}
