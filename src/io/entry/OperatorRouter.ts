import { initTRPC, TRPCError } from '@trpc/server'
import { z } from 'zod'
import type { RequestRecord, SessionExplanation } from '../../core/explain/index.js'
import type { TurnRow } from '../../core/history/index.js'
import { getSessionKey, getTurnKey, type SessionRow } from '../../core/session/index.js'
import type { EntryState } from './EntryState.js'

/** Largest number of turns in the explanation of a session; the latest ones are read. */
const MAX_TURNS = 600

/** Context of an operator's request. */
export interface OperatorContext {
  /** True when the operator's key was accepted. */
  readonly isOperator: boolean
}

/** State of one target in the view of an entry. */
export interface TargetStatus {
  readonly id: string
  readonly service: string
  readonly region: string
  readonly failureDomain: string
  readonly state: string
  readonly running: number
  readonly queued: number
  readonly slowness: number
  readonly configVersion: number
}

/** State of an entry. */
export interface EntryStatus {
  readonly entry: string
  readonly region: string
  readonly failureDomain: string
  readonly configVersion: number
  readonly configAgeMs: number
  readonly inProgress: number
  readonly targets: readonly TargetStatus[]
}

const t = initTRPC.context<OperatorContext>().create()

const forOperator = t.procedure.use(async ({ ctx, next }) => {
  if (!ctx.isOperator) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'operator-key-wrong' })
  return await next()
})

/** Creates the tRPC router for operators. */
export function createOperatorRouter (state: EntryState) {
  return t.router({
    status: forOperator.query(() => getStatus(state)),
    explainSession: forOperator.input(z.string()).query(async ({ input }) => await explainSession(state, input)),
    explainRequest: forOperator.input(z.string()).query(({ input }): RequestRecord | null => state.requestLog.get(input) ?? null),
    drain: forOperator.input(z.string()).mutation(async ({ input }) => await drain(state, input))
  })
}

/** Type of the router, for clients. */
export type OperatorRouter = ReturnType<typeof createOperatorRouter>

function getStatus (state: EntryState): EntryStatus {
  const now = state.clock.now()
  const services = state.config.get()?.getServices() ?? []
  const usable = new Set(services.flatMap(service => state.directory.getUsable(service.name, now)).map(view => view.instance.id))
  return {
    entry: state.settings.id,
    region: state.settings.region,
    failureDomain: state.settings.failureDomain,
    configVersion: state.config.getVersion(),
    configAgeMs: state.config.getAgeMs(now),
    inProgress: state.getInProgress(),
    targets: state.directory.getAll().map(view => ({
      id: view.instance.id,
      service: view.instance.service ?? '',
      region: view.instance.region,
      failureDomain: view.instance.failureDomain,
      state: usable.has(view.instance.id) ? 'usable' : getUnusableCause(view.load?.isLeaving, view.ejectedUntil > now),
      running: view.load?.running ?? 0,
      queued: view.load?.queued ?? 0,
      slowness: view.slowness,
      configVersion: view.load?.configVersion ?? 0
    }))
  }
}

function getUnusableCause (isLeaving: boolean | undefined, isEjected: boolean): string {
  if (isLeaving === true) return 'leaving'
  return isEjected ? 'ejected' : 'silent'
}

async function explainSession (state: EntryState, id: string): Promise<SessionExplanation | null> {
  const rows = await state.reader.read([getSessionKey(id)])
  const session = rows.get(getSessionKey(id))?.value as SessionRow | undefined
  if (session === undefined) return null
  const keys: string[] = []
  for (let call = Math.max(1, session.nextCall - MAX_TURNS); call < session.nextCall; call++) keys.push(getTurnKey(id, call))
  const turnRows = keys.length === 0 ? new Map() : await state.reader.read(keys)
  const turns = keys.flatMap(key => turnRows.has(key) ? [turnRows.get(key)!.value as TurnRow] : [])
  return { session, turns, refused: state.requestLog.getBySession(id).filter(record => record.result !== 'answered') }
}

async function drain (state: EntryState, instance: string): Promise<boolean> {
  const client = state.pool.get(instance)
  if (client === undefined) return false
  await client.control.drain.mutate()
  state.directory.recordLeaving(instance)
  return true
}
