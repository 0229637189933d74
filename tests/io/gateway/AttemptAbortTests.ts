import { setTimeout as sleep } from 'node:timers/promises'
import v8 from 'node:v8'
import vm from 'node:vm'
import { expect } from 'earl'
import { AttemptAbort } from '../../../src/io/gateway/index.js'

const TIMEOUT_MS = 100

v8.setFlagsFromString('--expose-gc')
const collectGarbage = vm.runInNewContext('gc') as () => void

describe('AttemptAbort', () => {
  // A stream that stalled after its head never ended when a garbage collection came before its deadline.
  it('should abort at the deadline after a garbage collection', async () => {
    const caller = new AbortController()
    const events: string[] = []
    watch(new AttemptAbort({ timeoutMs: TIMEOUT_MS, callerDisconnected: caller.signal }).signal, events)
    await sleep(TIMEOUT_MS / 10)
    collectGarbage()
    await sleep(3 * TIMEOUT_MS)
    expect(events).toEqual(['aborted'])
  })

  it('should abort when the caller disconnects, also before the attempt', () => {
    const caller = new AbortController()
    const abort = new AttemptAbort({ timeoutMs: 60_000, callerDisconnected: caller.signal })
    expect(abort.signal.aborted).toEqual(false)
    caller.abort()
    expect(abort.signal.aborted).toEqual(true)
    const late = new AttemptAbort({ timeoutMs: 60_000, callerDisconnected: caller.signal })
    expect(late.signal.aborted).toEqual(true)
    for (const ended of [abort, late]) ended.close()
  })

  it('should not abort after the attempt has ended', async () => {
    const caller = new AbortController()
    const abort = new AttemptAbort({ timeoutMs: 10, callerDisconnected: caller.signal })
    abort.close()
    caller.abort()
    await sleep(30)
    expect(abort.signal.aborted).toEqual(false)
  })
})

/** Listens without a reference to the object that the signal belongs to. */
function watch (signal: AbortSignal, events: string[]): void {
  signal.addEventListener('abort', () => { events.push('aborted') })
}
