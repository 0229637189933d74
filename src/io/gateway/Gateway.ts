import type { ServerResponse } from 'node:http'
import { isDeepStrictEqual } from 'node:util'
import { getHeapStatistics } from 'node:v8'
import { periodic } from 'most'
import type { Either } from 'purify-ts'
import { AgeClock, LIFE_SIGN_MS, PauseDetector, type Clock } from '../../core/clock/index.js'
import { PlacementKind, type GatewaySettings } from '../../core/config/index.js'
import { StopSchedule } from '../../core/connection/index.js'
import type { CallProtocol } from '../../core/forward/index.js'
import {
  ByteBudget, DEFAULT_RETRY_RESERVE, getProcessLimits, LenderRanking, PermitLedger, RetryBudget, type ProcessLimits
} from '../../core/limits/index.js'
import { PeerRanking } from '../../core/peer/index.js'
import type { RowChange, RowStore, StoredRow } from '../../core/platform/index.js'
import { QuotaHolder, QuotaHolders } from '../../core/quota/index.js'
import { ReserveLedger } from '../../core/reserve/index.js'
import { ConfigHolder, type RouteConfig } from '../../core/route/index.js'
import { SUSPECT_TABLE } from '../../core/suspect/index.js'
import {
  CostPlacement, FailureReports, LeastOutstanding, RoundRobin, TargetRegistry,
  type CacheSource, type LivenessProbe, type PlacementPolicy, type Target, type TargetEndCause, type TargetState
} from '../../core/target/index.js'
import {
  BudgetPeers, FailurePeers, LeavingPeers, LedgerHandover, LimitPeers, OriginPeers, PeerDirectory, PeerPool, PeerServer, PermitPeers,
  QuotaDebtStore, QuotaPeers, RelayedStore, TablePeers, TurnPeers
} from '../peer/index.js'
import { BufferGarbage, describeError, getMaxDescriptors, SystemClock, type DecisionLog } from '../process/index.js'
import { AdmissionGate } from './AdmissionGate.js'
import { BudgetStore, RETURN_CHECK_MS } from './BudgetStore.js'
import { CacheLearner } from './CacheLearner.js'
import { ConfigConfirmation } from './ConfigConfirmation.js'
import type { GatewayMetrics } from './GatewayMetrics.js'
import { GatewayServer } from './GatewayServer.js'
import { KeyGate } from './KeyGate.js'
import { LeavingNotices } from './LeavingNotices.js'
import { LimitedPlacer } from './LimitedPlacer.js'
import { ListConfirmation } from './ListConfirmation.js'
import { OriginStore } from './OriginStore.js'
import { Placer } from './Placer.js'
import { PlainForwarder } from './PlainForwarder.js'
import { QuotaGate } from './QuotaGate.js'
import { StatusServer } from './StatusServer.js'
import { StoreAccess } from './StoreAccess.js'
import { StreamForwarder } from './StreamForwarder.js'
import { SuspectStore } from './SuspectStore.js'
import { TableWatch, WATCH_MS } from './TableWatch.js'
import { TargetClient } from './TargetClient.js'
import { TargetFailures } from './TargetFailures.js'
import { TargetLimits } from './TargetLimits.js'
import { TargetPriorities } from './TargetPriorities.js'
import { EXPIRY_CHECK_MS, TurnStore } from './TurnStore.js'
import { VersionGate } from './VersionGate.js'
import { RETIRE_CHECK_MS, VersionStore } from './VersionStore.js'

/** Tables of the platform that a gateway follows, with the decoders of their rows. */
export interface PlatformTables {
  readonly configTable: string
  readonly configKey: string
  readonly targetTable: string
  readonly readinessPath: string
  readonly decodeConfig: (value: Uint8Array) => Either<string, RouteConfig>
  readonly decodeTarget: (row: StoredRow) => Target | undefined
}

