import { CrashForms } from './CrashForms.js'
import type { CrashingForm, CrashingTry } from './CrashingRequest.js'

/** Most loopback addresses from which the request comes. */
const MAX_ADDRESSES = 4

/** Bytes of a body that each try repeats, and to which it adds others. */
const HISTORY_BYTES = 600

/** Sends a request that crashes targets from several addresses, in several programs, or as the beginning of longer and longer bodies. */
export class CrashSenders extends CrashForms {
  private _addresses = 1
  private _hasPrograms = false
  private _isContinued = false
  private _tries = 0

  protected override _drawForm (): CrashingForm {
    this._addresses = this._random.int(1, MAX_ADDRESSES)
    this._hasPrograms = this._random.int(0, 1) === 0
    this._isContinued = this._random.int(0, 1) === 0
    return super._drawForm()
  }

  protected override _createTry (body: string | undefined): CrashingTry {
    const at = ++this._tries
    const program = `crash-${at}`
    return {
      body: this._isContinued ? 'history '.padEnd(HISTORY_BYTES + 10 * at, 'history ') : body,
      localAddress: `127.0.0.${2 + at % this._addresses}`,
      headers: this._hasPrograms ? { 'x-program-id': program, 'x-session-id': program } : {}
    }
  }
}
