import type { Dispatch } from '../../core/call/index.js'
import type { EngineHolds, RunTermination } from '../../core/sidecar/index.js'
import { SseParser, type ServerSentEvent } from './SseParser.js'
import { isConnectFailure, TargetClient, type RunObserver } from './TargetClient.js'

/** Time-out of a control request to the engine, in milliseconds. */
const CONTROL_TIMEOUT_MS = 2_000

/** HTTP statuses with which an engine refuses a request that it has not started. */
const NOT_STARTED_STATUSES: ReadonlySet<number> = new Set([429, 503])

/** Members of a chat completion chunk that the sidecar reads. */
interface CompletionChunk {
  readonly choices?: ReadonlyArray<{ readonly delta?: { readonly content?: string }, readonly finish_reason?: string | null }>
  readonly usage?: { readonly prompt_tokens?: number, readonly prompt_tokens_details?: { readonly cached_tokens?: number } } | null
}

/** Accumulates the content and usage read from one streamed response. */
class ResponseProgress {
  text = ''
  finish = 'stop'
  cachedTokens = 0
  promptTokens = 0

  toTermination (type: RunTermination['type']): RunTermination {
    return {
      type,
      answer: { status: 200, contentType: 'text/plain; charset=utf-8', text: this.text, tokens: 0, finish: this.finish },
      cachedTokens: this.cachedTokens,
      promptTokens: this.promptTokens
    }
  }
}

/** Runs model calls at an engine with the chat completions API, always in streaming mode. */
export class EngineClient extends TargetClient {
  private readonly _progress = new WeakMap<AbortSignal, ResponseProgress>()
  private _model = ''

  /** Sets the model name sent with requests. */
  setModel (model: string): void {
    this._model = model
  }

  /** Gets the list of holds from the engine. */
  async getHolds (): Promise<EngineHolds> {
    const res = await this.request('GET', '/holds', { signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS) })
    return await res.body.json() as EngineHolds
  }

  /** Releases a session's hold at the engine. */
  async releaseHold (key: string): Promise<void> {
    const res = await this.request('DELETE', `/holds/${encodeURIComponent(key)}`, { signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS) })
    await res.body.dump()
  }

  /** Orders the engine to load a model; returns whether it accepted the order. */
  async order (model: string, fence: number): Promise<boolean> {
    const res = await this.request('POST', '/orders', {
      signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ order: 'load', model, fence })
    })
    await res.body.dump()
    return res.statusCode === 200
  }

  protected async send (dispatch: Dispatch, signal: AbortSignal, observer: RunObserver): Promise<RunTermination> {
    const progress = new ResponseProgress()
    this._progress.set(signal, progress)
    const res = await this.request('POST', '/v1/chat/completions', {
      signal,
      headers: { 'content-type': 'application/json', ...(dispatch.holdKey === '' ? {} : { 'x-session-id': dispatch.holdKey }) },
      body: JSON.stringify({
        model: this._model,
        messages: dispatch.messages,
        max_tokens: dispatch.claim.reservedTokens,
        priority: dispatch.attainedTokens,
        stream: true,
        stream_options: { include_usage: true }
      })
    })
    if (res.statusCode !== 200) return await toErrorTermination(res.statusCode, await res.body.text(), String(res.headers['content-type'] ?? 'text/plain'))
    const parser = new SseParser()
    for await (const chunk of res.body) {
      for (const event of parser.add(chunk as Buffer)) {
        if (event.data === '[DONE]') return progress.toTermination('complete')
        applyEvent(event, progress, observer)
        if (signal.aborted) return progress.toTermination('aborted')
      }
    }
    // The stream ended without `[DONE]`, so the response is incomplete.
    return progress.toTermination('crashed')
  }

  protected toFailureTermination (err: unknown, signal: AbortSignal): RunTermination {
    const progress = this._progress.get(signal) ?? new ResponseProgress()
    if (isConnectFailure(err)) return progress.toTermination('unreached')
    return progress.toTermination(signal.aborted ? 'aborted' : 'crashed')
  }
}

function applyEvent (event: ServerSentEvent, progress: ResponseProgress, observer: RunObserver): void {
  const chunk = JSON.parse(event.data) as CompletionChunk
  const choice = chunk.choices?.[0]
  const content = choice?.delta?.content ?? ''
  if (chunk.usage !== undefined && chunk.usage !== null) {
    progress.promptTokens = chunk.usage.prompt_tokens ?? 0
    progress.cachedTokens = chunk.usage.prompt_tokens_details?.cached_tokens ?? 0
  }
  if (choice?.finish_reason !== undefined && choice.finish_reason !== null) progress.finish = choice.finish_reason
  if (content !== '' && observer.getRemainingTokens() <= 0) return
  progress.text += content
  observer.onBytes(event.raw, content === '' ? 0 : 1)
}

async function toErrorTermination (status: number, text: string, contentType: string): Promise<RunTermination> {
  const type = NOT_STARTED_STATUSES.has(status) ? 'unreached' : 'complete'
  return { type, answer: { status, contentType, text, tokens: 0, finish: 'error' }, cachedTokens: 0, promptTokens: 0 }
}
