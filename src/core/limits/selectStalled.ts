/** Milliseconds without progress after which a connection may be ended when the budget is short: several round trips between regions. */
export const MIN_STALL_MS = 1_000

/** Milliseconds in which a connection has to move what it holds; the time in which a body has to arrive. */
const MOVE_ALL_MS = 30_000

/** Fewest bytes that count as progress, whatever a connection holds. */
const MIN_MOVED_BYTES = 1_024

/** What a connection holds that waits for its caller. */
export interface StalledUse {
  readonly heldBytes: number
  /** Milliseconds since the connection last made progress. */
  readonly stalledMs: number
}

/** Checks whether the bytes that were moved in some milliseconds are progress for a connection that holds a number of bytes. */
export function isProgressing (movedBytes: number, heldBytes: number, ms: number): boolean {
  return movedBytes >= Math.max(MIN_MOVED_BYTES, heldBytes * ms / MOVE_ALL_MS)
}

/** Selects the connections to be ended so that a number of bytes gets free: first those that hold most for longest. */
export function selectStalled<T extends StalledUse> (uses: readonly T[], bytes: number): T[] {
  const stalled = uses.filter(use => use.heldBytes > 0 && use.stalledMs >= MIN_STALL_MS)
  stalled.sort((a, b) => b.heldBytes * b.stalledMs - a.heldBytes * a.stalledMs)
  const selected: T[] = []
  let left = bytes
  for (const use of stalled) {
    if (left <= 0) break
    selected.push(use)
    left -= use.heldBytes
  }
  return selected
}
