import { expect } from 'earl'
import { GatewayHarness, STREAM_BODY } from './GatewayHarness.js'

/** Path of a route that is retained and resumable. */
const PATH = '/turns/both/a'

// A turn that another attempt had begun was saved without the events of that attempt, and later turns were run without them.
describe('a gateway whose callers continue a retained turn', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  for (const named of [{ resumes: 'turn-1' }, {}] as Array<Record<string, string>>) {
    it(`should refuse a turn whose earlier events it does not have, ${'resumes' in named ? 'with' : 'without'} the name of its stream`, async () => {
      await harness.sendTurn('turn-1', {}, 'first input\n', PATH)
      const again = await harness.sendTurn('turn-1-again', { 'last-event-id': '1', ...named }, 'first input\n', PATH)
      expect(again.status).toEqual(503)
      expect(again.headers['retry-after']).toEqual(undefined)
      expect((JSON.parse(again.body) as { reason: string }).reason).toEqual('turn-incomplete')
      expect(harness.getRuns('turn-1-again')).toEqual([])
      expect((await harness.sendTurn('turn-2', { 'x-previous-turn': 'turn-1-again' }, 'second input\n', PATH)).status).toEqual(404)
    })
  }

  it('should save a turn whole that begins anew', async () => {
    await harness.sendTurn('turn-1-again', { 'last-event-id': '1' }, 'first input\n', PATH)
    expect((await harness.sendTurn('turn-1-anew', {}, 'first input\n', PATH)).body).toEqual(STREAM_BODY)
    await harness.sendTurn('turn-2', { 'x-previous-turn': 'turn-1-anew' }, 'second input\n', PATH)
    expect(harness.getRuns('turn-2')).toEqual(['first input\nfirst\nsecond\nthird\nsecond input\n'])
  })

  it('should save a turn whole that goes on at another target within its response', async () => {
    harness.setNextBehaviour('break-off')
    harness.fixture.engines[1]!.nextBehaviours.length = 0
    for (const id of ['turn-1', 'turn-2', 'turn-3']) {
      expect((await harness.sendTurn(id, {}, 'first input\n', PATH)).body).toEqual(STREAM_BODY)
      await harness.sendTurn(`after-${id}`, { 'x-previous-turn': id }, 'second input\n', PATH)
      // Each target breaks off one stream, so that a turn may be sent twice.
      expect([...new Set(harness.getRuns(`after-${id}`))]).toEqual(['first input\nfirst\nsecond\nthird\nsecond input\n'])
    }
  })
})
