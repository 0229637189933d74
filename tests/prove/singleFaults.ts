import { findViolations } from '../world/invariants.js'
import { createSimulation } from '../world/scripts.js'
import { Fault, type PlannedFault } from '../world/Simulation.js'

/** Processes that a failure is tried on. */
const PROCESS_COUNT = 5

/** A run in which a promise was broken. */
export interface FailedRun {
  readonly seed: number | undefined
  readonly faults: readonly PlannedFault[]
  readonly violations: readonly string[]
}

/** Plays both scripts under failures and returns the promises that were broken. */
export function findViolationsUnder (faults: readonly PlannedFault[], seed?: number): string[] {
  const simulation = createSimulation(seed)
  const hasEnded = simulation.run(faults)
  return findViolations(simulation, hasEnded)
}

/** Gets the number of actions that both scripts take without failures. */
export function countActions (): number {
  const simulation = createSimulation()
  let actionCount = 0
  for (const caller of simulation.callers) caller.start()
  simulation.scheduler.runUntil(() => simulation.callers.every(caller => caller.isDone()), 60_000)
  actionCount = simulation.scheduler.actionCount
  return actionCount
}

/** Lists every single failure at every action, at one place or at all. */
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

/** All places that a failure can strike. */
export const ALL_PROCESSES = [...Array(PROCESS_COUNT).keys()]

function targetsProcess (fault: Fault): boolean {
  return fault !== Fault.Outage && fault !== Fault.LoseResponse && fault !== Fault.LateArrival
}