/** Options of {@link Gateway}. */
export interface GatewayOptions {
  readonly settings: GatewaySettings
  readonly clock: Clock
  readonly log: DecisionLog
  readonly metrics: GatewayMetrics
  /** Direct connection to the store. */
  readonly store: RowStore
  readonly protocol: CallProtocol
  readonly tables: PlatformTables
  readonly caches: CacheSource
  readonly probe: LivenessProbe
  /** Unique name of this run of the process. */
  readonly incarnation: string
  readonly random: () => number
}

/** Addresses of a gateway's servers, each as `host:port`. */
export type ListenAddresses = GatewaySettings['listen']

/** Bytes of payload in a byte of base64. */
const BASE64_PAYLOAD_RATIO = 0.75

/** Bytes that calls of peers may hold, as a share of what requests and connections of callers may hold; apart from these. */
const PEERS_SHARE = 0.3

/** Members of a configuration that a log line names at most. */
const MAX_LOGGED_MEMBERS = 10

/** Milliseconds between two updates of the metrics of held bytes and open connections. */
const HELD_REPORT_MS = 1_000

/** Milliseconds without a request after which kept connections count as unused: longer than callers mostly pause between requests. */
const STOP_QUIET_MS = 500

/** Milliseconds for which a stopping process waits until callers have closed the connections that it has ended: some round trips. */
const CLOSE_WAIT_MS = 300

/** Milliseconds for which the store may delay the response to a watch for crashes; they are rare, and a change is reported at once. */
const SUSPECT_WATCH_MS = 4_000

/** Milliseconds for which a read of the list of targets is awaited: a watch in progress and the next one. */
const CONFIRM_TIMEOUT_MS = 5_000

/**
 * Milliseconds without a confirmation of the configuration after which the store is read beside the watch: two watches in a row and what
 * a slow store adds. A connection that fell silent is then noticed, and a peer asked, within 4 s of a change of the keys.
 */
const CONFIG_LAPSE_MS = 2 * WATCH_MS + 300

/** Milliseconds between two checks whether the configuration was confirmed. */
const CONFIG_CHECK_MS = 200

/** Milliseconds between two checks whether a stopping process has finished its requests. */
const STOP_POLL_MS = 25

/** A gateway: receives callers' requests and forwards them according to the operator's configuration. */
export class Gateway {
  private readonly _options: GatewayOptions
  private readonly _configs = new ConfigHolder()
  private readonly _registry: TargetRegistry
  private readonly _server: GatewayServer
  private readonly _status: StatusServer
  private readonly _cacheLearner: CacheLearner
  private readonly _turns: TurnStore
  private readonly _suspects: SuspectStore
  private readonly _budgets: BudgetStore
  private readonly _origins: OriginStore
  private readonly _versions: VersionStore
  private readonly _pauses: PauseDetector
  private readonly _peers: PeerServer
  private readonly _directory: PeerDirectory
  private readonly _quotaDebts: QuotaDebtStore | undefined
  private readonly _ledger: ReserveLedger
  private readonly _handover: LedgerHandover
  private readonly _configWatch: TableWatch
  private readonly _confirmation: ConfigConfirmation
  private readonly _store: RelayedStore
  /** Version of the latest row whose configuration was rejected. */
  private _rejectedRow: number | undefined
  private readonly _targetWatch: TableWatch
  private readonly _suspectWatch: TableWatch
  private readonly _memory: ByteBudget
  private readonly _limits: ProcessLimits
  /** The shutdown, once it has begun. */
  private _stopping: Promise<void> | undefined
  private _graceMs: number

