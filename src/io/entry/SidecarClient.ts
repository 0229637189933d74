import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Agent, fetch, request, type Dispatcher } from 'undici'
import type { Claim, Dispatch } from '../../core/call/index.js'
import { TicketPurpose, type TicketClaims, type TicketSigner } from '../../core/ticket/index.js'
import { digestBody, TICKET_SCHEME, type SidecarRouter } from '../sidecar/index.js'

/** Time-out of a control call, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 1_000

/** Milliseconds within which a sidecar must accept or refuse a dispatch. */
export const DISPATCH_TIMEOUT_MS = 3_000

/** Milliseconds for which a control ticket is reused before a new one is signed. */
const CONTROL_TICKET_REUSE_MS = 2_000

/** Options of {@link SidecarClient}. */
export interface SidecarClientOptions {
  /** Base URL of the sidecar. */
  readonly url: string
  readonly entry: string
  readonly signer: TicketSigner
  readonly getConfigVersion: () => number
}

/** Sends dispatches to one sidecar and opens its response streams over plain HTTP; makes control calls over tRPC. */
export class SidecarClient {
  readonly control: TRPCClient<SidecarRouter>
  private readonly _options: SidecarClientOptions
  private readonly _streamAgent = new Agent({
    connect: { timeout: CONTROL_TIMEOUT_MS }, headersTimeout: DISPATCH_TIMEOUT_MS, bodyTimeout: 0, connections: null
  })

  private readonly _controlAgent = new Agent({
    connect: { timeout: CONTROL_TIMEOUT_MS }, headersTimeout: CONTROL_TIMEOUT_MS, bodyTimeout: CONTROL_TIMEOUT_MS
  })

  private _controlTicket = { value: '', signedAt: -Infinity }

  constructor (options: SidecarClientOptions) {
    this._options = options
    this.control = createTRPCClient<SidecarRouter>({
      links: [httpLink({
        url: `${options.url}/trpc`,
        headers: () => ({ authorization: this._getControlTicket() }),
        fetch: async (input, init) => await this._fetch(input as string, init as Parameters<typeof fetch>[1])
      })]
    })
  }

  /** Sends a dispatch; resolves with the response as soon as its headers arrive. */
  async dispatch (dispatch: Dispatch): Promise<Dispatcher.ResponseData> {
    const body = Buffer.from(JSON.stringify(dispatch))
    const authorization = TICKET_SCHEME + this._options.signer.sign(this._toClaims(dispatch, digestBody(body)))
    return await request(`${this._options.url}/dispatch`, {
      method: 'POST', dispatcher: this._streamAgent, headers: { authorization, 'content-type': 'application/json' }, body
    })
  }

  /** Reopens the response of an attempt at a byte offset. */
  async attach (claim: Claim, offset: number): Promise<Dispatcher.ResponseData> {
    const path = `/answers?attempt=${encodeURIComponent(claim.attempt)}&from=${offset}`
    return await request(`${this._options.url}${path}`, {
      method: 'GET', dispatcher: this._streamAgent, headers: { authorization: this._getControlTicket() }
    })
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await Promise.all([this._streamAgent.destroy(), this._controlAgent.destroy()])
  }

  private async _fetch (url: string, init: Parameters<typeof fetch>[1]): Promise<Response> {
    // The types of undici and of the built-in fetch differ in name only.
    return await fetch(url, { ...init, dispatcher: this._controlAgent }) as unknown as Response
  }

  private _toClaims (dispatch: Dispatch, bodyDigest: string): TicketClaims {
    const { claim, ledgerKey } = dispatch
    return {
      purpose: TicketPurpose.Dispatch,
      entry: this._options.entry,
      attempt: claim.attempt,
      ledgerKey,
      epoch: claim.epoch,
      incarnation: claim.incarnation,
      configVersion: this._options.getConfigVersion(),
      // The time of the claim, not of the dispatch, so that the ticket of an entry that was paused between the two has expired.
      issuedAt: claim.claimedAt,
      bodyDigest
    }
  }

  private _getControlTicket (): string {
    const now = Date.now()
    if (now - this._controlTicket.signedAt >= CONTROL_TICKET_REUSE_MS) {
      const claims: TicketClaims = {
        purpose: TicketPurpose.Control,
        entry: this._options.entry,
        attempt: '',
        ledgerKey: '',
        epoch: 0,
        incarnation: '',
        configVersion: this._options.getConfigVersion(),
        issuedAt: now,
        bodyDigest: ''
      }
      this._controlTicket = { value: TICKET_SCHEME + this._options.signer.sign(claims), signedAt: now }
    }
    return this._controlTicket.value
  }
}
