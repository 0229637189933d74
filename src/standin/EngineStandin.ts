import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { sendJson } from './standinServer.js'

/** Options of {@link EngineStandin}. */
export interface EngineStandinOptions {
  /** Milliseconds to generate one token. */
  readonly msPerToken: number
  /** Milliseconds to prefill one token that is not cached. */
  readonly prefillMs: number
  /** Maximum number of requests in the batch; further requests wait. */
  readonly slots: number
  /** Maximum number of tokens of held sessions, as reported with the list of holds. */
  readonly capacityTokens: number
  /** Whether orders with an outdated fencing token are refused. */
  readonly checksOrders: boolean
}

interface ChatRequest {
  readonly messages: ReadonlyArray<{ readonly role: string, readonly content: string }>
  readonly max_tokens?: number
}

const WORDS = ['the', 'bellows', 'pipe', 'lifts', 'gently', 'then', 'check', 'wheel', 'and', 'chain', 'before', 'gluing', 'leaf', 'again', 'slowly', 'count']

/** Matches a marker in a message that sets the number of output tokens, such as `[tokens=40]`. */
const TOKENS_MARKER = /\[tokens=(\d+)\]/

/** Stands in for a model engine: batches requests, caches prefixes per session, lists its holds and accepts orders. */
export class EngineStandin {
  private readonly _options: EngineStandinOptions
  private readonly _holds = new Map<string, number>()
  private readonly _runs: string[] = []
  private readonly _waiting: Array<() => void> = []
  private _running = 0
  private _fence = 0
  private _slowdown = 1

  constructor (options: EngineStandinOptions) {
    this._options = options
  }

  /** Handles one request. */
  async handle (req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const path = req.url ?? '/'
    if (path === '/v1/chat/completions') return await this._complete(req, res, JSON.parse(body.toString()) as ChatRequest)
    if (path === '/holds') return sendJson(res, 200, { holds: this._listHolds(), capacityTokens: this._options.capacityTokens })
    if (path.startsWith('/holds/')) return this._release(res, decodeURIComponent(path.slice('/holds/'.length)))
    if (path === '/orders') return this._applyOrder(res, JSON.parse(body.toString()) as { fence: number })
    if (path === '/admin/slow') this._slowdown = (JSON.parse(body.toString()) as { factor: number }).factor
    sendJson(res, 200, { runs: this._runs, running: this._running, fence: this._fence })
  }

  private async _complete (req: IncomingMessage, res: ServerResponse, chat: ChatRequest): Promise<void> {
    const last = chat.messages.at(-1)?.content ?? ''
    if (last.includes('[crash]')) process.exit(70)
    if (last.includes('[hang]')) return
    await this._acquireSlot()
    try {
      await this._stream(req, res, chat, last)
    } finally {
      this._releaseSlot()
    }
  }

  private async _stream (req: IncomingMessage, res: ServerResponse, chat: ChatRequest, last: string): Promise<void> {
    const promptTokens = Math.ceil(chat.messages.reduce((sum, message) => sum + message.content.length, 0) / 4)
    const session = String(req.headers['x-session-id'] ?? '')
    const cachedTokens = Math.min(promptTokens, this._holds.get(session) ?? 0)
    this._runs.push(last.slice(0, 80))
    await sleep((promptTokens - cachedTokens) * this._options.prefillMs * this._slowdown)
    const requestedTokens = Number(TOKENS_MARKER.exec(last)?.[1] ?? 12 + last.length % 9)
    const limit = last.includes('[ignore-max]') ? requestedTokens : Math.min(requestedTokens, chat.max_tokens ?? requestedTokens)
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    const digest = createHash('sha256').update(JSON.stringify(chat.messages)).digest()
    for (let index = 0; index < limit; index++) {
      if (this._options.msPerToken > 0) await sleep(this._options.msPerToken * this._slowdown)
      if (res.destroyed) return
      const word = WORDS[digest[index % digest.length]! % WORDS.length]!
      const isWritten = res.write(toEvent({ choices: [{ index: 0, delta: { content: `${index === 0 ? '' : ' '}${word}` }, finish_reason: null }] }))
      if (!isWritten) await new Promise(resolve => { res.once('drain', resolve); res.once('close', resolve) })
    }
    if (session !== '') this._holds.set(session, promptTokens + limit)
    res.write(toEvent({ choices: [{ index: 0, delta: {}, finish_reason: limit < requestedTokens ? 'length' : 'stop' }] }))
    const usage = { prompt_tokens: promptTokens, completion_tokens: limit, prompt_tokens_details: { cached_tokens: cachedTokens } }
    res.write(toEvent({ choices: [], usage }))
    res.end('data: [DONE]\n\n')
  }

  private async _acquireSlot (): Promise<void> {
    if (this._running >= this._options.slots) await new Promise<void>(resolve => { this._waiting.push(resolve) })
    this._running++
  }

  private _releaseSlot (): void {
    this._running--
    this._waiting.shift()?.()
  }

  private _listHolds (): unknown[] {
    return [...this._holds].map(([key, tokens]) => ({ key, tokens }))
  }

  private _release (res: ServerResponse, key: string): void {
    this._holds.delete(key)
    sendJson(res, 200, {})
  }

  private _applyOrder (res: ServerResponse, order: { fence: number }): void {
    if (this._options.checksOrders && order.fence < this._fence) return sendJson(res, 409, { fence: this._fence })
    this._fence = order.fence
    sendJson(res, 200, {})
  }
}

function toEvent (chunk: Record<string, unknown>): string {
  return `data: ${JSON.stringify({ id: 'standin', object: 'chat.completion.chunk', ...chunk })}\n\n`
}