  constructor (options: GatewayOptions) {
    const { clock, log, metrics, settings, protocol, tables, incarnation } = options
    this._options = options
    this._graceMs = settings.graceMs
    const bounds = getProcessLimits({
      memoryMb: settings.limits.memoryMb,
      heapBytes: getHeapStatistics().heap_size_limit,
      // A machine may state a limit for files only, as the users' platform does, so that the setting goes first.
      maxFds: settings.limits.maxFds ?? getMaxDescriptors()
    })
    this._limits = bounds
    this._registry = new TargetRegistry({
      drainMs: settings.drainMs,
      getMemoryTokens: service => this._configs.get()?.getService(service)?.memoryTokens,
      onEnded: (state, cause) => { this._onTargetEnded(state, cause) },
      onListed: incarnation => { this._suspects.recordListed(incarnation) }
    })
    this._pauses = new PauseDetector(clock)
    const { id, failureDomain, regions } = settings
    const rowBytes = Math.floor(settings.store.rowBytes * BASE64_PAYLOAD_RATIO)
    const ranking = new PeerRanking({ localId: id, localDomain: failureDomain, regions, random: options.random })
    const store = new RelayedStore({ direct: options.store, ranking, clock, log, onRelayed: () => { metrics.relayedCalls.inc() } })
    this._store = store
    const ledger = new ReserveLedger({ clock, incarnation })
    this._ledger = ledger
    this._handover = new LedgerHandover({ store, clock, log, gatewayId: id, incarnation, rowBytes })
    const pool = new PeerPool({ clock, log })
    const budgetPeers = new BudgetPeers({ store, pool, log, localId: id, reserves: ledger })
    const lenders = new LenderRanking({ clock, localId: id, regions })
    const limits = new TargetLimits({
      registry: this._registry, clock, log, publish: (target, statement) => { void limitPeers.publish(target, statement) }
    })
    const applyStatement: TargetLimits['apply'] = (target, statement) => limits.apply(target, statement)
    const limitPeers = new LimitPeers({ pool, clock, localId: id, ranking: lenders, applyStatement })
    const leaving = new LeavingNotices({
      registry: this._registry, clock, log, metrics, publish: (target, statedAt) => { void leavingPeers.publish(target, statedAt) }
    })
    const leavingPeers = new LeavingPeers({
      pool, clock, localId: id, ranking: lenders, applyLeaving: (target, statedAt) => leaving.apply(target, statedAt)
    })
    const failures = new TargetFailures({
      registry: this._registry,
      clock,
      log,
      metrics,
      localId: id,
      publish: (target, failure) => { void failurePeers.publish(target, failure) }
    })
    const failurePeers = new FailurePeers({
      pool,
      clock,
      localId: id,
      ranking: lenders,
      reports: new FailureReports(),
      applyFailures: (target, failedAt) => failures.apply(target, failedAt)
    })
    const permits = new PermitPeers({
      pool, clock, localId: id, ranking: lenders, ledger: new PermitLedger(clock), getLimit: target => limits.get(target), applyStatement
    })
    const ages = new AgeClock(clock, new SystemClock())
    const quotaHolders = new QuotaHolders({ clock, ages, localId: id, localDomain: failureDomain, regions })
    const { quotaTolerance: tolerance } = settings
    if (tolerance !== undefined) {
      const onWrite = (result: string): void => { metrics.quotaDebtWrites.inc({ result }) }
      this._quotaDebts = new QuotaDebtStore({ store, clock, log, gatewayId: id, onWrite })
    }
    const quotaHolder = new QuotaHolder({
      clock,
      holders: quotaHolders,
      getQuota: workspace => this._configs.get()?.getQuota(workspace),
      tolerance,
      debts: this._quotaDebts?.debts
    })
    const quotaPeers = new QuotaPeers({ pool, localId: id, holder: quotaHolder })
    const quotas = new QuotaGate({
      clock,
      ages,
      log,
      metrics,
      holders: quotaHolders,
      request: async (holder, req) => await quotaPeers.request(holder, req),
      random: options.random
    })
    const returnUnused = async (program: string): Promise<void> => { await this._budgets.returnUnusedOf(program) }
    const memory = new ByteBudget({ maxBytes: bounds.heldBytes, maxBytesPerOwner: bounds.heldBytesPerAddress })
    this._memory = memory
    this._peers = new PeerServer({
      maxConnections: bounds.peerConnections,
      memory: memory.createPart(PEERS_SHARE),
      direct: options.store,
      isDirectUnavailable: () => store.isDirectUnavailable(),
      reserves: ledger,
      permits,
      quotas: quotaPeers,
      limits: limitPeers,
      leaving: leavingPeers,
      failures: failurePeers,
      returnUnused,
      getCachedTurn: turn => this._turns.getCached(turn),
      getOrigin: stream => this._origins.getRemembered(stream)
    })
    this._cacheLearner = new CacheLearner({ source: options.caches, log, getTargets: () => this._getLocalModels() })
    this._directory = new PeerDirectory({
      store,
      clock,
      log,
      ranking,
      ages,
      quotaHolders: {
        setPeers: (peers, startedAt, storeTime) => {
          pool.setPeers(peers)
          quotaHolders.setPeers(peers, startedAt, storeTime)
        },
        recordFailure: startedAt => { quotaHolders.recordFailure(startedAt) },
        getReadDelayMs: () => quotaHolders.getReadDelayMs()
      },
      onRegistered: async hasPredecessor => {
        const previous = hasPredecessor ? await this._handover.take() : {}
        ledger.open(previous)
        log.info('registered', { hasPredecessor, lendsAtOnce: previous !== undefined })
        // On the first run no target has cached a prompt yet.
        if (hasPredecessor) void this._cacheLearner.learn()
      },
      onPeers: async (peers, isSettled, hasPredecessor) => {
        lenders.setPeers(peers, !hasPredecessor)
        this._origins.setGateways(peers.length)
        await budgetPeers.setPeers(peers, isSettled)
      }
    })
    const access = new StoreAccess({
      store,
      clock,
      log,
      onRetry: reason => { metrics.addRetry(reason) },
      onUnavailable: () => { this._registry.recordStoreUnavailable() },
      onAvailable: () => { this._registry.recordStoreAvailable(clock.now()) }
    })
    this._versions = new VersionStore({ access, clock, log, confirmList: async () => await this._confirmTargets() })
    const versionGate = new VersionGate({ versions: this._versions, isListCurrent: () => this._targetWatch.isConfirmedSincePause(), log })
    const placer = new Placer({
      registry: this._registry,
      policy: createPolicy(options),
      clock,
      isVersionKnown: (target, stream) => versionGate.isKnown(target, stream)
    })
    const suspects = new SuspectStore({
      access,
      clock,
      log,
      findTarget: incarnation => this._registry.find(incarnation),
      isAlive: async ({ target }) => await this._isAlive(target),
      confirmTargets: async () => await this._confirmTargets()
    })
    this._suspects = suspects
    const limitedPlacer = new LimitedPlacer({ placer, permits, limits, clock, log, metrics })
    const { random } = options
    const attempts = {
      clock,
      log,
      metrics,
      placer,
      limitedPlacer,
      limits,
      leaving,
      failures,
      secondAttempts: new RetryBudget({ initial: DEFAULT_RETRY_RESERVE }),
      random,
      admission: settings.overload.admission ? new AdmissionGate({ clock, log, metrics }) : undefined,
      priorities: settings.overload.targetPriorities ? new TargetPriorities({ configs: this._configs, clock }) : undefined,
      suspects,
      client: new TargetClient(protocol)
    }
    this._turns = new TurnStore({ access, clock, log, rowBytes, peers: new TurnPeers({ pool, ranking, clock }) })
    this._origins = new OriginStore({
      access,
      clock,
      log,
      peers: new OriginPeers({ pool, ranking, clock }),
      writesPerSecond: settings.store.writesPerSecond,
      onLookup: source => { metrics.originLookups.inc({ source }) },
      onWritten: delayMs => { metrics.recordOriginsWritten(delayMs) }
    })
    this._budgets = new BudgetStore({
      access,
      clock,
      log,
      holder: incarnation,
      peers: budgetPeers,
      onLoan: result => { metrics.loans.inc({ result }) }
    })
    this._targetWatch = new TableWatch({
      access,
      clock,
      log,
      table: tables.targetTable,
      getResumedAt: () => this._pauses.getResumedAt(),
      onRows: rows => { this._applyTargets(rows) },
      onChange: change => { this._onTargetChange(change) }
    })
    const listConfirmation = new ListConfirmation({
      watch: this._targetWatch,
      table: tables.targetTable,
      peers: new TablePeers({ pool, ranking, clock }),
      clock,
      log,
      isStoreUnavailable: () => access.health.isUnavailable()
    })
    const streams = new StreamForwarder({
      attempts,
      turns: this._turns,
      budgets: this._budgets,
      origins: this._origins,
      versions: this._versions,
      versionGate,
      listConfirmation,
      clock,
      getTokensPerEvent: service => this._configs.get()?.getService(service)?.tokensPerEvent ?? 1,
      isStoreUnavailable: () => access.health.isUnavailable(),
      getStoreRetrySeconds: () => access.health.getRetrySeconds(options.random)
    })
    const closesAfter = (res: ServerResponse): boolean => this._server.closesAfter(res)
    const garbage = new BufferGarbage({ getUsedBytes: () => memory.getBufferBytes() })
    const context = { clock, log, metrics, protocol, configs: this._configs, memory, garbage, closesAfter }
    this._status = new StatusServer({
      readinessPath: tables.readinessPath,
      isReady: () => this.isReady(),
      registry: metrics.registry,
      maxConnections: bounds.statusConnections
    })
    this._configWatch = new TableWatch({
      access,
      clock,
      log,
      table: tables.configTable,
      // Without keys, a configuration that changed during a pause is read as soon as its watch responds.
      getResumedAt: () => this._configs.get()?.workspaces === undefined ? -Infinity : this._pauses.getResumedAt(),
      onRows: rows => { for (const row of rows) this._applyConfig(row) },
      onChange: change => { if (change.type === 'put') this._applyConfig(change.row) }
    })
    this._confirmation = new ConfigConfirmation({ watch: this._configWatch, clock })
    const keys = new KeyGate({
      configs: this._configs,
      clock,
      confirmation: this._confirmation,
      getResumedAt: () => this._pauses.getResumedAt(),
      isStoreUnavailable: () => access.health.isUnavailable()
    })
    this._server = new GatewayServer({ context, plain: new PlainForwarder(attempts), streams, keys, quotas, limits: bounds })
    this._suspectWatch = new TableWatch({
      access,
      clock,
      log,
      table: SUSPECT_TABLE,
      waitMs: SUSPECT_WATCH_MS,
      onRows: (rows, timeMs) => { suspects.applyRows(rows, timeMs) },
      onChange: (change, timeMs) => { suspects.applyChange(change, timeMs) }
    })
  }

