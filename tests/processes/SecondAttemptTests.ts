import { expect } from 'earl'
import { GatewayHarness } from './GatewayHarness.js'

const LOOKUPS = 12

// Lookups waited until their deadline for a target that accepts requests and never responds, although another one was idle.
describe('a gateway before a target that accepts requests and does not respond', () => {
  let harness: GatewayHarness

  beforeEach(async () => {
    harness = new GatewayHarness()
    await harness.start()
  })

  afterEach(async () => { await harness.stop() })

  it('should serve requests that may be repeated by the other target, and avoid the silent one then', async () => {
    const [silent] = harness.fixture.desks
    for (let index = 0; index < LOOKUPS; index++) silent!.nextBehaviours.push('hang')
    const statuses: number[] = []
    for (let index = 0; index < LOOKUPS; index++) {
      statuses.push((await harness.call({ id: `lookup-${index}`, path: '/lookup/x', headers: { 'x-timeout-ms': '3000' } })).status)
    }
    expect(statuses).toEqual(Array<number>(LOOKUPS).fill(200))
    expect(silent!.runs.length).toBeLessThan(LOOKUPS / 2)
  })

  it('should not send a request that must not be repeated to a second target', async () => {
    const [silent] = harness.fixture.desks
    for (let index = 0; index < LOOKUPS; index++) silent!.nextBehaviours.push('hang')
    const ids = Array.from({ length: LOOKUPS }, (_, index) => `charge-${index}`)
    await Promise.all(ids.map(async id => await harness.call({ id, path: '/charge/x', body: '{}', headers: { 'x-timeout-ms': '1500' } })))
    expect(ids.filter(id => harness.getRuns(id).length > 1)).toEqual([])
  })
})
