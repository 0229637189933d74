/** What a program has left to do and the time for it. */
export interface ProspectRequest {
  /** Milliseconds until the deadline of the program, negative once it has passed; undefined if it has none. */
  readonly remainingMs: number | undefined
  /** Milliseconds that the request needs at an idle target. */
  readonly workMs: number
  /** Time-out of the request in milliseconds: its program lasts at least as long. */
  readonly timeoutMs: number
}

/** What a program can still achieve: on time it has its whole value, late 4% to 30% of it, after twice its time none. */
export const Prospect = { OnTime: 'on-time', Late: 'late', Lost: 'lost' } as const
export type Prospect = typeof Prospect[keyof typeof Prospect]

/** Gets what a program can still achieve. Its whole time is not known at a later turn, so that the time-out stands for it. */
export function getProspect ({ remainingMs, workMs, timeoutMs }: ProspectRequest): Prospect {
  if (remainingMs === undefined || workMs <= remainingMs) return Prospect.OnTime
  return workMs <= remainingMs + timeoutMs ? Prospect.Late : Prospect.Lost
}
