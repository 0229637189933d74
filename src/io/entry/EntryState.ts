import { randomUUID } from 'node:crypto'
import { GroupCommitter } from '../../core/commit/index.js'
import { ConfigHolder, type EntrySettings } from '../../core/config/index.js'
import { RequestLog } from '../../core/explain/index.js'
import { CircuitBreaker, RetryBudget, WorkspaceShares } from '../../core/limits/index.js'
import { CostSelector, TargetDirectory } from '../../core/routing/index.js'
import type { TicketSigner } from '../../core/ticket/index.js'
import { BatchReader, CommitLoop, HttpInstanceList, HttpTable, PlatformHttp } from '../platform/index.js'
import { SystemClock } from '../process/index.js'
import { EntryMetrics } from './EntryMetrics.js'
import { HistoryReader } from './HistoryReader.js'
import { TargetPool } from './TargetPool.js'

/** Holds the state that all requests of one entry share. */
export class EntryState {
  readonly settings: EntrySettings
  readonly clock = new SystemClock()
  readonly metrics = new EntryMetrics()
  readonly config = new ConfigHolder()
  readonly directory = new TargetDirectory()
  readonly retryBudget = new RetryBudget()
  readonly requestLog = new RequestLog()
  readonly shares: WorkspaceShares
  readonly selector: CostSelector
  readonly pool: TargetPool
  readonly table: HttpTable
  readonly instances: HttpInstanceList
  readonly reader: BatchReader
  readonly commits: CommitLoop
  readonly histories: HistoryReader
  private readonly _tableHttp: PlatformHttp
  private readonly _instancesHttp: PlatformHttp
  private _inProgress = 0

  constructor (settings: EntrySettings, signer: TicketSigner) {
    this.settings = settings
    const { platform, region, failureDomain } = settings
    this._tableHttp = new PlatformHttp({ baseUrl: platform.table, timeoutMs: platform.timeoutMs, breaker: new CircuitBreaker() })
    this._instancesHttp = new PlatformHttp({ baseUrl: platform.instances, timeoutMs: platform.timeoutMs })
    this.table = new HttpTable(this._tableHttp)
    this.instances = new HttpInstanceList(this._instancesHttp)
    this.reader = new BatchReader(this.table)
    this.commits = new CommitLoop({
      // Each run of the process has its own writer row.
      committer: new GroupCommitter({ writerKey: `writer/${settings.id}/${randomUUID()}`, random: Math.random }),
      table: this.table,
      onRetry: reason => { this.metrics.addRetry(reason) },
      onBatch: size => { this.metrics.batchSize.observe(size) }
    })
    this.histories = new HistoryReader(async keys => await this.reader.read(keys))
    this.shares = new WorkspaceShares(workspace => this.config.get()?.getWorkspace(workspace)?.share ?? 1)
    this.selector = new CostSelector({ directory: this.directory, region, failureDomain, shares: this.shares })
    this.pool = new TargetPool({
      directory: this.directory,
      signer,
      watch: { entry: settings.id, failureDomain },
      getConfigVersion: () => this.config.getVersion()
    })
  }

  /** Gets the number of requests in progress. */
  getInProgress (): number {
    return this._inProgress
  }

  /** Records the start (1) or the end (-1) of a request. */
  changeInProgress (delta: 1 | -1): void {
    this._inProgress += delta
    this.metrics.inProgress.set(this._inProgress)
  }

  /** Stops the commit loop and closes all connections. */
  async close (): Promise<void> {
    this.commits.close()
    await Promise.all([this.pool.close(), this._tableHttp.close(), this._instancesHttp.close()])
  }
}
