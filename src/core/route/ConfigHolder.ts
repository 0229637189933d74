import { RouteTable } from './RouteTable.js'
import type { RouteConfig } from './RouteConfig.js'

/** Holds the newest configuration that this process has received; an older version never replaces it. */
export class ConfigHolder {
  private _table: RouteTable | undefined

  /** Applies a configuration if its version is newer than the one in force; returns whether it was applied. */
  applyIfNewer (config: RouteConfig): boolean {
    if (this._table !== undefined && config.version <= this._table.config.version) return false
    this._table = new RouteTable(config)
    return true
  }

  /** Gets the routes in force, or undefined before the first configuration. */
  get (): RouteTable | undefined {
    return this._table
  }
}
