import { setTimeout as sleep } from 'node:timers/promises'
import type { EngineStandin } from '../../platform/EngineStandin.js'
import { getResponseHeaders } from '../responders.js'
import { CrashingRequest, type CrashingForm } from './CrashingRequest.js'

/** Milliseconds of silence after which the row of a target expires; shorter than real ones, so that a run sees several ends. */
const EXPIRY_MS = 1_500

/** Most callers that send the request at the same time. */
const MAX_COPIES = 3

/** Milliseconds after which callers leave, and from then to the end of the target. */
const LEAVE_AFTER_MS = 60
const END_AFTER_MS = 40

/** Milliseconds from an answer to the end of its target, so that it arrives. */
const ANSWERED_MS = 20

/** Sends a request that crashes targets in a drawn form: how their ends look, how many callers send it, and whether they leave before. */
export class CrashForms extends CrashingRequest {
  protected override _drawForm (): CrashingForm {
    const copies = this._random.int(1, MAX_COPIES)
    const leaves = this._random.int(0, 2) === 0
    const endOthers = this._pick([this._reset, this._fallSilent])
    const first = this._pick<CrashingForm['end']>([
      async () => {},
      async (_desk, _run, res) => { res.socket?.resetAndDestroy() },
      async (_desk, run, res) => {
        res.writeHead(500, { ...getResponseHeaders(run), 'content-length': '6' }).end('failed')
        await sleep(ANSWERED_MS)
      }
    ])
    return {
      copies,
      leaveAfterMs: leaves ? LEAVE_AFTER_MS : undefined,
      end: async (desk, run, res) => {
        if (leaves) await sleep(LEAVE_AFTER_MS + END_AFTER_MS)
        else await first(desk, run, res)
        await endOthers(desk)
      }
    }
  }

  private readonly _reset = async (desk: EngineStandin): Promise<void> => { desk.crash() }

  private readonly _fallSilent = async (desk: EngineStandin): Promise<void> => {
    desk.silence()
    await sleep(EXPIRY_MS)
    this._world.fixture.unregister(desk)
    // Frees its port for the next incarnation.
    desk.crash()
  }
}
