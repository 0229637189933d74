import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { formatRequest, RawChannel } from '../RawChannel.js'
import { respondEndlessly } from '../responders.js'

const CALLERS = 3

/** Time for which callers read, or hold a connection without reading, in milliseconds. */
const TIMEOUT_MS = 5_000

const PATHS = ['/turns/kept/endless', '/turns/resumable/endless', '/turns/single/endless'] as const

/** Lets a target stream without end, to callers that read and to callers that do not. */
export class Endless extends Disturbance {
  async play (): Promise<void> {
    const { engines, desks } = this._world.fixture
    for (const engine of engines) for (const path of PATHS) engine.responders.set(path, respondEndlessly)
    for (const desk of desks) desk.responders.set('/lookup/endless', respondEndlessly)
    await Promise.all(Array.from({ length: CALLERS }, async () => {
      await sleep(this._random.int(0, TIMEOUT_MS / 10))
      await (this._random.int(0, 2) === 0 ? this._holdUnread() : this._read(this._pick([...PATHS, '/lookup/endless'])))
    }))
  }

  private async _read (path: string): Promise<void> {
    const id = this._world.createId('endless')
    const program = { 'x-program-id': id, 'x-token-budget': '1000', 'x-token-usage': '10,50' }
    const signal = AbortSignal.timeout(TIMEOUT_MS)
    await this._world.send({ id, path, method: 'POST', body: id, signal, headers: { 'x-timeout-ms': String(TIMEOUT_MS), ...program } })
  }

  private async _holdUnread (): Promise<void> {
    const address = this._world.pickSlot(this._random)?.process?.callerAddress
    if (address === undefined) return
    const id = this._world.createId('unread')
    const channel = new RawChannel(address)
    channel.socket.write(formatRequest({ id, path: this._pick(PATHS), body: id, timeoutMs: TIMEOUT_MS }))
    channel.socket.pause()
    await channel.finish(TIMEOUT_MS)
  }
}
