import { setTimeout as sleep } from 'node:timers/promises'
import { FIXTURE_HOST } from '../../platform/PlatformFixture.js'
import { Disturbance } from '../Disturbance.js'
import { RawChannel } from '../RawChannel.js'

/** Connections of one load, and the milliseconds between two of them and for which they stay open. */
const CONNECTIONS = 150
const CONNECT_GAP_MS = 2
const DURATION_MS = 2_500

/** Milliseconds after which most gateways have adopted a new configuration; the load does not depend on it. */
const APPLY_MS = 300

/** Bytes of a body that is far over the limit, and of one that the configuration may allow. */
const OVER_LIMIT_BYTES = 8_000_000
const BODY_BYTES = 1_500_000

/** Largest body of the configuration meanwhile, the default of the platform. */
const MAX_BODY_BYTES = 4_194_304

/** Requests on a connection whose responses stay unread. */
const PIPELINED = 300

const HEAD = `POST /lookup/outside HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: outside\r\n`

/** What a connection sends, by the name of the load. */
const LOADS: Readonly<Record<string, string>> = {
  'half a head of short fields': `${HEAD}${'a:\r\n'.repeat(900)}`,
  'a body that stops a byte short': `${HEAD}Content-Length: ${BODY_BYTES}\r\n\r\n${'x'.repeat(BODY_BYTES - 1)}`,
  'a body far over the limit': `${HEAD}Transfer-Encoding: chunked\r\n\r\n${OVER_LIMIT_BYTES.toString(16)}\r\n${'x'.repeat(OVER_LIMIT_BYTES)}`,
  'chunks of one byte': `${HEAD}Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(3_000)}`,
  'pipelined requests': `GET /lookup/outside HTTP/1.1\r\nHost: ${FIXTURE_HOST}\r\nX-Request-Id: outside\r\n\r\n`.repeat(PIPELINED)
}

/** Opens many connections to a gateway, whose callers keep to no limit and do not read. */
export class OutsideLimits extends Disturbance {
  async play (): Promise<void> {
    const address = this._world.pickSlot(this._random)?.process?.callerAddress
    if (address === undefined) return
    this._world.configure({ limits: { maxBodyBytes: MAX_BODY_BYTES } })
    await sleep(APPLY_MS)
    const bytes = Buffer.from(LOADS[this._pick(Object.keys(LOADS))]!)
    const channels: RawChannel[] = []
    for (let at = 0; at < CONNECTIONS; at++) {
      const channel = new RawChannel(address)
      channel.socket.pause()
      channel.socket.write(bytes)
      channels.push(channel)
      await sleep(CONNECT_GAP_MS)
    }
    await sleep(DURATION_MS)
    await Promise.all(channels.map(async channel => { await channel.finish(0) }))
  }
}
