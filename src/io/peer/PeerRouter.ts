import { initTRPC, TRPCError } from '@trpc/server'
import { z } from 'zod'
import type { StreamOrigin } from '../../core/origin/index.js'
import { StoreError, StoreFailure, type RowStore } from '../../core/platform/index.js'
import type { ReserveLender } from '../../core/reserve/index.js'
import type { FailurePeers } from './FailurePeers.js'
import type { LeavingPeers } from './LeavingPeers.js'
import type { LimitPeers } from './LimitPeers.js'
import { MAX_STREAMS_PER_CALL } from './OriginPeers.js'
import type { PermitPeers } from './PermitPeers.js'
import type { QuotaPeers } from './QuotaPeers.js'
import { decodeTransaction, encodeCommit, encodeFeed, encodeSnapshot } from './rowCodec.js'

const t = initTRPC.create()

const KEY = { table: z.string(), part: z.string(), key: z.string() }
const TIMEOUT = { timeoutMs: z.number().positive() }

const COMMIT = z.object({
  conditions: z.array(z.object({ ...KEY, version: z.number() })),
  puts: z.array(z.object({ ...KEY, value: z.string() })),
  removes: z.array(z.object(KEY)),
  ...TIMEOUT
})

const READ = z.object({ table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(), ...TIMEOUT })

const WATCH = z.object({ table: z.string(), after: z.number(), waitMs: z.number(), ...TIMEOUT })

const LOAN = z.object({ program: z.string(), limit: z.number(), tokens: z.number().positive() })

const PROGRAM = z.object({ program: z.string() })

const TURN = z.object({ turn: z.string() })

const STREAMS = z.object({ streams: z.array(z.string()).max(MAX_STREAMS_PER_CALL) })

const LIMITED_TARGET = z.object({ key: z.string(), failureDomain: z.string() })

const PERMIT = z.object({
  target: LIMITED_TARGET,
  perSecond: z.number().nonnegative(),
  statedAgoMs: z.number().nonnegative(),
  maxWaitMs: z.number().nonnegative(),
  heldMs: z.number().nonnegative().optional()
})

/** Longest name of a workspace, in characters. */
const MAX_WORKSPACE_LENGTH = 200

const QUOTA_REQUEST = z.object({
  workspace: z.string().max(MAX_WORKSPACE_LENGTH),
  version: z.number(),
  quota: z.object({ perSecond: z.number().positive(), burst: z.number().nonnegative() }),
  tokens: z.int().positive(),
  inProgress: z.int().nonnegative().optional()
})

const LIMIT_NOTICE = z.object({
  target: LIMITED_TARGET,
  perSecond: z.number().nonnegative().nullable(),
  sentAgoMs: z.number().nonnegative(),
  statedAgoMs: z.number().nonnegative()
})

const LEAVING_NOTICE = z.object({ target: LIMITED_TARGET, statedAgoMs: z.number().nonnegative() })

const FAILURE_NOTICE = z.object({ target: LIMITED_TARGET, reporter: z.string(), failedAgoMs: z.number().nonnegative() })

const SETTLEMENT = z.object({ loan: z.string(), spent: z.number().nonnegative() })

/** Options of {@link createPeerRouter}. */
export interface PeerRouterOptions {
  /** The store by the direct connection, so that a call is never relayed twice. */
  readonly direct: RowStore
  /** Checks whether the direct connection to the store is unavailable. */
  readonly isDirectUnavailable: () => boolean
  /** The reserves that this gateway holds. */
  readonly reserves: ReserveLender
  /** Lends permits for targets that limit their request rate. */
  readonly permits: Pick<PermitPeers, 'lend'>
  /** Lends tokens of the quotas of workspaces. */
  readonly quotas: Pick<QuotaPeers, 'lend'>
  /** Receives changes of the limits that targets state. */
  readonly limits: Pick<LimitPeers, 'receiveReport' | 'receiveNotice'>
  /** Receives that targets have stated that they are leaving. */
  readonly leaving: Pick<LeavingPeers, 'receiveReport' | 'receiveNotice'>
  /** Receives that targets have failed. */
  readonly failures: Pick<FailurePeers, 'receiveReport' | 'receiveNotice'>
  /** Returns this gateway's unused grants of a program's budget to the store. */
  readonly returnUnused: (program: string) => Promise<void>
  /** Gets the transcript up to a stored turn if this gateway has cached it. */
  readonly getCachedTurn: (turn: string) => Buffer | undefined
  /** Gets where a stream began if this gateway remembers it. */
  readonly getOrigin: (stream: string) => StreamOrigin | undefined
}

