import { expect } from 'earl'
import type { Target } from '../../../src/core/target/index.js'
import { VersionGate } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

const TARGET: Target = {
  id: 't', bornAt: 1, service: 'model', softwareVersion: 'v1', address: '127.0.0.1:1', failureDomain: 'a', isLeaving: false, slots: 1
}

const STREAM = { origin: { service: 'model', softwareVersion: 'v1' } }

describe('VersionGate', () => {
  let isStored: boolean
  let isListCurrent: boolean
  let gate: VersionGate

  beforeEach(() => {
    isStored = true
    isListCurrent = true
    const log = new DecisionLog({ process: 'test', id: 'test', isSilent: true })
    gate = new VersionGate({ versions: { isStored: () => isStored }, isListCurrent: () => isListCurrent, log })
  })

  it('should withhold a target from new streams until its version is stored, and not from streams that began there', () => {
    expect([gate.isKnown(TARGET, undefined), gate.isKnown(TARGET, STREAM)]).toEqual([true, true])
    isStored = false
    expect([gate.isKnown(TARGET, undefined), gate.isKnown(TARGET, STREAM)]).toEqual([false, true])
  })

  it('should withhold a target from all streams while the list is older than a pause', () => {
    isListCurrent = false
    expect([gate.isKnown(TARGET, undefined), gate.isKnown(TARGET, STREAM)]).toEqual([false, false])
  })

  it('should wait until targets are no longer withheld', async () => {
    let checks = 0
    expect(await gate.wait('r', () => ++checks < 3, () => 1_000)).toEqual(true)
  })

  it('should stop waiting when the time is over', async () => {
    const remainingMs = [100, 50, 0]
    expect(await gate.wait('r', () => true, () => remainingMs.shift() ?? 0)).toEqual(false)
  })
})
