import { expect } from 'earl'
import { MAX_WAITING_ROWS, ORIGIN_PARTITIONS, OriginQueue, PARTITION_WRITES_PER_SECOND, toOriginRow, WRITE_SHARE } from '../../../src/core/origin/index.js'
import { ROWS_PER_TRANSACTION } from '../../../src/core/platform/index.js'
import { Random } from '../../../tools/measure/Random.js'

const toRow = (at: number) => toOriginRow(`r-${at}`, { service: 'model', softwareVersion: 'v1' })

/** Deployments of the users' sheets: gateways, transactions per second of the store, and streams that begin in a second. */
const DEPLOYMENTS = [
  { gateways: 8, writesPerSecond: 800, usualStreamsPerSecond: 76 },
  { gateways: 34, writesPerSecond: 1_500, usualStreamsPerSecond: 280 },
  { gateways: 84, writesPerSecond: 3_200, usualStreamsPerSecond: 213 }
]

/** Duration of the shortest streams of the users' sheets: eight events of 20 ms and more, after the first one's objective. */
const SHORTEST_STREAM_MS = 460

/** Duration of a commit from the other region by the users' sheets: there and back, and the store's own time. */
const COMMIT_MS = 28

describe('OriginQueue', () => {
  it('should write a row at once when the queue was idle', () => {
    const queue = new OriginQueue({ clock: { now: () => 0 }, writesPerSecond: 800 })
    expect(queue.getDelayMs()).toEqual(undefined)
    queue.add(toRow(0))
    expect(queue.getDelayMs()).toEqual(0)
    expect(queue.take()).toEqual({ puts: [toRow(0)], waitedMs: 0 })
  })

  it('should take the oldest rows, as many as fit in a transaction, and drop the oldest when too many wait', () => {
    const queue = new OriginQueue({ clock: { now: () => 0 }, writesPerSecond: 800 })
    const dropped = Array.from({ length: MAX_WAITING_ROWS + 1 }, (_, at) => queue.add(toRow(at))).filter(Boolean)
    expect(dropped.length).toEqual(1)
    const rows = queue.take()!.puts
    expect([rows.length, rows[0]]).toEqual([ROWS_PER_TRANSACTION, toRow(1)])
    expect(rows.every(row => row.part === toRow(1).part)).toEqual(true)
    const others = queue.take(new Set([toRow(1).part]))!.puts
    expect(others.some(row => row.part === toRow(1).part)).toEqual(false)
  })

  // Load: 18,000 requests a second begin streams; 10 s of one gateway are replayed.
  for (const { gateways, writesPerSecond } of [...DEPLOYMENTS, { gateways: 420, writesPerSecond: 1_500 }]) {
    it(`should keep ${gateways} gateways within their share of the store's writes when 18,000 streams a second begin`, () => {
      const { transactions, busiest } = replay({ gateways, writesPerSecond, streamsPerSecond: 18_000 })
      const perSecond = Math.min(writesPerSecond * WRITE_SHARE, ORIGIN_PARTITIONS * PARTITION_WRITES_PER_SECOND)
      expect(transactions <= 10 * perSecond + gateways).toEqual(true)
      expect(busiest <= 10 * PARTITION_WRITES_PER_SECOND + gateways).toEqual(true)
    })
  }

  // Load: a row that is written after its stream has ended is of no use.
  for (const { gateways, writesPerSecond } of DEPLOYMENTS) {
    it(`should write the rows of ${gateways} gateways while their streams run when 400 streams a second begin`, () => {
      const { latestMs } = replay({ gateways, writesPerSecond, streamsPerSecond: 400 })
      expect(latestMs <= SHORTEST_STREAM_MS).toEqual(true)
    })
  }

  // Load: streams begin at random, some shortly after each other; a row that waits is lost when all gateways are killed.
  for (const { usualStreamsPerSecond: streamsPerSecond, ...deployment } of DEPLOYMENTS) {
    it(`should let one in twenty rows of ${deployment.gateways} gateways wait longer than a commit at most, on a usual day`, () => {
      const { waitsMs } = replay({ ...deployment, streamsPerSecond, durationMs: 300_000, random: new Random(25) })
      const late = waitsMs.filter(waitMs => waitMs > COMMIT_MS).length
      expect(late <= 0.05 * waitsMs.length).toEqual(true)
    })
  }
})

interface Load {
  readonly gateways: number
  readonly writesPerSecond: number
  /** Streams that begin at all gateways together. */
  readonly streamsPerSecond: number
  /** Streams begin evenly without it. */
  readonly random?: Random
  /** 10 s without it. */
  readonly durationMs?: number
}

/** What all gateways together have written. */
interface Replay {
  readonly transactions: number
  /** Transactions of the partition that had the most. */
  readonly busiest: number
  /** Longest wait of a row. */
  readonly latestMs: number
  readonly waitsMs: readonly number[]
}

/** Replays the load of one gateway's streams; the others are taken to have as many. */
function replay ({ gateways, writesPerSecond, streamsPerSecond, random, durationMs = 10_000 }: Load): Replay {
  let now = 0
  const queue = new OriginQueue({ clock: { now: () => now }, writesPerSecond })
  queue.setGateways(gateways)
  const addedAt = new Map<string, number>()
  const transactions = new Map<string, number>()
  const waitsMs: number[] = []
  const meanGapMs = 1_000 * gateways / streamsPerSecond
  let begun = 0
  let nextAt = 0
  for (; now < durationMs; now++) {
    for (; nextAt < now; nextAt += random?.exponential(meanGapMs) ?? meanGapMs) {
      queue.add(toRow(begun))
      addedAt.set(toRow(begun).key, now)
      begun++
    }
    if (queue.getDelayMs() !== 0) continue
    const rows = queue.take()!.puts
    const { part } = rows[0]!
    transactions.set(part, (transactions.get(part) ?? 0) + gateways)
    for (const { key } of rows) waitsMs.push(now - addedAt.get(key)!)
  }
  const counts = [...transactions.values()]
  const sum = counts.reduce((total, count) => total + count, 0)
  return { transactions: sum, busiest: Math.max(...counts), latestMs: Math.max(...waitsMs), waitsMs }
}
