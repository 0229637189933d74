import type { Instance } from '../../core/platform/index.js'
import { selectWatched, type TargetDirectory, type WatchOptions } from '../../core/routing/index.js'
import type { TicketSigner } from '../../core/ticket/index.js'
import { SidecarClient } from './SidecarClient.js'

/** Options of {@link TargetPool}. */
export interface TargetPoolOptions {
  readonly directory: TargetDirectory
  readonly signer: TicketSigner
  readonly watch: WatchOptions
  readonly getConfigVersion: () => number
}

/** Creates and keeps one sidecar client per listed target and limits the directory to the watched targets. */
export class TargetPool {
  private readonly _options: TargetPoolOptions
  private readonly _clients = new Map<string, { readonly url: string, readonly client: SidecarClient }>()
  private _instances = new Map<string, Instance>()
  private _latestList: readonly Instance[] | undefined

  constructor (options: TargetPoolOptions) {
    this._options = options
  }

  /** Applies the platform's instance list and closes the clients of targets that it no longer contains. */
  setInstances (instances: readonly Instance[]): void {
    if (instances === this._latestList) return
    this._latestList = instances
    const targets = instances.filter(instance => instance.role === 'target')
    this._instances = new Map(targets.map(target => [target.id, target]))
    this._options.directory.setInstances(selectWatched(instances, this._options.watch))
    for (const [id, { client }] of this._clients) {
      if (this._instances.has(id)) continue
      this._clients.delete(id)
      void client.close()
    }
  }

  /** Gets the client for the sidecar of a target, or undefined when the platform doesn't list the target. */
  get (target: string): SidecarClient | undefined {
    const instance = this._instances.get(target)
    if (instance === undefined) return undefined
    const existing = this._clients.get(target)
    if (existing !== undefined && existing.url === instance.url) return existing.client
    if (existing !== undefined) void existing.client.close()
    const client = new SidecarClient({
      url: instance.url,
      entry: this._options.watch.entry,
      signer: this._options.signer,
      getConfigVersion: this._options.getConfigVersion
    })
    this._clients.set(target, { url: instance.url, client })
    return client
  }

  /** Gets the ids of the watched targets. */
  getWatchedIds (): string[] {
    return this._options.directory.getAll().map(view => view.instance.id)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this._clients.values()].map(async ({ client }) => { await client.close() }))
  }
}
