/** Compares two transports of token events between processes: a plain HTTP stream and a trpc stream. */
import { createServer, type RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createTRPCClient, httpBatchStreamLink } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { request } from 'undici'

const EVENTS = 20_000
const ROUNDS = 5
const EVENT = `data: ${JSON.stringify({ id: 'x', object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content: ' gently' }, finish_reason: null }] })}\n\n`

const t = initTRPC.create()
const router = t.router({
  stream: t.procedure.query(async function * () {
    for (let index = 0; index < EVENTS; index++) yield EVENT
  })
})

/** Starts a server on a free port of loopback. */
async function listen (handler: RequestListener): Promise<{ url: string, close: () => void }> {
  const server = createServer(handler)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const close = (): void => { server.close(); server.closeAllConnections() }
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, close }
}

const plain = await listen((_req, res) => {
  let index = 0
  const write = (): void => {
    while (index < EVENTS) {
      index++
      if (res.write(EVENT)) continue
      res.once('drain', write)
      return
    }
    res.end()
  }
  write()
})
const trpc = await listen(createHTTPHandler({ router, basePath: '/' }))
const client = createTRPCClient<typeof router>({ links: [httpBatchStreamLink({ url: trpc.url })] })

/** Measures the processor time of one event at sender and receiver together, in microseconds. */
async function measure (name: string, run: () => Promise<number>): Promise<void> {
  await run()
  const before = process.cpuUsage()
  let bytes = 0
  for (let round = 0; round < ROUNDS; round++) bytes += await run()
  const used = process.cpuUsage(before)
  const perEvent = (used.user + used.system) / (ROUNDS * EVENTS)
  process.stdout.write(`${name}: ${perEvent.toFixed(2)} us CPU an event at both ends, ${bytes / ROUNDS} bytes received a round\n`)
}

await measure('plain HTTP stream', async () => {
  const res = await request(plain.url)
  let bytes = 0
  for await (const chunk of res.body as AsyncIterable<Buffer>) bytes += chunk.length
  return bytes
})
await measure('trpc stream', async () => {
  let bytes = 0
  for await (const event of await client.stream.query()) bytes += event.length
  return bytes
})
plain.close()
trpc.close()
process.exit(0)
