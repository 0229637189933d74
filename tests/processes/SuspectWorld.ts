import { setTimeout as sleep } from 'node:timers/promises'
import { REFUSE_AFTER_INCARNATIONS } from '../../src/core/suspect/index.js'
import type { EngineStandin } from '../../tools/platform/EngineStandin.js'
import { GatewayProcess } from '../../tools/platform/GatewayProcess.js'
import { callPlatform, type PlatformCall, type PlatformCallResponse } from '../../tools/platform/PlatformCaller.js'
import { PlatformFixture } from '../../tools/platform/PlatformFixture.js'
import { waitFor } from './GatewayHarness.js'

/** Number of gateways unless stated. */
const GATEWAYS = 2

/** Model engines, in failure domains of equal size. */
const ENGINES = 9
const DOMAINS = 3

/** Plain services. */
const DESKS = 8

/** Milliseconds before each event of a stream but the first. */
const EVENT_GAP_MS = 150

/** Times that a turn is sent from its start, and tries of each. */
const SENDINGS = 3
const TRIES = 2

/** Milliseconds before a turn is sent again from its start, at least and at most. */
const MIN_RESEND_MS = 100
const MAX_RESEND_MS = 400

/** Milliseconds between two plain requests. */
const PLAIN_GAP_MS = 25

/** How a target is replaced. */
export interface Replacement {
  readonly end: () => void | Promise<void>
  /** Milliseconds after its end after which its row is removed. */
  readonly removedMs: number
  /** Milliseconds after its end after which another target is registered. */
  readonly downMs: number
}

/** A turn of a program with all of its tries. */
export interface SentTurn {
  readonly program: string
  readonly startedAt: number
  readonly isLater: boolean
  readonly tries: string[]
  readonly statuses: number[]
}

/** Programs that a world sends. */
export interface Programs {
  readonly perSecond: number
  readonly turns: number
  /** Input of all turns but the first. */
  readonly input: string
}

/** Gateways with targets in failure domains, callers that send programs, and crashes from outside. */
export class SuspectWorld {
  readonly fixture = new PlatformFixture()
  readonly gateways: GatewayProcess[] = []
  readonly turns: SentTurn[] = []
  /** Path of the turns of programs. */
  turnPath = '/turns/kept/x'
  private readonly _ids: readonly string[]
  private readonly _down = new Set<EngineStandin>()
  private _isClosed = false
  private _requests = 0
  private _programs = 0

  constructor (gateways = GATEWAYS) {
    this._ids = Array.from({ length: gateways }, (_, at) => `gateway-${at + 1}`)
  }

  /** Starts the stand-ins and the gateways. */
  async start (): Promise<void> {
    await this.fixture.start({ engines: ENGINES, desks: DESKS })
    for (const engine of this.fixture.engines) engine.eventGapMs = EVENT_GAP_MS
    this.gateways.push(...await Promise.all(this._ids.map(async id => await this._startGateway(id))))
    await waitFor(() => this.gateways.every(gateway => gateway.getEvents('peers-known').length > 0))
  }

  /** Ends all processes and stand-ins. */
  async stop (): Promise<void> {
    this._isClosed = true
    for (const gateway of this.gateways) await gateway.kill()
    this.fixture.close()
  }

  /** Kills all gateways at once and starts them again. */
  async restartGateways (): Promise<void> {
    for (const gateway of this.gateways) await gateway.kill()
    // Until then callers find the ports closed.
    const started = await Promise.all(this._ids.map(async id => await this._startGateway(id)))
    this.gateways.splice(0, this.gateways.length, ...started)
  }

  /** Gets all targets. */
  getTargets (): EngineStandin[] {
    return [...this.fixture.engines, ...this.fixture.desks]
  }

  /** Gets the model engines of a failure domain. */
  getDomain (index: number): EngineStandin[] {
    return this.fixture.engines.filter((_, at) => at % DOMAINS === index)
  }

  /** Gets the targets of a service that are in the failure domain of one, itself included. */
  getNeighbours (target: EngineStandin): EngineStandin[] {
    const service = this.fixture.engines.includes(target) ? this.fixture.engines : this.fixture.desks
    return service.filter((_, at) => at % DOMAINS === service.indexOf(target) % DOMAINS)
  }

  /** Checks whether a target has ended or is down. */
  isDown (target: EngineStandin): boolean {
    return this._down.has(target)
  }

  /** Ends a target, removes its row, and starts another one with a new id in its place; does nothing if it has ended. */
  async replace (target: EngineStandin, { end, removedMs, downMs }: Replacement): Promise<void> {
    if (this._down.has(target)) return
    this._down.add(target)
    await end()
    await Promise.all([
      sleep(removedMs).then(() => { this.fixture.unregister(target) }),
      sleep(downMs).then(async () => { if (!this._isClosed) await this.fixture.addReplacement(target) })
    ])
  }

  /** Crashes targets together and starts them again after some time; targets that are down are left out. */
  async crash (targets: readonly EngineStandin[], downMs: number): Promise<void> {
    const crashed = targets.filter(target => !this._down.has(target))
    for (const target of crashed) {
      this._down.add(target)
      target.crash()
    }
    await sleep(downMs)
    for (const target of crashed) {
      if (this._isClosed) return
      await target.start()
      this.fixture.register(target)
      this._down.delete(target)
    }
  }

