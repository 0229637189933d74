import { expect } from 'earl'
import { lacksEarlierEvents } from '../../../src/core/turn/index.js'

describe('lacksEarlierEvents', () => {
  for (const [isRetained, lastEventId, lacks] of [[true, '4', true], [true, undefined, false], [false, '4', false]] as const) {
    it(`should be ${lacks} for a turn that is ${isRetained ? '' : 'not '}retained and continues after event ${lastEventId}`, () => {
      expect(lacksEarlierEvents({ isRetained, lastEventId })).toEqual(lacks)
    })
  }
})
