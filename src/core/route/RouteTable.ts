import type { VersionedQuota } from '../quota/index.js'
import { WorkspaceIndex, type Workspace } from '../workspace/index.js'
import type { Route } from './Route.js'
import type { RouteConfig, ServiceConfig } from './RouteConfig.js'

/** Looks up the routes and services of one configuration version. */
export class RouteTable {
  readonly config: RouteConfig
  /** Finds the workspaces of keys; undefined where requests need no key. */
  readonly workspaces: WorkspaceIndex | undefined
  private readonly _workspacesByName: ReadonlyMap<string, Workspace>
  private readonly _byHost = new Map<string, Route[]>()

  constructor (config: RouteConfig) {
    this.config = config
    this._workspacesByName = new Map(config.workspaces?.map(({ workspace }) => [workspace.name, workspace]))
    this.workspaces = config.workspaces === undefined ? undefined : new WorkspaceIndex(config.workspaces)
    for (const route of config.routes) {
      const routes = this._byHost.get(route.host)
      if (routes === undefined) this._byHost.set(route.host, [route])
      else routes.push(route)
    }
    for (const routes of this._byHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }

  /** Gets the route with the longest prefix that matches the path. */
  getRoute (host: string, path: string): Route | undefined {
    return this._byHost.get(host)?.find(route => path.startsWith(route.pathPrefix))
  }

  /** Gets the quota of a workspace, with the version that states it; undefined if the configuration has no such workspace. */
  getQuota (workspace: string): VersionedQuota | undefined {
    const found = this._workspacesByName.get(workspace)
    return found === undefined ? undefined : { version: this.config.version, quota: found.quota }
  }

  /** Gets a service of the configuration. */
  getService (name: string): ServiceConfig | undefined {
    return this.config.services.get(name)
  }
}
