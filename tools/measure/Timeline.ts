import { ManualClock } from '../../src/core/clock/index.js'

interface TimelineEvent {
  readonly at: number
  readonly id: number
  readonly run: () => void
}

/** Virtual clock with scheduled events in a binary heap. */
export class Timeline {
  readonly clock = new ManualClock(0)
  private readonly _heap: TimelineEvent[] = []
  private _nextId = 0

  /** Schedules a callback after a number of milliseconds. */
  after (ms: number, run: () => void): void {
    this._push({ at: this.clock.now() + Math.max(0, ms), id: this._nextId++, run })
  }

  /** Runs all events up to a time in their order; events at the same time run in the order in which they were scheduled. */
  runUntil (end: number): void {
    while (this._heap.length > 0 && this._heap[0]!.at <= end) {
      const next = this._pop()
      this.clock.advanceTo(next.at)
      next.run()
    }
  }

  private _push (event: TimelineEvent): void {
    let index = this._heap.push(event) - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(this._heap[index]!, this._heap[parent]!)) break
      this._swap(index, parent)
      index = parent
    }
  }

  private _pop (): TimelineEvent {
    const top = this._heap[0]!
    const last = this._heap.pop()!
    if (this._heap.length > 0) this._heap[0] = last
    let index = 0
    for (;;) {
      const left = 2 * index + 1
      const right = left + 1
      let smallest = index
      if (left < this._heap.length && isBefore(this._heap[left]!, this._heap[smallest]!)) smallest = left
      if (right < this._heap.length && isBefore(this._heap[right]!, this._heap[smallest]!)) smallest = right
      if (smallest === index) return top
      this._swap(index, smallest)
      index = smallest
    }
  }

  private _swap (a: number, b: number): void {
    const first = this._heap[a]!
    this._heap[a] = this._heap[b]!
    this._heap[b] = first
  }
}

function isBefore (a: TimelineEvent, b: TimelineEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.id < b.id)
}
