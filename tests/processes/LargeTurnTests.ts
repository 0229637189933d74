import { expect } from 'earl'
import { GatewayHarness } from './GatewayHarness.js'

/** Bytes of a transcript whose base64 exceeds a megabyte, the largest call of the store. */
const TRANSCRIPT_BYTES = 900_000

// Fails when a turn runs that cannot be saved, or when a call that is too large counts as an outage of the store.
describe('a retained turn that exceeds one call of the store', () => {
  const harness = new GatewayHarness()
  before(async () => {
    harness.fixture.maxBodyBytes = 4_194_304
    await harness.start()
  })
  after(async () => { await harness.stop() })

  it('should be saved, continued by another gateway process, and leave the store available', async () => {
    const input = 'x'.repeat(TRANSCRIPT_BYTES)
    expect((await harness.sendTurn('t1', {}, input)).isComplete).toEqual(true)
    await harness.gateway.kill()
    await harness.startGateway()
    expect((await harness.sendTurn('t2', { 'x-previous-turn': 't1' }, 'next')).isComplete).toEqual(true)
    expect(harness.getRuns('t2').map(body => body === `${input}first\nsecond\nthird\nnext`)).toEqual([true])
    expect(harness.gateway.getEvents('store-away')).toEqual([])
  })
})
