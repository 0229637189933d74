import { initTRPC, TRPCError } from '@trpc/server'
import { z } from 'zod'
import type { RunResult } from '../../core/call/index.js'
import type { AttemptState } from '../../core/call/index.js'
import type { ConfigRow } from '../../core/config/index.js'
import type { RefusalReason } from '../../core/reason/index.js'
import type { LoadSample } from '../../core/sidecar/index.js'

/** Result of the ticket check of a control request. */
export interface SidecarContext {
  /** Reason why the ticket was refused; undefined when it is valid. */
  readonly refusal: RefusalReason | undefined
}

/** State of an attempt and the number of bytes of its response buffered until now. */
export interface LocateResponse {
  readonly state: AttemptState
  readonly bytes: number
}

/** Load of the target and the version of the documents that the sidecar has; the load carries the highest version announced to it. */
export interface HeartbeatResponse {
  readonly load: LoadSample
  readonly documentsVersion: number
}

/** Result of an attempt, if it is done, and the load of the target. */
export interface CollectResponse {
  readonly result: RunResult | undefined
  readonly load: LoadSample
}

/** Operations of a sidecar's control interface. */
export abstract class SidecarControl {
  /** Records the configuration version of an entry and returns the state of the sidecar. */
  abstract heartbeat (configVersion: number): HeartbeatResponse
  /** Gets the state of an attempt; if it is absent and `cancelIfAbsent` is set, the sidecar refuses it from then on. */
  abstract locate (attempt: string, incarnation: string, claimedAt: number, cancelIfAbsent: boolean): LocateResponse
  /** Gets the result of an attempt, if it is done, and the load of the target. */
  abstract collect (attempt: string): CollectResponse
  /** Discards the responses of attempts whose results are stored durably. */
  abstract acknowledge (attempts: readonly string[]): void
  /** Releases the hold of a session that has ended. */
  abstract release (session: string): void
  /** Makes the sidecar refuse all new dispatches. */
  abstract drain (): void
  /** Stores a configuration unless its version is already present or superseded. */
  abstract setConfig (row: ConfigRow): void
  /** Gets the stored configuration. */
  abstract getConfig (): ConfigRow | undefined
}

const t = initTRPC.context<SidecarContext>().create()

const withTicket = t.procedure.use(async ({ ctx, next }) => {
  if (ctx.refusal !== undefined) throw new TRPCError({ code: 'UNAUTHORIZED', message: ctx.refusal })
  return await next()
})

const configRow = z.object({
  version: z.int(),
  texts: z.record(z.string(), z.string()),
  operator: z.string(),
  appliedAt: z.number(),
  applyId: z.string()
})

/** Creates the tRPC router of a sidecar's control interface. */
export function createSidecarRouter (control: SidecarControl) {
  return t.router({
    heartbeat: withTicket
      .input(z.object({ configVersion: z.int() }))
      .mutation(({ input }) => control.heartbeat(input.configVersion)),
    locate: withTicket
      .input(z.object({ attempt: z.string(), incarnation: z.string(), claimedAt: z.number(), cancelIfAbsent: z.boolean() }))
      .mutation(({ input }) => control.locate(input.attempt, input.incarnation, input.claimedAt, input.cancelIfAbsent)),
    collect: withTicket
      .input(z.object({ attempt: z.string() }))
      .mutation(({ input }) => control.collect(input.attempt)),
    acknowledge: withTicket
      .input(z.object({ attempts: z.array(z.string()) }))
      .mutation(({ input }) => { control.acknowledge(input.attempts) }),
    release: withTicket
      .input(z.object({ session: z.string() }))
      .mutation(({ input }) => { control.release(input.session) }),
    drain: withTicket
      .mutation(() => { control.drain() }),
    setConfig: withTicket
      .input(configRow)
      .mutation(({ input }) => { control.setConfig(input) }),
    getConfig: withTicket
      .mutation(() => control.getConfig() ?? null)
  })
}

/** Type of the router, for clients. */
export type SidecarRouter = ReturnType<typeof createSidecarRouter>
