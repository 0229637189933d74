import type { PriorityBand } from './PriorityBands.js'
import { getProspect, Prospect, type ProspectRequest } from './Prospect.js'

/** Wait in milliseconds by which a request becomes as urgent as the next more urgent kind of its band; callers wait 2,000 ms or more. */
export const PRIORITY_AGING_MS = 1_000

/** Attained service in tokens that counts half; the order of magnitude of a program's prompt after some turns. */
const HALF_ATTAINED_TOKENS = 8_000

/** Kinds of requests in a band: programs in progress, new ones, and those that are worth nothing any more. */
const KINDS = 3

/** A request whose urgency at a target is to be determined. */
export interface TargetPriorityRequest extends ProspectRequest {
  /** Numbers for the request's priority at its service. */
  readonly band: PriorityBand
  /** True if earlier work of the program would be lost with this request. */
  readonly isInProgress: boolean
  /** Tokens that targets have processed for the program before this request; its prompt repeats them. */
  readonly attainedTokens: number
  /** Milliseconds for which the request has waited at the gateway, earlier attempts included. */
  readonly waitedMs: number
}

/**
 * Gets the number that states the urgency of a request to its target, 0 to 9, 0 being the most urgent.
 *
 * Within the band of its priority, a program in progress goes before a new one, one that can be on time before one that will be late, and
 * one with little time to spare before one with much. Targets preempt the newest of the least urgent requests, so attained service only
 * ever makes a request more urgent: else the longest programs would be preempted each time, with the most work lost. Waiting raises a
 * request by one kind for each {@link PRIORITY_AGING_MS}, so that none starves.
 */
export function getTargetPriority (req: TargetPriorityRequest): number {
  const { band, isInProgress, waitedMs } = req
  const prospect = getProspect(req)
  const kind = prospect === Prospect.Lost ? KINDS - 1 : isInProgress ? 0 : 1
  const attainedShare = isInProgress ? req.attainedTokens / (req.attainedTokens + HALF_ATTAINED_TOKENS) : 0
  // Each is at most a half, and both together stay below one kind.
  const within = (prospect === Prospect.OnTime ? getSlackShare(req) : 1) / 2 + (1 - attainedShare) / 2
  const rank = Math.max(0, kind + Math.min(0.99, within) - Math.max(0, waitedMs) / PRIORITY_AGING_MS)
  return band.first + Math.min(band.count - 1, Math.floor(rank / KINDS * band.count))
}

/** Gets the share of the remaining time that the request does not need, 0 to 1. */
function getSlackShare ({ remainingMs, workMs }: ProspectRequest): number {
  return remainingMs === undefined || remainingMs <= 0 ? 1 : 1 - Math.min(1, workMs / remainingMs)
}
