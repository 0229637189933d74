import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { sendJson } from './standinServer.js'

/** Stands in for a plain service; its ledger lists the operations that ran, in order. */
export class PlainStandin {
  private readonly _ledger: Array<{ operation: string, key: string }> = []

  /** Handles one request: `POST /{operation}` runs an operation, `GET /admin/ledger` lists the operations that ran. */
  async handle (req: IncomingMessage, res: ServerResponse, body: Buffer): Promise<void> {
    const path = req.url ?? '/'
    if (path === '/admin/ledger') return sendJson(res, 200, { ledger: this._ledger })
    const operation = path.slice(1)
    const text = body.toString()
    if (text.includes('"[crash]"')) process.exit(70)
    this._ledger.push({ operation, key: String(req.headers['idempotency-key'] ?? '') })
    const number = this._ledger.length
    if (text.includes('"[hang]"')) return
    const delay = /"delayMs":(\d+)/.exec(text)?.[1]
    if (delay !== undefined) await sleep(Number(delay))
    sendJson(res, 200, { operation, number, request: text === '' ? null : JSON.parse(text) as unknown })
  }
}
