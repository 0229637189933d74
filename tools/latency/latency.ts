/** Measures the latency that entry and sidecar add to a streamed response, in rounds that also make the call directly. */
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { startWorkshop, WORKSHOP_KEY } from '../fleet/workshop.js'

const MEASURED_ROUNDS = 400
const WARM_UP_ROUNDS = 30
const TOKENS = 24
const MS_PER_TOKEN = 8
const MICROSECONDS_PER_MS = 1_000

/** Latencies of one path of a call, in microseconds. */
class Latencies {
  readonly firstToken: Histogram = build({ numberOfSignificantValueDigits: 3 })
  readonly betweenTokens: Histogram = build({ numberOfSignificantValueDigits: 3 })

  constructor (readonly name: string) {}

  toRow (): string {
    const cells = [this.firstToken, this.betweenTokens].flatMap(histogram => [50, 95, 99].map(percentile =>
      (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(2).padStart(8)))
    return this.name.padEnd(30) + cells.join('')
  }
}

const agent = new Agent({ connections: 4 })

/** Makes one streamed call; records the time to its first token and the times between its tokens. */
async function measure (times: Latencies | undefined, url: string, body: unknown): Promise<void> {
  const startedAt = performance.now()
  const res = await request(url, {
    method: 'POST',
    dispatcher: agent,
    headers: { authorization: `Bearer ${WORKSHOP_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify(body)
  })
  let lastTokenAt = 0
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    if (!chunk.includes('"content"')) continue
    const now = performance.now()
    if (lastTokenAt === 0) times?.firstToken.recordValue((now - startedAt) * MICROSECONDS_PER_MS)
    else times?.betweenTokens.recordValue((now - lastTokenAt) * MICROSECONDS_PER_MS)
    lastTokenAt = now
  }
}

const messages = [{ role: 'user', content: `Tell me [tokens=${TOKENS}]` }]
const completion = { model: 'consultation', messages, max_tokens: TOKENS + 1, stream: true }
const fleet = await startWorkshop({ engines: 1, desks: 1, entries: 1, engineArgs: ['--ms-per-token', String(MS_PER_TOKEN)] })
try {
  const entry = fleet.get('entry-1').url
  const direct = new Latencies('direct')
  const stateless = new Latencies('through, chat completion')
  const durable = new Latencies('through, call of a session')
  for (let round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round++) {
    const isMeasured = round >= WARM_UP_ROUNDS
    await measure(isMeasured ? direct : undefined, `${fleet.get('ratgeber-1/target').url}/v1/chat/completions`, completion)
    await measure(isMeasured ? stateless : undefined, `${entry}/v1/chat/completions`, completion)
    const opened = await request(`${entry}/v1/sessions`, {
      method: 'POST', dispatcher: agent, headers: { authorization: `Bearer ${WORKSHOP_KEY}` }, body: JSON.stringify({ program: 'guidance' })
    })
    const { id } = await opened.body.json() as { id: string }
    await measure(isMeasured ? durable : undefined, `${entry}/v1/sessions/${id}/calls/1`, { type: 'model', messages, max_tokens: TOKENS + 1, stream: true })
  }
  process.stdout.write(`${MEASURED_ROUNDS} triples, ${TOKENS} tokens each, ${MS_PER_TOKEN} ms a token; milliseconds\n`)
  process.stdout.write(`${''.padEnd(30)}first:50      95      99 betw:50      95      99\n`)
  for (const times of [direct, stateless, durable]) process.stdout.write(`${times.toRow()}\n`)
} finally {
  await agent.destroy()
  await fleet.stop()
}
