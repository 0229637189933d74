import { RouteTable } from './RouteTable.js'
import type { RouteConfig } from './RouteConfig.js'

/** Holds the newest configuration that this process has received; an older version never replaces it. */
export class ConfigHolder {
  private _table: RouteTable | undefined
  private _appliedAt = -Infinity

  /** Applies a configuration if its version is newer than the one in force; returns whether it was applied. */
  applyIfNewer (config: RouteConfig, now: number): boolean {
    if (this._table !== undefined && config.version <= this._table.config.version) return false
    this._table = new RouteTable(config)
    this._appliedAt = now
    return true
  }

  /** Gets the time at which the configuration in force was applied, by the steady clock in milliseconds; -Infinity without one. */
  getAppliedAt (): number {
    return this._appliedAt
  }

  /** Gets the routes in force, or undefined before the first configuration. */
  get (): RouteTable | undefined {
    return this._table
  }
}
