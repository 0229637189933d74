import { expect } from 'earl'
import fc from 'fast-check'
import { decodeTrialRow, getSuspectTime, toTrialRow } from '../../../src/core/suspect/index.js'

const AGO = fc.nat({ max: 100_000 })

describe('toTrialRow', () => {
  // A run that its row does not state is lost with its gateway.
  it('should state time, holder and runs, whatever the ids of targets hold', () => {
    const id = fc.string({ minLength: 1, unit: 'grapheme' })
    const run = fc.record({ incarnation: id, sentMsAgo: AGO, abandonedMsAgo: AGO }, { noNullPrototype: true })
    fc.assert(fc.property(fc.uuid(), fc.array(run), fc.option(AGO, { nil: undefined }), (holder, runs, time) => {
      const { value } = toTrialRow('digest', { holder, runs }, time)
      expect([decodeTrialRow(value), getSuspectTime(value)]).toEqual([{ holder, runs }, time])
    }))
  })

  it('should leave out what is no run, in any bytes', () => {
    expect(decodeTrialRow(Buffer.from('17 holder a,2 ,1,1 YkAx,2,3'))).toEqual({
      holder: 'holder', runs: [{ incarnation: 'b@1', sentMsAgo: 2, abandonedMsAgo: 3 }]
    })
    fc.assert(fc.property(fc.uint8Array(), bytes => { decodeTrialRow(bytes) }))
  })
})