  /** Sends a request to the gateways in turn. */
  async send (
    path: string, body: string | undefined, headers: Record<string, string>,
    { signal, localAddress }: Pick<PlatformCall, 'signal' | 'localAddress'> = {}
  ): Promise<{ id: string, res: PlatformCallResponse }> {
    const at = ++this._requests
    const id = `r${at}`
    const { callerAddress } = this.gateways[at % this.gateways.length]!
    const res = await callPlatform(callerAddress, { id, path, body, headers, signal, localAddress })
    return { id, res }
  }

  /** Sends lookups and short streams, each once, until a promise resolves. */
  async sendPlain (until: Promise<unknown>): Promise<void> {
    const state = { isOver: false }
    const over = until.finally(() => { state.isOver = true })
    const sent: Array<Promise<unknown>> = []
    while (!state.isOver) {
      const at = sent.length
      const path = at % 2 === 0 ? `/lookup/plain${at}` : `/turns/resumable/plain${at}`
      sent.push(this.send(path, `plain ${at}`, at % 2 === 0 ? {} : getProgramHeaders(`plain${at}`)))
      await sleep(PLAIN_GAP_MS)
    }
    await Promise.all(sent)
    await over
  }

  /** Gets the runs of a path later than some milliseconds after the third target that it crashed. */
  countLateRuns (path: string, afterMs: number): number {
    const runs = this.getTargets().flatMap(target => target.runs.filter(run => run.url === path))
    const times = runs.map(run => run.at).sort((a, b) => a - b)
    const third = times[REFUSE_AFTER_INCARNATIONS - 1] ?? Infinity
    return times.filter(at => at > third + afterMs).length
  }

  /** Gets the number of requests that gateways refused because they crash targets. */
  countRefused (): number {
    return this.gateways.flatMap(gateway => gateway.getEvents('refused')).filter(({ reason }) => reason === 'crashes-targets').length
  }

  /** Sends a turn with a retry after each refusal, and again from its start when all tries failed; returns the id that was answered. */
  async sendTurn (program: string, input: string, previous?: string): Promise<string | undefined> {
    const turn: SentTurn = { program, startedAt: performance.now(), isLater: previous !== undefined, tries: [], statuses: [] }
    this.turns.push(turn)
    const headers = { ...getProgramHeaders(program), ...(previous === undefined ? {} : { 'x-previous-turn': previous }) }
    for (let sending = 0; sending < SENDINGS; sending++) {
      if (sending > 0) await sleep(MIN_RESEND_MS + (MAX_RESEND_MS - MIN_RESEND_MS) * Math.random())
      for (let retry = 0; retry < TRIES; retry++) {
        const { id, res } = await this.send(this.turnPath, input, headers)
        turn.tries.push(id)
        turn.statuses.push(res.isComplete ? res.status : 0)
        if (res.status === 200 && res.isComplete) return id
        if (res.status !== 503 && res.status !== 429) break
        await sleep(1_000 * Number(res.headers['retry-after'] ?? 0))
      }
    }
    return undefined
  }

  /** Sends programs until a promise resolves, and waits for them. */
  async sendPrograms ({ perSecond, turns, input }: Programs, until: Promise<unknown>): Promise<void> {
    const state = { isOver: false }
    const over = until.finally(() => { state.isOver = true })
    const programs: Array<Promise<void>> = []
    while (!state.isOver) {
      programs.push(this._sendProgram(`p${++this._programs}`, turns, input))
      await sleep(1_000 / perSecond)
    }
    await Promise.all(programs)
    await over
  }

  /** Gets the later turns since a time that reached no target in five tries or more (LOST). */
  getLostTurns (since: number): SentTurn[] {
    const runs = new Set(this.getTargets().flatMap(target => target.runs.map(run => run.id)))
    const later = this.turns.filter(turn => turn.isLater && turn.startedAt >= since)
    return later.filter(({ tries }) => tries.length >= 5 && !tries.some(id => runs.has(id)))
  }

  /** Gets the shares of first and later turns since a time that reached a target in their first try. */
  getServedShares (since: number): { first: number, later: number } {
    const runs = new Set(this.getTargets().flatMap(target => target.runs.map(run => run.id)))
    const getShare = (turns: readonly SentTurn[]): number => turns.filter(turn => runs.has(turn.tries[0]!)).length / turns.length
    const turns = this.turns.filter(turn => turn.startedAt >= since)
    return { first: getShare(turns.filter(turn => !turn.isLater)), later: getShare(turns.filter(turn => turn.isLater)) }
  }

  private async _startGateway (id: string): Promise<GatewayProcess> {
    return await GatewayProcess.start({ id, storeAddress: this.fixture.storeAddress })
  }

  private async _sendProgram (program: string, turns: number, input: string): Promise<void> {
    let previous: string | undefined
    for (let turn = 0; turn < turns; turn++) {
      previous = await this.sendTurn(program, turn === 0 ? `Where do I look first? ${program}` : input, previous)
      if (previous === undefined) return
    }
  }
}

/** Gets the headers of a program's requests. */
export function getProgramHeaders (program: string): Record<string, string> {
  return { 'x-program-id': program, 'x-session-id': program, 'x-token-budget': '100000', 'x-token-usage': '100,20' }
}
