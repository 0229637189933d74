import { expect } from 'earl'
import { decodeWorkspaces } from '../../../platform/decodeWorkspaces.js'
import { ManualClock } from '../../../src/core/clock/index.js'
import { ConfigHolder, type Route } from '../../../src/core/route/index.js'
import { getKeyDigest } from '../../../src/core/workspace/index.js'
import { ConfigConfirmation, CUT_OFF_MS, KeyGate, KNOWN_CUT_OFF_MS } from '../../../src/io/gateway/index.js'

describe('KeyGate', () => {
  const clock = new ManualClock(100_000)
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  let [reads, confirmedAt, resumedAt, isStoreUnavailable] = [0, 0, -Infinity, false]
  let onRead: () => void
  let configs: ConfigHolder
  let gate: KeyGate

  beforeEach(() => {
    [reads, confirmedAt, resumedAt, isStoreUnavailable] = [0, clock.now(), -Infinity, false]
    configs = new ConfigHolder()
    configure(1, ['k1'])
    onRead = () => { confirmedAt = clock.now() }
    const watch = { isConfirmedSince: (time: number) => confirmedAt >= time, confirm: async () => { reads++; onRead() } }
    const confirmation = new ConfigConfirmation({ watch, clock })
    gate = new KeyGate({ configs, clock, confirmation, getResumedAt: () => resumedAt, isStoreUnavailable: () => isStoreUnavailable })
  })

  function configure (version: number, apiKeys: string[]): void {
    configs.applyIfNewer({ version, routes: [], services: new Map(), limits, workspaces: decodeWorkspaces([{ name: 'a', apiKeys }]).unsafeCoerce() }, 0)
  }

  async function admit (key: string): Promise<string | undefined> {
    clock.advanceTo(clock.now() + 1)
    const req = { host: 'h', path: '/', route: { isPublic: false } as unknown as Route, keyDigest: getKeyDigest(key), arrivedAt: clock.now() }
    return (await gate.admit(req)).caseOf<string | undefined>({ Left: refusal => refusal.reason, Right: workspace => workspace?.name })
  }

  it('should serve known keys without a read, and share the reads of unknown ones', async () => {
    expect([await admit('k1'), reads]).toEqual(['a', 0])
    expect(new Set(await Promise.all(Array.from({ length: 50 }, async () => await admit('k2'))))).toEqual(new Set(['key-unknown']))
    expect(reads).toEqual(1)
    onRead = () => {}
    expect(await admit('k2')).toEqual('keys-unconfirmed')
  })

  // A key that was removed during a pause was served until the watch had responded.
  it('should serve a key after a pause only when a read has confirmed it, unless the gateway is cut off', async () => {
    resumedAt = clock.now() + 1
    onRead = () => {}
    expect(await admit('k1')).toEqual('keys-unconfirmed')
    isStoreUnavailable = true
    clock.advanceTo(resumedAt + KNOWN_CUT_OFF_MS)
    expect(await admit('k1')).toEqual('a')
    isStoreUnavailable = false
    expect(await admit('k1')).toEqual('keys-unconfirmed')
    clock.advanceTo(resumedAt + CUT_OFF_MS)
    expect(await admit('k1')).toEqual('a')
    // The process pauses again during the read, after the store has responded to it.
    resumedAt = clock.now() + 1
    onRead = () => { [confirmedAt, resumedAt] = [clock.now(), clock.now() + 5] }
    expect(await admit('k1')).toEqual('keys-unconfirmed')
    onRead = () => {
      configure(2, ['k2'])
      confirmedAt = clock.now()
    }
    clock.advanceTo(resumedAt)
    expect([await admit('k1'), await admit('k2')]).toEqual(['key-unknown', 'a'])
  })
})
