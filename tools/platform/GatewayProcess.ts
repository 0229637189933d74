import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** Milliseconds within which a gateway must become ready. */
const START_TIMEOUT_MS = 20_000

/** Milliseconds between two polls of the readiness check. */
const POLL_INTERVAL_MS = 20

/** Name of the settings file in the temporary folder of a gateway. */
const SETTINGS_FILE = 'settings.toml'

/** Milliseconds for which targets go on serving after they have announced that they are leaving, as the gateways are told. */
const DRAIN_MS = 2_500

/** Megabytes of heap, and of each half of its young generation, with which deploy/system.toml runs a gateway. */
const HEAP_MB = 120
const SEMI_SPACE_MB = 4

/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly id: string
  readonly storeAddress: string
  readonly graceMs?: number
  /** Line of the settings that states the grace period, in place of one with `graceMs`. */
  readonly graceLine?: string
  /** Limit of the heap of the process, in MB; the default of Node.js without it. */
  readonly heapMb?: number
  /** Largest number of open descriptors of the process; that of this process without it. */
  readonly maxFds?: number
  /** Lines that are added to the settings. */
  readonly extraSettings?: readonly string[]
  /** Text of the settings file, in place of the one that follows from the other options. */
  readonly settings?: string
}

/** Runs a gateway in a child process. */
export class GatewayProcess {
  readonly lines: string[] = []
  private readonly _child: ChildProcess
  private readonly _folder: string
  private readonly _exited: Promise<number | null>

  private readonly _options: GatewayProcessOptions

  private constructor (child: ChildProcess, folder: string, options: GatewayProcessOptions) {
    this._child = child
    this._folder = folder
    this._options = options
    createInterface({ input: child.stdout! }).on('line', line => { this.lines.push(line) })
    createInterface({ input: child.stderr! }).on('line', line => { this.lines.push(line) })
    this._exited = new Promise(resolve => { child.once('exit', code => { resolve(code) }) })
  }

  /** Starts a gateway and waits until it is ready. */
  static async start (options: GatewayProcessOptions): Promise<GatewayProcess> {
    const gateway = await GatewayProcess.launch(options)
    try {
      await gateway.waitUntilReady()
      return gateway
    } catch (err) {
      // Nobody else can end it, and a test run does not end before it.
      await gateway.kill()
      throw err
    }
  }

  /** Starts a gateway and waits until it listens, but not until it is ready. */
  static async launch (options: GatewayProcessOptions): Promise<GatewayProcess> {
    const folder = mkdtempSync(join(tmpdir(), 'wisteria-gateway-'))
    const file = join(folder, SETTINGS_FILE)
    writeFileSync(file, createSettings(options))
    const heapMb = options.heapMb ?? HEAP_MB
    const flags = [`--max-old-space-size=${heapMb}`, `--max-semi-space-size=${SEMI_SPACE_MB}`]
    const command = [process.execPath, ...flags, 'target/wisteria-gateway.cjs', file]
    const limited = options.maxFds === undefined ? command : ['sh', '-c', 'ulimit -n "$0" && exec "$@"', String(options.maxFds), ...command]
    const child = spawn(limited[0]!, limited.slice(1), { stdio: ['ignore', 'pipe', 'pipe'] })
    const gateway = new GatewayProcess(child, folder, options)
    await gateway._waitUntilListening()
    return gateway
  }

  /** Gets the id of the process. */
  get pid (): number {
    return this._child.pid!
  }

  /** Gets the host and port for callers. */
  get callerAddress (): string {
    return this._getAddress('callers')
  }

  /** Gets the host and port of the readiness check. */
  get readinessAddress (): string {
    return this._getAddress('readiness')
  }

  /** Gets the URL of the readiness check. */
  get readinessUrl (): string {
    return `http://${this.readinessAddress}/v1/ready`
  }

  /** Gets the URL of the metrics. */
  get metricsUrl (): string {
    return `http://${this._getAddress('metrics')}/metrics`
  }

  /** Waits until the readiness check passes. */
  async waitUntilReady (): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS
    for (;;) {
      if (await this.getReadiness() === 200) return
      if (Date.now() > deadline) throw new Error(`Gateway "${this._options.id}" was not ready after ${START_TIMEOUT_MS} ms:\n${this.lines.join('\n')}`)
      await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
  }

  /** Gets the HTTP status of the readiness check, or 0 without a response. */
  async getReadiness (): Promise<number> {
    try {
      return (await fetch(this.readinessUrl)).status
    } catch {
      return 0
    }
  }

  /** Gets the parsed log lines of an event. */
  getEvents (event: string): Array<Record<string, unknown>> {
    return this.lines.filter(line => line.includes(`"event":"${event}"`)).map(line => JSON.parse(line) as Record<string, unknown>)
  }

  /** Gets the settings that the gateway was started with, with some options replaced. */
  getSettings (changes: Partial<GatewayProcessOptions>): string {
    return createSettings({ ...this._options, ...changes })
  }

  /** Overwrites the settings file. */
  writeSettings (text: string): void {
    writeFileSync(join(this._folder, SETTINGS_FILE), text)
  }

  /** Sends a signal to the process if it is running. */
  signal (name: NodeJS.Signals): void {
    if (this._child.exitCode === null) this._child.kill(name)
  }

  /** Gets the resident memory in MB; undefined when the process has ended. */
  getResidentMb (): number | undefined {
    try {
      const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))
      return match === null ? undefined : Number(match[1]) / 1_024
    } catch {
      return undefined
    }
  }

  /** Waits until the process has exited; returns the exit code. */
  async waitForExit (): Promise<number | null> {
    return await this._exited
  }

  /** Checks whether the process has ended. */
  hasExited (): boolean {
    return this._child.exitCode !== null || this._child.signalCode !== null
  }

  /** Kills the process and removes its settings folder. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this._exited
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _waitUntilListening (): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS
    while (this.getEvents('listening').length === 0) {
      if (this._child.exitCode !== null || Date.now() > deadline) {
        await this.kill()
        throw new Error(`Gateway "${this._options.id}" does not listen:\n${this.lines.join('\n')}`)
      }
      await new Promise(resolve => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
  }

  private _getAddress (server: string): string {
    return String(this.getEvents('listening')[0]![server])
  }
}

/** Creates a settings file; the operating system chooses the ports, so that no other process can take them before the gateway listens. */
function createSettings (options: GatewayProcessOptions): string {
  if (options.settings !== undefined) return options.settings
  const listen = ['callers', 'readiness', 'metrics', 'peers'].map(server => `${server} = "127.0.0.1:0"`)
  return [
    `id = "${options.id}"`, 'failure_domain = "here"', '[regions]', 'here = "home"', '[listen]', ...listen,
    '[store]', `address = "${options.storeAddress}"`, 'row_bytes = 65536', '[stop]', options.graceLine ?? `grace_ms = ${options.graceMs ?? 8_000}`,
    '[targets]', `drain_ms = ${DRAIN_MS}`, ...(options.extraSettings ?? [])
  ].join('\n')
}
