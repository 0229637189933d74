/** Number of targets that a request may crash before it is quarantined. */
export const QUARANTINE_AFTER_TARGETS = 2

/** Targets that broke off while running a request, stored under `suspect/{digest}`. */
export interface SuspectRow {
  /** Ids of the targets, without repetition. */
  readonly targets: readonly string[]
}

/** Gets the table key for the suspicion against a request. */
export function getSuspectKey (contentDigest: string): string {
  return `suspect/${contentDigest}`
}

/** Tells whether a request may not be run any more. */
export function isQuarantined (row: SuspectRow | undefined): boolean {
  return (row?.targets.length ?? 0) >= QUARANTINE_AFTER_TARGETS
}

/** Gets the row with a further target. */
export function addCrashedTarget (row: SuspectRow | undefined, target: string): SuspectRow {
  return { targets: [...new Set([...(row?.targets ?? []), target])] }
}
