import type { Clock } from '../clock/index.js'

/** Names of the steps of a call. */
export const StepName = {
  Received: 'received',
  Placed: 'placed',
  Claimed: 'claimed',
  Dispatched: 'dispatched',
  Queued: 'queued',
  FirstToken: 'first-token',
  Finished: 'finished',
  Located: 'located',
  Retried: 'retried',
  Refused: 'refused',
  Settled: 'settled',
  Replayed: 'replayed'
} as const
export type StepName = typeof StepName[keyof typeof StepName]

/** One step of a call with its time and cause. */
export interface TraceStep {
  /** Milliseconds since the Unix epoch. */
  readonly at: number
  readonly step: StepName
  /** Cause or circumstances of the step, in prose. */
  readonly detail: string
  /** Instance that the step concerns. */
  readonly instance?: string
}

/** Largest number of steps kept for one call; each further step replaces the last one. */
export const MAX_TRACE_STEPS = 40

/** Collects the steps of one call. */
export class Trace {
  private readonly _clock: Clock
  private readonly _steps: TraceStep[] = []

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Adds a step at the current time, or at the given one. */
  add (step: StepName, detail: string, instance?: string, at: number = this._clock.now()): void {
    const newStep = { at, step, detail, ...(instance === undefined ? {} : { instance }) }
    if (this._steps.length >= MAX_TRACE_STEPS) this._steps.pop()
    this._steps.push(newStep)
  }

  /** Gets a copy of the steps in the order in which they were added. */
  getSteps (): TraceStep[] {
    return [...this._steps]
  }
}
