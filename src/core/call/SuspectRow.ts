/** Number of targets that a request may crash before it is quarantined. */
export const QUARANTINE_AFTER_TARGETS = 2

/** Targets that crashed while running a request, stored under `suspect/{digest}`. */
export interface SuspectRow {
  /** Ids of the targets, without duplicates. */
  readonly targets: readonly string[]
}

/** Gets the table key of the suspect row of a request. */
export function getSuspectKey (contentDigest: string): string {
  return `suspect/${contentDigest}`
}

/** Checks whether a request has crashed so many targets that it may not run again. */
export function isQuarantined (row: SuspectRow | undefined): boolean {
  return (row?.targets.length ?? 0) >= QUARANTINE_AFTER_TARGETS
}

/** Gets a copy of the row with another crashed target. */
export function addCrashedTarget (row: SuspectRow | undefined, target: string): SuspectRow {
  return { targets: [...new Set([...(row?.targets ?? []), target])] }
}