  /** Starts the servers and follows the tables of the store; returns the addresses of the servers. */
  async start (): Promise<ListenAddresses> {
    const { id, failureDomain, listen } = this._options.settings
    void this._configWatch.run()
    void this._targetWatch.run()
    void this._suspectWatch.run()
    void periodic(LIFE_SIGN_MS).observe(() => { this._pauses.recordLife() })
    void periodic(CONFIG_CHECK_MS).observe(() => { this._runInBackground('config', async () => { await this._confirmConfig() }) })
    void periodic(EXPIRY_CHECK_MS).observe(() => {
      this._runInBackground('turns', async () => { await this._turns.removeExpired() })
      this._runInBackground('origins', async () => { await this._origins.removeExpired() })
      this._runInBackground('suspects', async () => { await this._suspects.removeExpired() })
    })
    void periodic(RETIRE_CHECK_MS).observe(() => { this._runInBackground('versions', async () => { await this._versions.update() }) })
    void periodic(RETURN_CHECK_MS).observe(() => { this._runInBackground('budgets', async () => { await this._budgets.returnUnused() }) })
    void periodic(HELD_REPORT_MS).observe(() => {
      this._options.metrics.heldBytes.set(this._memory.getHeldBytes())
      this._options.metrics.openConnections.set(this._server.getConnections())
    })
    this._options.log.info('limits-derived', { ...this._limits })
    const peers = await this._peers.listen(listen.peers)
    void this._directory.run({ id, address: peers, failureDomain })
    void this._quotaDebts?.run()
    return {
      peers,
      readiness: await this._status.listenForReadiness(listen.readiness),
      metrics: await this._listenForMetrics(listen.metrics),
      callers: await this._server.listen(listen.callers)
    }
  }

