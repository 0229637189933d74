import type { Dispatcher } from 'undici'
import type { CallEvent, Claim } from '../../core/call/index.js'
import { isRefusalReason, type RetryReason } from '../../core/reason/index.js'
import { LOAD_HEADER } from '../sidecar/index.js'
import type { LoadSample } from '../../core/sidecar/index.js'
import type { CallerStream } from './CallerStream.js'
import type { SidecarClient } from './SidecarClient.js'

/** Milliseconds without a byte after which the relay asks the sidecar how many bytes it has buffered. */
export const RELAY_SILENCE_MS = 1_500

/** Consecutive failed checks after which a connection without bytes is aborted. */
const MAX_FAILED_CHECKS = 2

/** Options of {@link ResponseRelay}. */
export interface ResponseRelayOptions {
  readonly client: SidecarClient
  readonly claim: Claim
  /** Stream that receives the bytes; undefined when the relay only waits for the end of the response. */
  readonly stream: CallerStream | undefined
  readonly onRetry: (reason: RetryReason) => void
  readonly onLoad: (load: LoadSample) => void
}

/** Relays the response of one attempt from its sidecar to the caller, without parsing it. */
export class ResponseRelay {
  private readonly _options: ResponseRelayOptions
  private _received = 0
  private _lastByteAt = 0

  constructor (options: ResponseRelayOptions) {
    this._options = options
  }

  /** Opens a response and relays it until it ends, its connection is lost or the connection stops delivering bytes. */
  async run (open: () => Promise<Dispatcher.ResponseData>, offset: number): Promise<CallEvent> {
    try {
      const res = await open()
      if (res.statusCode !== 200) return await this._toRefusedEvent(res)
      this._recordLoad(res)
      return await this._relay(res, offset)
    } catch {
      return { type: 'lost' }
    }
  }

  private async _toRefusedEvent (res: Dispatcher.ResponseData): Promise<CallEvent> {
    const body = await res.body.json().catch(() => ({})) as { reason?: string }
    const reason = body.reason ?? ''
    return isRefusalReason(reason) ? { type: 'refused', reason } : { type: 'lost' }
  }

  private _recordLoad (res: Dispatcher.ResponseData): void {
    const header = res.headers[LOAD_HEADER]
    if (typeof header === 'string') this._options.onLoad(JSON.parse(header) as LoadSample)
  }

  private async _relay (res: Dispatcher.ResponseData, offset: number): Promise<CallEvent> {
    this._received = offset
    this._lastByteAt = Date.now()
    const timer = this._startSilenceChecks(res)
    try {
      for await (const chunk of res.body as AsyncIterable<Buffer>) {
        this._received += chunk.length
        // Time spent waiting for a slow caller doesn't count as silence of the sidecar.
        this._lastByteAt = Infinity
        await this._options.stream?.write(this._options.claim.attempt, chunk)
        this._lastByteAt = Date.now()
      }
      return { type: 'ended' }
    } finally {
      clearInterval(timer)
    }
  }

  /** Detects a stalled connection by asking the sidecar, over another connection, for the size of the response. */
  private _startSilenceChecks (res: Dispatcher.ResponseData): NodeJS.Timeout {
    const { client, claim } = this._options
    const { attempt, incarnation, claimedAt } = claim
    let failedChecks = 0
    let isCheckInProgress = false
    return setInterval(() => {
      if (isCheckInProgress || Date.now() - this._lastByteAt < RELAY_SILENCE_MS) return
      isCheckInProgress = true
      const receivedBefore = this._received
      client.control.locate.mutate({ attempt, incarnation, claimedAt, cancelIfAbsent: false })
        .then(located => {
          failedChecks = 0
          const isActive = located.state === 'running' || located.state === 'queued'
          const isSilent = receivedBefore === this._received && (!isActive || located.bytes > receivedBefore)
          if (isSilent) this._abort(res)
        }, () => {
          failedChecks++
          if (failedChecks >= MAX_FAILED_CHECKS) this._abort(res)
        })
        .finally(() => { isCheckInProgress = false })
    }, RELAY_SILENCE_MS / 3)
  }

  private _abort (res: Dispatcher.ResponseData): void {
    this._options.onRetry('relay-silent')
    res.body.destroy(new Error('The connection to the sidecar stopped delivering bytes.'))
  }
}
