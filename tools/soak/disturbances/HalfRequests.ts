import { setTimeout as sleep } from 'node:timers/promises'
import { Disturbance } from '../Disturbance.js'
import { formatRequest, RawChannel } from '../RawChannel.js'
import { HEADER_TIMEOUT_MS, NOT_RUN } from '../SoakWorld.js'

const CALLERS = 8
const TIMEOUT_MS = 6_000

/** Milliseconds from the first part of a request to the pause, and from there to its second part. */
const FIRST_PART_MS = 150
const SECOND_PART_MS = 350

/** Milliseconds for which a gateway is paused beyond the time within which heads must arrive. */
const PAUSE_MS = { from: 300, to: 1_500 }

/** Pauses a gateway while it has received only a part of some bookings. */
export class HalfRequests extends Disturbance {
  async play (): Promise<void> {
    const slot = this._world.pickSlot(this._random)
    if (slot?.process === undefined) return
    const { callerAddress } = slot.process
    const bookings = Array.from({ length: CALLERS }, (_, at) => {
      const id = this._world.createId('booking-half')
      const path = `/booking/${id}`
      const bytes = formatRequest({ id, path, body: id, timeoutMs: TIMEOUT_MS })
      // A third of them is cut in the body.
      const cut = at % 3 === 0 ? bytes.length - this._random.int(1, id.length) : this._random.int(1, bytes.indexOf('\r\n\r\n'))
      const channel = new RawChannel(callerAddress)
      channel.socket.write(bytes.slice(0, cut))
      return { id, path, channel, rest: bytes.slice(cut) }
    })
    await sleep(FIRST_PART_MS)
    const pausing = this._world.pause(slot, HEADER_TIMEOUT_MS + this._random.int(PAUSE_MS.from, PAUSE_MS.to))
    await sleep(SECOND_PART_MS)
    for (const { channel, rest } of bookings) channel.socket.write(rest)
    await pausing
    await Promise.all(bookings.map(async ({ id, path, channel }) => {
      await channel.finish(HEADER_TIMEOUT_MS)
      const refusal = channel.getStatuses().find(status => NOT_RUN.includes(status))
      if (refusal !== undefined) this._world.noteRefused({ id, path }, String(refusal))
    }))
  }
}
