import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineResponder, EngineRun } from '../platform/EngineStandin.js'

/** Milliseconds between two bursts of a stream without end, and the bytes of one; together less than half of a link of 1,000 Mbit/s. */
const FLOOD_INTERVAL_MS = 10
const FLOOD_BYTES = 400_000
const FLOOD_EVENT = `data: ${'x'.repeat(4_088)}\n\n`

/** Bytes of a large response, and of its part that arrives before the connection is lost; more than a gateway holds back. */
const LARGE_BYTES = 300_000
const ARRIVING_BYTES = 280_000

/** Milliseconds before the connection is reset, so that what was written arrives. */
const FLUSH_MS = 30

/** Options of {@link createStreamResponder}. */
export interface StreamResponderOptions {
  readonly events: number
  readonly gapMs: number
  /** Milliseconds for which the target falls silent in the middle of its response. */
  readonly silenceMs?: number
}

/** Gets the headers of a target's response. */
export function getResponseHeaders (run: EngineRun): Record<string, string> {
  return { 'x-request-id': run.id, 'x-response-signature': `signed-${run.id}` }
}

/** Creates a responder that streams events which state the software version of the target. */
export function createStreamResponder ({ events, gapMs, silenceMs = 0 }: StreamResponderOptions): EngineResponder {
  return (run, res, engine) => {
    void (async () => {
      res.writeHead(200, { ...getResponseHeaders(run), 'content-type': 'text/event-stream' })
      const version = engine.events[0]!.split(' ')[0]!
      for (let at = Number(run.headers['last-event-id'] ?? 0) + 1; at <= events; at++) {
        if (res.destroyed) return
        res.write(`id: ${at}\ndata: ${version} word ${at}\n\n`)
        if (at < events) await sleep(gapMs + (at === Math.ceil(events / 2) ? silenceMs : 0))
      }
      res.end()
    })()
  }
}

/** Creates a responder that answers after some milliseconds of work. */
export function createSlowResponder (workMs: number): EngineResponder {
  return (run, res) => {
    void sleep(workMs).then(() => { if (!res.destroyed) res.writeHead(200, getResponseHeaders(run)).end(`answer to ${run.url}`) })
  }
}

/** Streams events until the caller closes. */
export const respondEndlessly: EngineResponder = (run, res) => {
  run.isBroken = true
  res.writeHead(200, { ...getResponseHeaders(run), 'content-type': 'text/event-stream' })
  const timer = setInterval(() => {
    if (res.writableNeedDrain) return
    for (let bytes = 0; bytes < FLOOD_BYTES; bytes += FLOOD_EVENT.length) res.write(FLOOD_EVENT)
  }, FLOOD_INTERVAL_MS)
  res.on('close', () => { clearInterval(timer) })
}

/** Sends most of a large response, then resets the connection. */
export const breakOffLarge: EngineResponder = (run, res) => {
  run.isBroken = true
  res.writeHead(200, { ...getResponseHeaders(run), 'content-length': LARGE_BYTES })
  res.write('x'.repeat(ARRIVING_BYTES))
  setTimeout(() => { res.socket?.resetAndDestroy() }, FLUSH_MS)
}