  /** Starts the server for metrics; callers are served without it. */
  private async _listenForMetrics (address: string | undefined): Promise<string | undefined> {
    if (address === undefined) return undefined
    try {
      return await this._status.listenForMetrics(address)
    } catch (err) {
      this._options.log.warn('metrics-not-served', { address, cause: describeError(err) })
      return undefined
    }
  }

  /** Applies changed settings; all except the grace period and the address of the store need a restart. */
  setSettings (settings: GatewaySettings): void {
    const { settings: startSettings, log, metrics } = this._options
    this._graceMs = settings.graceMs
    const inForce = { ...startSettings, graceMs: settings.graceMs, store: { ...startSettings.store, address: settings.store.address } }
    const keys = Object.keys(settings) as Array<keyof GatewaySettings>
    const ignored = keys.filter(key => !isDeepStrictEqual(inForce[key], settings[key]))
    metrics.settingsPending.set(ignored.length)
    log.info('settings-taken', { graceMs: settings.graceMs, store: settings.store.address, ignored })
  }

  /** Checks whether requests can be served. */
  isReady (): boolean {
    return this._stopping === undefined && this._configs.get() !== undefined && this._targetWatch.isRead()
  }

  /**
   * Shuts down: fails the readiness check, completes requests in progress, and resolves when none remain or the grace period is over.
   *
   * Further calls wait for the first one, whose grace period holds.
   */
  async stop (): Promise<void> {
    this._stopping ??= this._stop()
    await this._stopping
  }

