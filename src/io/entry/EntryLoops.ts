import { mergeArray, periodic, type Stream } from 'most'
import { CONFIG_KEY, CONFIG_VERSION_KEY, Configuration, formatFinding, type ConfigRow, type ConfigVersionRow } from '../../core/config/index.js'
import { getHeartbeatMs } from '../../core/routing/index.js'
import type { StateLogger } from '../process/index.js'
import type { EntryState } from './EntryState.js'

/** Interval between two reads of the instance list, in milliseconds. */
export const LIST_INTERVAL_MS = 1_000

/** Interval between two checks for due heartbeats, in milliseconds. */
const HEARTBEAT_CHECK_INTERVAL_MS = 250

/** Interval between two reads of the configuration, in milliseconds. */
export const CONFIG_INTERVAL_MS = 2_000

/** Share of the watched sidecars that must respond before their configuration is applied while the store is unavailable. */
const SIDECAR_QUORUM = 0.5

/** Periodically refreshes an entry's instance list, target loads and configuration. */
export class EntryLoops {
  private readonly _state: EntryState
  private readonly _logger: StateLogger
  private readonly _heartbeatsInProgress = new Set<string>()
  private readonly _lastHeartbeatAt = new Map<string, number>()

  constructor (state: EntryState, logger: StateLogger) {
    this._state = state
    this._logger = logger
  }

  /** Starts the loops, which run until the process exits. */
  start (): void {
    const loops: Array<Stream<unknown>> = [
      periodic(LIST_INTERVAL_MS).tap(() => { void this._readInstances() }),
      periodic(HEARTBEAT_CHECK_INTERVAL_MS).tap(() => { this._sendHeartbeats() }),
      periodic(CONFIG_INTERVAL_MS).tap(() => { void this._readConfig() })
    ]
    void mergeArray(loops).drain()
  }

  /** Checks whether the entry has a configuration and the load of at least one target. */
  isReady (): boolean {
    return this._state.config.get() !== undefined && this._state.directory.getAll().some(view => view.load !== undefined)
  }

  private async _readInstances (): Promise<void> {
    try {
      this._state.pool.setInstances(await this._state.instances.list())
    } catch {
      // The previous list stays in use; heartbeats show which of its targets are alive.
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
      // The directory excludes a target when its last successful heartbeat or response is too old.
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

  /** Reads the configuration from the sidecars while the store is unavailable. */
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
        this._logger.error('configuration is invalid', { version: row.version, findings: findings.map(formatFinding) })
      },
      Right: configuration => {
        config.set(configuration)
        metrics.configVersion.set(configuration.version)
        this._logger.info('configuration in force', { version: configuration.version })
      }
    })
  }
}
