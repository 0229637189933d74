import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance, type DisturbanceOptions } from '../Disturbance.js'
import { createSlowResponder, createStreamResponder } from '../responders.js'
import type { GatewaySlot } from '../SoakWorld.js'

const CALLERS = 5

/** Events of a stream, and the milliseconds between them; it outlasts the time at which a gateway that stops closes idle connections. */
const EVENTS = 12
const EVENT_GAP_MS = { from: 360, to: 390 }

/** Milliseconds between a stream and the next request on its connection. */
const NEXT_REQUEST_MS = { from: 20, to: 100 }

/** Milliseconds of work of a booking, and between two callers. */
export const KeptBookings = {
  /** Longer than what is left of the grace period. */
  Long: { workMs: 3_600, callerGapMs: 80 },
  /** Short; a gateway that stops is idle between the last stream and the next booking, and hands its reserves over. */
  Short: { workMs: 110, callerGapMs: 220 }
} as const
export type KeptBookings = typeof KeptBookings[keyof typeof KeptBookings]

const TIMEOUT_MS = 6_000
const BOOKINGS = 3

/** Lets callers use connections that outlast planned work: a stop, a reload or a new configuration. */
export class KeptChannels extends Disturbance {
  private readonly _bookings: KeptBookings

  constructor (options: DisturbanceOptions, bookings: KeptBookings) {
    super(options)
    this._bookings = bookings
  }

  async play (): Promise<void> {
    const slot = this._world.pickSlot(this._random)
    if (slot?.process === undefined) return
    const gapMs = this._random.int(EVENT_GAP_MS.from, EVENT_GAP_MS.to)
    const { workMs, callerGapMs } = this._bookings
    const path = `kept-${gapMs}-${workMs}`
    const { engines, desks } = this._world.fixture
    for (const engine of engines) engine.responders.set(`/turns/single/${path}`, createStreamResponder({ events: EVENTS, gapMs }))
    for (const desk of desks) desk.responders.set(`/booking/${path}`, createSlowResponder(workMs))
    const callers = Array.from({ length: CALLERS }, async (_, at) => {
      await sleep(at * callerGapMs)
      await this._call(slot, path)
    })
    await sleep(CALLERS * callerGapMs)
    const work = this._random.int(0, 9)
    if (work < 6) await this._world.replace(slot, 'SIGTERM')
    else if (work < 8) slot.process?.signal('SIGHUP')
    else this._world.configure({ limits: { idleTimeoutMs: this._random.int(5_000, 20_000) } })
    await Promise.all(callers)
  }

  private async _call (slot: GatewaySlot, path: string): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const id = this._world.createId('kept-stream')
    const headers = { 'x-timeout-ms': String(TIMEOUT_MS) }
    const gateway = slot.process
    await this._world.send({ id, path: `/turns/single/${path}`, body: id, headers, slot, agent })
    for (let at = 0; at < BOOKINGS && slot.process === gateway; at++) {
      await sleep(this._random.int(NEXT_REQUEST_MS.from, NEXT_REQUEST_MS.to))
      const booking = this._world.createId('kept-booking')
      const call = { id: booking, path: `/booking/${path}/${booking}`, body: booking, headers }
      if ((await this._world.send({ ...call, slot, agent })).status !== 200) break
    }
    agent.destroy()
  }
}