  private async _stop (): Promise<void> {
    const { clock, log } = this._options
    const startedAt = clock.now()
    const schedule = new StopSchedule({ startedAt, graceMs: this._graceMs })
    this._server.setStopping(schedule)
    log.info('stopping', { inProgress: this._server.getInProgress() })
    await waitUntil(() => clock.now() >= schedule.getNoticeEnd())
    this._server.stopListening()
    let usedAt = clock.now()
    await waitUntil(() => {
      if (this._server.getInProgress() > 0) usedAt = clock.now()
      const isUnused = !this._server.hasConnections() || clock.now() - usedAt >= STOP_QUIET_MS
      return isUnused || clock.now() >= schedule.getServingEnd()
    })
    // From here on requests on kept connections are refused, so that none is cut when the process exits.
    schedule.close()
    const ledgerState = this._ledger.close()
    if (ledgerState !== undefined) await this._handover.leave(ledgerState, schedule.getExitTime())
    await waitUntil(() => this._server.getInProgress() === 0 || clock.now() >= schedule.getExitTime())
    this._server.closeIdle()
    const closeDeadline = Math.min(clock.now() + CLOSE_WAIT_MS, schedule.getExitTime())
    await waitUntil(() => !this._server.hasConnections() || clock.now() >= closeDeadline)
    this._configWatch.close()
    this._targetWatch.close()
    this._suspectWatch.close()
    this._status.close()
    this._peers.close()
    log.info('stopped', { inProgress: this._server.getInProgress(), tookMs: Math.round(clock.now() - startedAt) })
  }

  /** Runs a task that no request waits for; an unexpected error is logged, and does not end the process. */
  private _runInBackground (task: string, run: () => Promise<void>): void {
    run().catch((err: unknown) => {
      this._options.log.warn('background-task-failed', { task, cause: err instanceof Error ? err.stack : String(err) })
    })
  }

  private _applyConfig (row: StoredRow): void {
    const { tables, log, metrics } = this._options
    if (row.key !== tables.configKey) return
    tables.decodeConfig(row.value).caseOf({
      Left: problem => {
        // The row is read again and again.
        if (row.version === this._rejectedRow) return
        this._rejectedRow = row.version
        metrics.badRows.inc({ table: row.table })
        log.warn('config-rejected', { row: row.version, problem })
      },
      Right: config => {
        if (!this._configs.applyIfNewer(config, this._options.clock.now())) return
        this._server.setLimits(config.limits)
        const { version, routes, workspaces, replaced = [] } = config
        metrics.configVersion.set(version)
        metrics.configReplaced.set(replaced.length)
        log.info('config-adopted', { version, row: row.version, routes: routes.length, workspaces: workspaces?.length })
        if (replaced.length > 0) log.warn('config-defaulted', { version, count: replaced.length, members: replaced.slice(0, MAX_LOGGED_MEMBERS) })
      }
    })
  }

