import { getTargetPriority, PriorityBands } from '../../core/admission/index.js'
import type { Clock } from '../../core/clock/index.js'
import type { ConfigHolder, RouteTable } from '../../core/route/index.js'
import type { TargetState } from '../../core/target/index.js'
import type { Exchange } from './Exchange.js'

/** Options of {@link TargetPriorities}. */
export interface TargetPrioritiesOptions {
  readonly configs: ConfigHolder
  readonly clock: Clock
}

/** A request and the target that it is sent to. */
export interface DispatchedRequest {
  readonly exchange: Exchange
  readonly state: TargetState
  /** Predicted prefill time at the target, in milliseconds. */
  readonly prefillMs: number
  /** True if earlier work of the program would be lost with the request. */
  readonly isInProgress: boolean
}

/** Determines the urgency that requests state at model engines, by the configuration in force. */
export class TargetPriorities {
  private readonly _options: TargetPrioritiesOptions
  private _table: RouteTable | undefined
  private _bands: PriorityBands | undefined

  constructor (options: TargetPrioritiesOptions) {
    this._options = options
  }

  /** Gets the number that states the urgency of a request, 0 to 9; undefined at services that are no models. */
  get ({ exchange, state, prefillMs, isInProgress }: DispatchedRequest): number | undefined {
    const { call, route, startedAt } = exchange
    const table = this._options.configs.get()
    const service = table?.getService(state.target.service)
    if (table === undefined || service?.isModel !== true) return undefined
    const waitedMs = this._options.clock.now() - startedAt
    const generateMs = call.maxOutputTokens / Math.max(1, service.tokensPerEvent) * state.pace.getBestGapMs()
    return getTargetPriority({
      band: this._getBands(table).get(service.name, exchange.getPriority()),
      isInProgress,
      remainingMs: call.program?.remainingMs === undefined ? undefined : call.program.remainingMs - waitedMs,
      workMs: prefillMs + generateMs,
      timeoutMs: route.timeoutMs,
      attainedTokens: call.promptTokens,
      waitedMs
    })
  }

  private _getBands (table: RouteTable): PriorityBands {
    if (this._bands === undefined || this._table !== table) this._bands = new PriorityBands(table.config, getWorkspacePriorities(table))
    this._table = table
    return this._bands
  }
}

function getWorkspacePriorities ({ config }: RouteTable): number[] {
  const priorities = config.workspaces?.map(({ workspace }) => workspace.priority) ?? []
  return priorities.filter(priority => priority !== undefined)
}
