import { EngineStandin } from './EngineStandin.js'
import { StoreStandin } from './StoreStandin.js'

/** Host of all routes of the fixture. */
export const FIXTURE_HOST = 'desk.example'

/** Version of the first configuration. */
const FIRST_VERSION = 4

/** Start time of the first target, in Unix milliseconds; each later registration has a start time of its own. */
const FIRST_STARTED_AT = 1_700_000_000_000

/** Backends of the split route; the first one has no targets and a different number of tokens per event. */
const SPLIT_BACKENDS = [{ service: 'small-model', weight: 1 }, { service: 'model', weight: 1_000_000 }]

/** Changes of the fixture's configuration besides those of its routes' common fields. */
export interface ConfigChanges {
  /** Routes that are added; fields that they lack are those of the other routes. */
  readonly routes?: ReadonlyArray<Readonly<Record<string, unknown>>>
  readonly limits?: Readonly<Record<string, number>>
  /** Streams that each model engine serves at the same time. */
  readonly slots?: number
  /** Workspaces; requests need no key without them. */
  readonly tenants?: ReadonlyArray<Readonly<Record<string, unknown>>>
}

interface RouteOverrides {
  readonly timeoutMs?: number
  /** True if requests need no key although there are workspaces. */
  readonly public?: boolean
  readonly maxAttempts?: number
  /** Attempts of the route whose streams may be resumed. */
  readonly resumableAttempts?: number
}

/** Store stand-in with a configuration and registered target stand-ins. */
export class PlatformFixture {
  readonly store = new StoreStandin()
  readonly engines: EngineStandin[] = []
  readonly desks: EngineStandin[] = []
  storeAddress = ''
  /** Largest body of the configurations that are written from now on, in bytes. */
  maxBodyBytes = 65_536
  private readonly _addresses = new Map<string, string>()
  private readonly _ownAddresses = new Map<string, string>()
  private readonly _versions = new Map<string, string>()
  private readonly _startedAt = new Map<string, number>()
  private _version = FIRST_VERSION
  private _nextStartedAt = FIRST_STARTED_AT

  /** Starts the store and the targets, registers the targets and writes the configuration. */
  async start (options: { engines?: number, desks?: number, route?: RouteOverrides } = {}): Promise<void> {
    this.storeAddress = await this.store.start()
    for (let index = 0; index < (options.engines ?? 2); index++) this.engines.push(await this._addTarget(`engine-${index}`, 'model'))
    for (let index = 0; index < (options.desks ?? 2); index++) this.desks.push(await this._addTarget(`desk-${index}`, 'desk'))
    this.configure(options.route)
  }

  /** Writes a new version of the configuration. */
  configure (
    { resumableAttempts = 2, ...route }: RouteOverrides = {}, extraPrefixes: readonly string[] = [], changes: ConfigChanges = {}
  ): void {
    const base = { host: FIXTURE_HOST, timeoutMs: 2_000, targetLatencyMs: 300, priority: 0, maxAttempts: 2, ...route }
    const stream = { ...base, kind: 'streaming', service: 'model', maxAttempts: 1, retentionS: 60, sessionAffinity: true, targetGapMs: 300 }
    this.store.put('op', 'config', {
      ...(changes.tenants === undefined ? {} : { tenants: changes.tenants }),
      version: this._version++,
      routes: [
        { ...stream, name: 'kept', pathPrefix: '/turns/kept/', retained: true, resumable: false },
        { ...stream, name: 'resumable', pathPrefix: '/turns/resumable/', maxAttempts: resumableAttempts, retained: false, resumable: true },
        { ...stream, name: 'both', pathPrefix: '/turns/both/', maxAttempts: 2, retained: true, resumable: true },
        { ...stream, name: 'split', service: undefined, backends: SPLIT_BACKENDS, pathPrefix: '/turns/split/', retained: false, resumable: false },
        { ...base, name: 'lookup', pathPrefix: '/lookup/', kind: 'idempotent', service: 'desk' },
        { ...base, name: 'booking', pathPrefix: '/booking/', kind: 'non_idempotent', service: 'desk' },
        ...extraPrefixes.map(prefix => ({ ...base, name: prefix, pathPrefix: prefix, kind: 'idempotent', service: 'desk' })),
        ...(changes.routes ?? []).map(extra => ({ ...(extra.kind === 'streaming' ? stream : base), ...extra }))
      ],
      services: [
        { name: 'model', healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false, engine: { slots: changes.slots ?? 8, tokensPerEvent: 4 } },
        { name: 'small-model', healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false, engine: { slots: 8, tokensPerEvent: 1 } },
        { name: 'desk', healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false }
      ],
      limits: { maxHeaderBytes: 4_096, maxBodyBytes: this.maxBodyBytes, headerTimeoutMs: 1_000, idleTimeoutMs: 15_000, ...changes.limits }
    })
  }

