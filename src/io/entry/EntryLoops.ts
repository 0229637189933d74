import { mergeArray, periodic, type Stream } from 'most'
import { CONFIG_KEY, CONFIG_VERSION_KEY, Configuration, formatFinding, type ConfigRow, type ConfigVersionRow } from '../../core/config/index.js'
import { getHeartbeatMs } from '../../core/routing/index.js'
import type { StateLogger } from '../process/index.js'
import type { EntryState } from './EntryState.js'

/** Milliseconds between two reads of the instance list. */
export const LIST_INTERVAL_MS = 1_000

/** Milliseconds between two looks at which heartbeats are due. */
const HEARTBEAT_CHECK_INTERVAL_MS = 250

/** Milliseconds between two reads of the configuration. */
export const CONFIG_INTERVAL_MS = 2_000

/** Share of the watched sidecars that must answer before their configuration is believed in an outage of the store. */
const SIDECAR_QUORUM = 0.5

/** Keeps an entry's view of targets and configuration up to date. */
export class EntryLoops {
  private readonly _state: EntryState
  private readonly _logger: StateLogger
  private readonly _heartbeatsInProgress = new Set<string>()
  private readonly _lastHeartbeatAt = new Map<string, number>()

  constructor (state: EntryState, logger: StateLogger) {
    this._state = state
    this._logger = logger
  }

  /** Starts the loops; they end with the process. */
  start (): void {
    const loops: Array<Stream<unknown>> = [
      periodic(LIST_INTERVAL_MS).tap(() => { void this._readInstances() }),
      periodic(HEARTBEAT_CHECK_INTERVAL_MS).tap(() => { this._sendHeartbeats() }),
      periodic(CONFIG_INTERVAL_MS).tap(() => { void this._readConfig() })
    ]
    void mergeArray(loops).drain()
  }

  /** Tells whether the entry knows a configuration and at least one target. */
  isReady (): boolean {
    return this._state.config.get() !== undefined && this._state.directory.getAll().some(view => view.load !== undefined)
  }

  private async _readInstances (): Promise<void> {
    try {
      this._state.pool.setInstances(await this._state.instances.list())
    } catch {
      // The last list stays in use; heartbeats tell which targets live.
      this._state.metrics.addRetry('store-error')
    }
  }

  private _sendHeartbeats (): void {
    const now = this._state.clock.now()
    const ids = this._state.pool.getWatchedIds()
    const intervalMs = getHeartbeatMs(ids.length)
    for (const id of ids) {
      if (this._heartbeatsInProgress.has(id) || now - (this._lastHeartbeatAt.get(id) ?? -Infinity) < intervalMs) continue
      this._lastHeartbeatAt.set(id, now)
      void this._sendHeartbeat(id)
    }
    for (const id of this._lastHeartbeatAt.keys()) if (!ids.includes(id)) this._lastHeartbeatAt.delete(id)
  }

  private async _sendHeartbeat (id: string): Promise<void> {
    const { pool, directory, config, clock } = this._state
    this._heartbeatsInProgress.add(id)
    try {
      const client = pool.get(id)!
      const { load, documentsVersion } = await client.control.heartbeat.mutate({ configVersion: config.getVersion() })
      directory.recordLoad(id, load, clock.now())
      if (documentsVersion > config.getVersion()) this._applyConfig(await client.control.getConfig.mutate() ?? undefined)
      const current = config.get()
      if (current !== undefined && documentsVersion < current.version) await client.control.setConfig.mutate(current.row)
    } catch {
      // Silence counts from the last sign of life; the directory leaves the target out when it lasts.
    } finally {
      this._heartbeatsInProgress.delete(id)
    }
  }

  private async _readConfig (): Promise<void> {
    const { config, clock, metrics, reader } = this._state
    try {
      const stored = (await reader.read([CONFIG_VERSION_KEY])).get(CONFIG_VERSION_KEY)?.value as ConfigVersionRow | undefined
      if ((stored?.version ?? 0) > config.getVersion()) {
        this._applyConfig((await reader.read([CONFIG_KEY])).get(CONFIG_KEY)?.value as ConfigRow | undefined)
      }
      config.recordConfirmation(clock.now())
    } catch {
      metrics.addRetry('store-error')
      if (config.get() === undefined) await this._readConfigFromSidecars()
    }
    metrics.configAge.set(Math.min(1e9, config.getAgeMs(clock.now()) / 1000))
  }

  /** Learns the configuration from the sidecars while the store is down. */
  private async _readConfigFromSidecars (): Promise<void> {
    const { pool } = this._state
    const ids = pool.getWatchedIds()
    const responses = await Promise.allSettled(ids.map(async id => await pool.get(id)!.control.getConfig.mutate()))
    const rows = responses.flatMap(response => response.status === 'fulfilled' ? [response.value] : [])
    if (rows.length === 0 || rows.length < ids.length * SIDECAR_QUORUM) return
    for (const row of rows) this._applyConfig(row ?? undefined)
  }

  private _applyConfig (row: ConfigRow | undefined): void {
    const { config, metrics } = this._state
    if (row === undefined || row.version <= config.getVersion()) return
    Configuration.parse(row).caseOf({
      Left: findings => {
        metrics.configFindings.inc()
        this._logger.error('configuration refused', { version: row.version, findings: findings.map(formatFinding) })
      },
      Right: configuration => {
        config.set(configuration)
        metrics.configVersion.set(configuration.version)
        this._logger.info('configuration in force', { version: configuration.version })
      }
    })
  }
}
