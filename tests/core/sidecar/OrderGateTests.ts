import { expect } from 'earl'
import { ORDER_LEASE_MS, OrderGate } from '../../../src/core/sidecar/index.js'

const TICK_MS = 100

/** Ticks a gate at regular intervals, as a running process does. */
function tickUntil (gate: OrderGate, from: number, to: number): void {
  for (let now = from; now <= to; now += TICK_MS) gate.tick(now)
}

describe('OrderGate', () => {
  it('should send orders immediately to a target that checks fencing tokens', () => {
    expect(new OrderGate({ checksOrders: true, startedAt: 0 }).mayIssue(1, 0)).toEqual(true)
  })

  it('should wait for the lease of a predecessor if the target checks no fencing tokens', () => {
    const gate = new OrderGate({ checksOrders: false, startedAt: 0 })
    tickUntil(gate, 0, ORDER_LEASE_MS - TICK_MS)
    expect(gate.mayIssue(1, ORDER_LEASE_MS - 1)).toEqual(false)
    expect(gate.mayIssue(1, ORDER_LEASE_MS)).toEqual(true)
  })

  it('should wait again after the process was paused', () => {
    const gate = new OrderGate({ checksOrders: false, startedAt: 0 })
    tickUntil(gate, 0, ORDER_LEASE_MS)
    const resumedAt = ORDER_LEASE_MS + 60_000
    expect(gate.mayIssue(1, resumedAt)).toEqual(false)
    tickUntil(gate, resumedAt, resumedAt + ORDER_LEASE_MS)
    expect(gate.mayIssue(1, resumedAt + ORDER_LEASE_MS)).toEqual(true)
  })

  it('should not send an order with an outdated fencing token', () => {
    const gate = new OrderGate({ checksOrders: true, startedAt: 0 })
    gate.recordIssued(5)
    expect([4, 5, 6].map(fence => gate.mayIssue(fence, 0))).toEqual([false, false, true])
  })
})