  /** Registers each plain service with a new start time, as after a restart. */
  restartTargets (): void {
    for (const desk of this.desks) this._register(desk, 'desk')
  }

  /** Registers the model engines at another address, as after a restart on another machine. */
  replaceEngines (address: string): void {
    for (const engine of this.engines) {
      this._addresses.set(engine.id, address)
      this._register(engine, 'model')
    }
  }

  /** Starts and registers another model engine of a software version; its events state the version. */
  async addEngine (version: string): Promise<EngineStandin> {
    const id = `engine-${this.engines.length}`
    this._versions.set(id, version)
    const engine = await this._addTarget(id, 'model')
    engine.events = getVersionedEvents(version)
    this.engines.push(engine)
    return engine
  }

  /** Starts and registers a target in the place of another one, with a new id and at a new address; it responds as that one does. */
  async addReplacement (standin: EngineStandin): Promise<EngineStandin> {
    const standins = this.engines.includes(standin) ? this.engines : this.desks
    const replacement = await this._addTarget(`${standin.id.split('+')[0]!}+${standins.length}`, standins === this.engines ? 'model' : 'desk')
    replacement.eventGapMs = standin.eventGapMs
    for (const [path, respond] of standin.responders) replacement.responders.set(path, respond)
    standins.push(replacement)
    return replacement
  }

  /** Registers a model engine with another software version; its events state the version. */
  setEngineVersion (engine: EngineStandin, version: string): void {
    this._versions.set(engine.id, version)
    engine.events = getVersionedEvents(version)
    this._register(engine, 'model')
  }

  /** Removes the registration of a target, as when it has left. */
  unregister (standin: EngineStandin): void {
    this.store.rows.apply({ removes: [{ table: 'servers', part: '', key: standin.id }] })
  }

  /** Registers a target again with a new start time. */
  register (standin: EngineStandin): void {
    this._register(standin, this.engines.includes(standin) ? 'model' : 'desk')
  }

  /** Writes the row of a target again with the same start time, as when it reports that it is alive, or that it is draining. */
  report (standin: EngineStandin, state: 'ready' | 'draining' = 'ready'): void {
    const row = this.store.rows.getRow({ table: 'servers', part: '', key: standin.id })!
    this.store.put('servers', standin.id, { ...JSON.parse(Buffer.from(row.value).toString()), state })
  }

  /** Changes the state that the registration of a target states; its start time stays. */
  setState (standin: EngineStandin, state: 'ready' | 'draining'): void {
    this._put(standin, this.engines.includes(standin) ? 'model' : 'desk', state)
  }

  /** Registers the plain services at another address. */
  replaceDesks (address: string): void {
    for (const desk of this.desks) {
      this._addresses.set(desk.id, address)
      this._register(desk, 'desk')
    }
  }

  /** Registers a target again at its own address. */
  restoreAddress (standin: EngineStandin): void {
    this._addresses.set(standin.id, this._ownAddresses.get(standin.id)!)
    this.register(standin)
  }

  /** Stops all stand-ins. */
  close (): void {
    for (const standin of [...this.engines, ...this.desks]) standin.close()
    this.store.close()
  }

  private async _addTarget (id: string, service: string): Promise<EngineStandin> {
    const standin = new EngineStandin(id)
    const address = await standin.start()
    this._ownAddresses.set(id, address)
    this._addresses.set(id, address)
    this._register(standin, service)
    return standin
  }

  private _register (standin: EngineStandin, service: string): void {
    this._startedAt.set(standin.id, this._nextStartedAt++)
    this._put(standin, service, 'ready')
  }

  private _put (standin: EngineStandin, service: string, state: 'ready' | 'draining'): void {
    this.store.put('servers', standin.id, {
      service, address: this._addresses.get(standin.id), zone: 'here', version: this._versions.get(standin.id) ?? 'v1', slots: 8, state, coldLeftMs: 0, callSeq: 1, born: this._startedAt.get(standin.id)
    })
  }
}

function getVersionedEvents (version: string): string[] {
  return ['first', 'second', 'third'].map(data => `${version} ${data}`)
}
