import { findViolations } from '../world/invariants.js'
import { createSimulation } from '../world/scripts.js'
import { Fault, type PlannedFault } from '../world/Simulation.js'

/** Number of process indexes into which a fault is injected: one for each target. */
const PROCESS_COUNT = 5

/** A run that violated an invariant. */
export interface FailedRun {
  readonly seed: number | undefined
  readonly faults: readonly PlannedFault[]
  readonly violations: readonly string[]
}

/** Runs both scripts under faults and returns the violations of invariants. */
export function findViolationsUnder (faults: readonly PlannedFault[], seed?: number): string[] {
  const simulation = createSimulation(seed)
  const hasEnded = simulation.run(faults)
  return findViolations(simulation, hasEnded)
}

/** Gets the number of actions that both scripts take without faults. */
export function countActions (): number {
  const simulation = createSimulation()
  let actionCount = 0
  for (const caller of simulation.callers) caller.start()
  simulation.scheduler.runUntil(() => simulation.callers.every(caller => caller.isDone()), 60_000)
  actionCount = simulation.scheduler.actionCount
  return actionCount
}

/** Lists every kind of fault before every action, for each of the given process indexes. */
export function listSingleFaults (processes: readonly number[]): PlannedFault[] {
  const actionCount = countActions()
  const singleFaults: PlannedFault[] = []
  for (const fault of Object.values(Fault)) {
    for (const where of targetsProcess(fault) ? processes : [0]) {
      for (let at = 1; at <= actionCount; at++) singleFaults.push({ fault, at, where })
    }
  }
  return singleFaults
}

/** All process indexes into which a fault can be injected. */
export const ALL_PROCESSES = [...Array(PROCESS_COUNT).keys()]

function targetsProcess (fault: Fault): boolean {
  return fault !== Fault.Outage && fault !== Fault.LoseResponse && fault !== Fault.LateArrival
}
