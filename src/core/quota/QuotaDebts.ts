/** Milliseconds after which a debt is released that is no longer stated; buckets have paid it back by then. */
export const DEBT_TTL_MS = 10_000

/** Part of the largest debt by which records are raised: large steps make few writes, but restarted holders pay recorded debts first. */
const STEP_SHARE = 0.25

/** Largest number of workspaces whose debts are recorded: their names, of at most 200 bytes, fit one row. */
const MAX_WORKSPACES = 200

interface Debt {
  /** Recorded in the store for certain, so that a bucket may use it. */
  recorded: number
  wanted: number
  /** When the wanted debt was last raised or lowered, and when the bucket last stated its own. */
  wantedAt: number
  statedAt: number
}

/**
 * The debts that the buckets of a holder may use, as recorded in the store.
 *
 * A restarted holder does not know what its predecessor has lent. Without debts its empty buckets keep the bound of a quota; with a debt
 * they have to start below zero by as much, so that a debt is used only once it is recorded.
 */
export class QuotaDebts {
  private readonly _onWanted: () => void
  private readonly _debts = new Map<string, Debt>()
  private _inherited: ReadonlyMap<string, number> | undefined
  private _isOpen = false

  /** @param onWanted - Called when a larger debt should be recorded. */
  constructor (onWanted: () => void) {
    this._onWanted = onWanted
  }

  /** Takes over the debts that the predecessor has recorded; undefined if its record is not readable. */
  open (debts: ReadonlyMap<string, number> | undefined, now: number): void {
    this._inherited = debts
    this._isOpen = true
    for (const [workspace, recorded] of debts ?? []) {
      this._debts.set(workspace, { recorded, wanted: recorded, wantedAt: now, statedAt: now })
    }
  }

  /** Checks whether the predecessor's record was read. */
  isOpen (): boolean {
    return this._isOpen
  }

  /** Gets the debt with which a bucket has to begin; undefined if the predecessor's record is not known. */
  getInherited (workspace: string): number | undefined {
    return this._inherited === undefined ? undefined : this._inherited.get(workspace) ?? 0
  }

  /** Gets the number of tokens by which a bucket may be below zero. */
  getRecorded (workspace: string): number {
    return this._debts.get(workspace)?.recorded ?? 0
  }

  /** States the present debt of a bucket, of which somewhat more is recorded in advance. */
  state (workspace: string, tokens: number, maxDebt: number, now: number): void {
    const isFull = !this._debts.has(workspace) && this._debts.size >= MAX_WORKSPACES
    if (!this._isOpen || isFull) return
    const step = maxDebt * STEP_SHARE
    const wanted = Math.min(maxDebt, (Math.floor(Math.max(0, tokens) / step) + 1) * step)
    const debt = this._debts.get(workspace) ?? { recorded: 0, wanted: 0, wantedAt: now, statedAt: now }
    this._debts.set(workspace, debt)
    debt.statedAt = now
    if (wanted < debt.wanted && now - debt.wantedAt < DEBT_TTL_MS) return
    debt.wanted = wanted
    debt.wantedAt = now
    if (wanted > debt.recorded) this._onWanted()
  }

  /** Begins a write: gets the debts to be recorded, or undefined if the record need not change. Lower ones hold at once. */
  beginWrite (now: number): ReadonlyMap<string, number> | undefined {
    for (const [workspace, debt] of this._debts) {
      if (now - debt.statedAt >= DEBT_TTL_MS) debt.wanted = 0
      if (debt.wanted === 0 && debt.recorded === 0) this._debts.delete(workspace)
    }
    const debts = [...this._debts]
    if (debts.every(([, { wanted, recorded }]) => wanted === recorded)) return undefined
    for (const [, debt] of debts) debt.recorded = Math.min(debt.recorded, debt.wanted)
    return new Map(debts.filter(([, { wanted }]) => wanted > 0).map(([workspace, { wanted }]) => [workspace, wanted]))
  }

  /** Records that debts were written. */
  endWrite (written: ReadonlyMap<string, number>): void {
    for (const [workspace, tokens] of written) this._debts.get(workspace)!.recorded = tokens
  }
}