  /** Reads the configuration beside the watch if it holds keys and was not confirmed for some time. */
  private async _confirmConfig (): Promise<void> {
    if (this._configs.get()?.workspaces === undefined || this._configWatch.getAgeMs() <= CONFIG_LAPSE_MS) return
    this._store.checkDirect()
    await this._confirmation.confirm()
  }

  private _applyTargets (rows: readonly StoredRow[]): void {
    const targets = rows.flatMap(row => this._decodeTarget(row) ?? [])
    this._registry.setAll(targets, this._options.clock.now(), this._targetWatch.getConfirmedAt())
    this._onTargetsApplied()
  }

  private _onTargetChange (change: RowChange): void {
    const { log, clock } = this._options
    if (change.type === 'removed') {
      this._registry.remove(change.key.key, clock.now())
      log.info('target-removed', { target: change.key.key })
    } else {
      const target = this._decodeTarget(change.row)
      if (target === undefined) this._registry.remove(change.row.key, clock.now())
      else if (this._registry.set(target, this._targetWatch.getConfirmedAt(), clock.now())) log.info('target-changed', { ...target, row: change.row.version })
    }
    this._onTargetsApplied()
  }

  /** Handles that a target is gone which was not leaving. */
  private _onTargetEnded (state: TargetState, cause: TargetEndCause): void {
    const { clock, log } = this._options
    log.info('target-ended', { target: state.incarnation, cause, heardMsAgo: state.getHeardMsAgo(clock.now()), inFlight: state.getInFlight() })
    this._runInBackground('suspects', async () => { await this._suspects.recordEnd(state, cause) })
  }

  private async _isAlive (target: Target): Promise<boolean> {
    const service = this._configs.get()?.getService(target.service)
    return service !== undefined && await this._options.probe.isAlive(target, service.livenessPath)
  }

  private _decodeTarget (row: StoredRow): Target | undefined {
    const { tables, log, metrics } = this._options
    const target = tables.decodeTarget(row)
    if (target === undefined) {
      metrics.badRows.inc({ table: row.table })
      log.warn('target-row-rejected', { target: row.key, row: row.version })
    }
    return target
  }

  /** Gets the model targets of the local region; undefined until configuration and targets were read. */
  private _getLocalModels (): readonly TargetState[] | undefined {
    const config = this._configs.get()?.config
    if (config === undefined || !this._targetWatch.isRead()) return undefined
    const { failureDomain, regions } = this._options.settings
    const models = [...config.services.values()].filter(service => service.isModel)
    const serving = models.flatMap(service => this._registry.getServing(service.name, this._options.clock.now()))
    return serving.filter(state => regions[state.target.failureDomain] === regions[failureDomain])
  }

  /** Waits until the list of targets is confirmed by a read that begins later than now; returns false after a time-out. */
  private async _confirmTargets (): Promise<boolean> {
    const { clock } = this._options
    const startedAt = clock.now()
    const isConfirmed = (): boolean => this._targetWatch.isConfirmedSince(startedAt)
    await waitUntil(() => isConfirmed() || clock.now() - startedAt > CONFIRM_TIMEOUT_MS)
    return isConfirmed()
  }

  private _onTargetsApplied (): void {
    this._options.metrics.targets.set(this._registry.getSize())
    this._versions.setTargets(this._registry.getTargets())
  }
}

function createPolicy (options: GatewayOptions): PlacementPolicy {
  const { failureDomain, regions, placement } = options.settings
  if (placement === PlacementKind.RoundRobin) return new RoundRobin()
  if (placement === PlacementKind.LeastOutstanding) return new LeastOutstanding()
  return new CostPlacement({ failureDomain, regions, random: options.random })
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  await new Promise<void>(resolve => {
    const timer = setInterval(() => {
      if (!isDone()) return
      clearInterval(timer)
      resolve()
    }, STOP_POLL_MS)
  })
}