/** Creates the router through which peers call the store, borrow tokens from the reserves of this gateway and read what it remembers. */
export function createPeerRouter (options: PeerRouterOptions) {
  const { direct } = options
  // The error message is the kind of failure; the calling gateway decides by it which calls it may retry.
  const relay = async <T>(call: () => Promise<T>): Promise<T> => {
    if (options.isDirectUnavailable()) throw new TRPCError({ code: 'INTERNAL_SERVER_ERROR', message: StoreFailure.Refused })
    try {
      return await call()
    } catch (err) {
      const message = err instanceof StoreError ? err.failure : StoreFailure.NoResponse
      throw new TRPCError({ code: 'INTERNAL_SERVER_ERROR', message, cause: err })
    }
  }
  return t.router({
    commit: t.procedure.input(COMMIT).mutation(async ({ input }) => {
      return encodeCommit(await relay(async () => await direct.commit(decodeTransaction(input), input)))
    }),
    read: t.procedure.input(READ).mutation(async ({ input }) => {
      return encodeSnapshot(await relay(async () => await direct.read(input, input)))
    }),
    check: t.procedure.query(() => true),
    lend: t.procedure.input(LOAN).mutation(({ input }) => options.reserves.lend(input)),
    settle: t.procedure.input(SETTLEMENT).mutation(({ input }) => { options.reserves.settle(input.loan, input.spent) }),
    closeReserve: t.procedure.input(PROGRAM).mutation(({ input }) => options.reserves.closeReserve(input.program)),
    lendPermit: t.procedure.input(PERMIT).mutation(({ input }) => options.permits.lend(input)),
    lendQuota: t.procedure.input(QUOTA_REQUEST).mutation(({ input }) => options.quotas.lend(input)),
    reportLimit: t.procedure.input(LIMIT_NOTICE).mutation(({ input }) => { options.limits.receiveReport(input) }),
    notifyLimit: t.procedure.input(LIMIT_NOTICE).mutation(({ input }) => { options.limits.receiveNotice(input) }),
    reportLeaving: t.procedure.input(LEAVING_NOTICE).mutation(({ input }) => { options.leaving.receiveReport(input) }),
    notifyLeaving: t.procedure.input(LEAVING_NOTICE).mutation(({ input }) => { options.leaving.receiveNotice(input) }),
    reportFailure: t.procedure.input(FAILURE_NOTICE).mutation(({ input }) => { options.failures.receiveReport(input) }),
    notifyFailure: t.procedure.input(FAILURE_NOTICE).mutation(({ input }) => { options.failures.receiveNotice(input) }),
    returnUnused: t.procedure.input(PROGRAM).mutation(async ({ input }) => { await options.returnUnused(input.program) }),
    getTurn: t.procedure.input(TURN).query(({ input }) => ({ transcript: options.getCachedTurn(input.turn)?.toString('base64') ?? null })),
    getOrigins: t.procedure.input(STREAMS).mutation(({ input }) => input.streams.map(stream => options.getOrigin(stream) ?? null)),
    watch: t.procedure.input(WATCH).mutation(async ({ input }) => {
      return encodeFeed(await relay(async () => await direct.watch(input.table, input.after, input.waitMs, input)))
    })
  })
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>
