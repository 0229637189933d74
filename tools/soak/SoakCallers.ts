import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Random } from '../measure/Random.js'
import type { PlatformCall, PlatformCallResponse } from '../platform/PlatformCaller.js'
import type { SoakWorld } from './SoakWorld.js'

/** Tokens that one event of the fixture's model counts for. */
const TOKENS_PER_EVENT = 4

/** Most tokens of one turn that programs state. */
const MAX_TURN_TOKENS = 50

/** Budget of a program, in tokens; enough for some turns of three events. */
const BUDGET = 120

/** Tries of one request. */
const TRIES = 3

/** Milliseconds between two tries. */
const RETRY_MS = 150

/** Options of {@link SoakCallers}. */
export interface SoakCallersOptions {
  readonly world: SoakWorld
  readonly random: Random
}

/** Sends requests of all kinds until it is stopped, and checks what callers receive; connections stay open until a gateway is gone. */
export class SoakCallers {
  private readonly _options: SoakCallersOptions
  private readonly _agent = new Agent({ keepAlive: true })
  private _isStopped = false

  constructor (options: SoakCallersOptions) {
    this._options = options
  }

  /** Runs a number of callers of each kind until {@link stop}. */
  async run (callersOfEachKind: number): Promise<void> {
    const kinds = [this._book, this._lookUp, this._runProgram, this._readStream]
    const callers = kinds.flatMap(kind => Array.from({ length: callersOfEachKind }, async () => { await this._repeat(kind) }))
    await Promise.all(callers)
    this._agent.destroy()
  }

  /** Lets each caller finish what it does. */
  stop (): void {
    this._isStopped = true
  }

  private async _repeat (act: () => Promise<void>): Promise<void> {
    while (!this._isStopped) {
      await act.call(this)
      await sleep(this._options.random.int(0, 60))
    }
  }

  private async _book (): Promise<void> {
    const id = this._createId('booking')
    this._checkWhole(id, `answer to /booking/${id}`, await this._send({ id, path: `/booking/${id}`, body: id }))
  }

  private async _lookUp (): Promise<void> {
    const id = this._createId('lookup')
    this._checkWhole(id, `answer to /lookup/${id}`, await this._send({ id, path: `/lookup/${id}` }))
  }

  private _checkWhole (id: string, expected: string, response: PlatformCallResponse): void {
    if (response.status !== 200 || !response.isComplete) return
    const isSigned = response.headers['x-response-signature'] === `signed-${id}`
    this._options.world.checks.check('whole', isSigned && response.body === expected, () => `${id} got "${response.body}", signed: ${isSigned}`)
  }

  /** Runs the turns of a program until its budget is spent or a turn fails in all tries. */
  private async _runProgram (): Promise<void> {
    const { world, world: { checks } } = this._options
    const program = this._createId('program')
    let history = ''
    let previous: string | undefined
    let tokens = 0
    while (!this._isStopped) {
      const input = `${program} asks ${history.length}. `
      let answered: { id: string, events: string[] } | undefined
      for (let tries = 0; tries < TRIES && answered === undefined; tries++) {
        if (tries > 0) await sleep(RETRY_MS)
        const id = this._createId('turn')
        const response = await this._send({ id, path: '/turns/kept/a', body: input, headers: createTurnHeaders(program, previous) })
        const events = getEvents(response.body)
        tokens += events.length * TOKENS_PER_EVENT
        checks.check('budget', tokens <= BUDGET + MAX_TURN_TOKENS, () => `${program} got ${tokens} tokens`)
        checks.check('kept', ![404, 410].includes(response.status), () => `${id} got ${response.status} for ${previous}`)
        if (response.status === 402) world.noteRefused({ id, path: '/turns/kept/a' }, '402')
        if (response.status === 402) return
        if (response.status !== 200) continue
        for (const run of world.getRuns(id)) {
          checks.check('history', run.body === history + input, () => `${id} ran with "${run.body}" instead of "${history + input}"`)
        }
        this._checkStream(id, events, response.isComplete)
        if (response.isComplete) answered = { id, events }
      }
      if (answered === undefined) return
      history += input + answered.events.map(event => `${event.slice(event.indexOf(' ') + 1)}\n`).join('')
      previous = answered.id
    }
  }

  /** Reads a stream that goes on at another gateway when it breaks off. */
  private async _readStream (): Promise<void> {
    const first = this._createId('stream')
    let begun: string | undefined
    let events: string[] = []
    for (let tries = 0; tries < TRIES; tries++) {
      if (tries > 0) await sleep(RETRY_MS)
      const id = tries === 0 ? first : this._createId('stream')
      const headers: Record<string, string> = begun === undefined ? {} : { resumes: begun, 'last-event-id': String(events.length) }
      const response = await this._send({ id, path: '/turns/resumable/a', body: first, headers })
      if (response.status !== 200) {
        // A stream that cannot go on starts anew.
        if (begun !== undefined) [begun, events] = [undefined, []]
        continue
      }
      const received = getEvents(response.body)
      if (begun === undefined && received.length > 0) begun = id
      events = [...events, ...received]
      this._checkStream(id, events, response.isComplete)
      if (response.isComplete) return
    }
  }

  /** Checks the events of a stream, over all its tries: `1 v1 first`, `2 v1 second`, and so on. */
  private _checkStream (id: string, events: readonly string[], isComplete: boolean): void {
    const { checks, fixture } = this._options.world
    const isOrdered = events.every((event, at) => event.startsWith(`${at + 1} `))
    const isEnd = !isComplete || events.length === fixture.engines[0]!.events.length
    checks.check('order', isOrdered && isEnd, () => `${id}, complete: ${isComplete}: ${JSON.stringify(events)}`)
    const versions = new Set(events.map(event => event.split(' ')[1]))
    checks.check('version', versions.size <= 1, () => `${id}: ${JSON.stringify(events)}`)
  }

  private async _send (call: PlatformCall): Promise<PlatformCallResponse> {
    return await this._options.world.send({ ...call, agent: this._agent })
  }

  private _createId (kind: string): string {
    return this._options.world.createId(kind)
  }
}

function createTurnHeaders (program: string, previous: string | undefined): Record<string, string> {
  const headers = { 'x-program-id': program, 'x-token-budget': String(BUDGET), 'x-token-usage': `10,${MAX_TURN_TOKENS}` }
  return previous === undefined ? headers : { ...headers, 'x-previous-turn': previous }
}

/** Gets the whole events of a stream as "id data". */
export function getEvents (body: string): string[] {
  return [...body.matchAll(/id: ([0-9]+)\ndata: ([^\n]*)\n\n/g)].map(([, id, data]) => `${id} ${data}`)
}
