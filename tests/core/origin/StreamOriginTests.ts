import { expect } from 'earl'
import { canContinue, getOrigin } from '../../../src/core/origin/index.js'
import type { Target } from '../../../src/core/target/index.js'

const TARGET: Target = {
  id: 'i-1', bornAt: 1, service: 'model', softwareVersion: 'v1', address: '10.0.0.1:80', failureDomain: 'here', isLeaving: false, slots: 8
}

describe('canContinue', () => {
  it('should let any target begin a stream', () => {
    expect(canContinue(TARGET, undefined)).toEqual(true)
  })

  it('should let only targets of the same service and software version continue a stream', () => {
    const stream = { origin: getOrigin(TARGET) }
    const others = [{ ...TARGET, id: 'i-2', bornAt: 2 }, { ...TARGET, softwareVersion: 'v1.1' }, { ...TARGET, service: 'other' }]
    expect(others.map(target => canContinue(target, stream))).toEqual([true, false, false])
  })

  it('should let no target continue a stream of unknown origin', () => {
    expect(canContinue(TARGET, { origin: undefined })).toEqual(false)
  })
})
