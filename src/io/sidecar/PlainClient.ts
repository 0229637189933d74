import type { Dispatch } from '../../core/call/index.js'
import type { RunTermination } from '../../core/sidecar/index.js'
import { isConnectFailure, TargetClient, type RunObserver } from './TargetClient.js'

/** Runs requests at a plain service with `POST /{operation}`. */
export class PlainClient extends TargetClient {
  protected async send (dispatch: Dispatch, signal: AbortSignal, _observer: RunObserver): Promise<RunTermination> {
    const res = await this.request('POST', `/${dispatch.operation}`, {
      signal,
      headers: { 'content-type': dispatch.contentType, 'idempotency-key': dispatch.ledgerKey },
      body: dispatch.body
    })
    const text = await res.body.text()
    const contentType = String(res.headers['content-type'] ?? 'application/octet-stream')
    return { type: 'complete', answer: { status: res.statusCode, contentType, text, tokens: 0, finish: 'stop' }, cachedTokens: 0, promptTokens: 0 }
  }

  protected toFailureTermination (err: unknown, signal: AbortSignal): RunTermination {
    const type = isConnectFailure(err) ? 'unreached' : signal.aborted ? 'aborted' : 'crashed'
    return { type, answer: { status: 502, contentType: 'text/plain', text: '', tokens: 0, finish: type }, cachedTokens: 0, promptTokens: 0 }
  }
}
