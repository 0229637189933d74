/** Milliseconds after unplanned trouble in which a gateway may still suffer from it. */
export const CONTACT_MS = 4_000

interface Trouble {
  /** Gateway that it concerns; all if undefined. */
  readonly gateway: number | undefined
  endedAt: number
}

/** Records unplanned trouble, which excuses what promises for calm times forbid. */
export class TroubleLog {
  private readonly _troubles: Trouble[] = []

  /** Begins trouble of a gateway, or of all; returns a function that ends it. */
  begin (gateway?: number): () => void {
    const trouble: Trouble = { gateway, endedAt: Infinity }
    this._troubles.push(trouble)
    return () => { trouble.endedAt = performance.now() }
  }

  /** Checks that a gateway had no trouble from {@link CONTACT_MS} before a time until now. */
  isCalm (gateway: number, from: number): boolean {
    const troubles = this._troubles.filter(trouble => trouble.gateway === undefined || trouble.gateway === gateway)
    return troubles.every(trouble => trouble.endedAt < from - CONTACT_MS)
  }
}
