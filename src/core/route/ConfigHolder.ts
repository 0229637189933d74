import { RouteTable } from './RouteTable.js'
import type { RouteConfig } from './RouteConfig.js'

/** Holds the newest configuration that this process has seen; it never goes back to an older version. */
export class ConfigHolder {
  private _table: RouteTable | undefined

  /** Takes a version if it is newer than the one in force; returns whether it was taken. */
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
