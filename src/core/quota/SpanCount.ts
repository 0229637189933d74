/** Milliseconds of one slot; a count includes up to one slot more than its span. */
const SLOT_MS = 100

/** Counts events in a sliding span of time, rounded up to whole slots. */
export class SpanCount {
  private readonly _slots: Array<{ readonly at: number, count: number }> = []
  private _sum = 0

  /** Records a number of events. */
  add (count: number, now: number): void {
    const at = Math.floor(now / SLOT_MS) * SLOT_MS
    const last = this._slots.at(-1)
    if (last !== undefined && last.at >= at) last.count += count
    else this._slots.push({ at, count })
    this._sum += count
  }

  /** Gets the number of events in the latest `spanMs` milliseconds, or up to a slot more. */
  getCount (spanMs: number, now: number): number {
    while (this._slots.length > 0 && this._slots[0]!.at + SLOT_MS <= now - spanMs) this._sum -= this._slots.shift()!.count
    return this._sum
  }

  /** Gets the milliseconds until the oldest events no longer count; 0 if there are none. */
  getWaitMs (spanMs: number, now: number): number {
    const oldest = this._slots[0]
    return oldest === undefined ? 0 : Math.max(0, oldest.at + SLOT_MS + spanMs - now)
  }
}
