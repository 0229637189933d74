import { expect } from 'earl'
import { ByteBudget } from '../../../src/core/limits/index.js'

describe('ByteBudget', () => {
  it('should limit the bytes of all requests together, and take back those of requests that are over', () => {
    const budget = new ByteBudget({ maxBytes: 100 })
    const [first, second] = [budget.open(), budget.open()]
    expect([first.tryHold(60), second.tryHold(50), second.tryHold(40), first.tryHold(1)]).toEqual([true, false, true, false])
    first.release()
    first.release()
    expect([budget.getHeldBytes(), second.tryHold(60), second.tryHold(1)]).toEqual([40, true, false])
  })
})
