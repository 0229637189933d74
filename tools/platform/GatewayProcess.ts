import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** Milliseconds within which a gateway must become ready. */
const START_TIMEOUT_MS = 20_000

/** Milliseconds between two polls of the readiness check. */
const POLL_INTERVAL_MS = 20

/** Name of the settings file in the temporary folder of a gateway. */
const SETTINGS_FILE = 'settings.toml'

/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly id: string
  readonly storeAddress: string
  readonly graceMs?: number
}

/** Runs a gateway in a child process. */
export class GatewayProcess {
  /** Host and port for callers. */
  readonly callerAddress: string
  readonly readinessUrl: string
  readonly metricsUrl: string
  readonly lines: string[] = []
  private readonly _child: ChildProcess
  private readonly _folder: string
  private readonly _exited: Promise<number | null>

  private readonly _options: GatewayProcessOptions
  private readonly _ports: readonly number[]

  private constructor (child: ChildProcess, folder: string, options: GatewayProcessOptions, ports: readonly number[]) {
    this._child = child
    this._folder = folder
    this._options = options
    this._ports = ports
    this.callerAddress = `127.0.0.1:${ports[0]}`
    this.readinessUrl = `http://127.0.0.1:${ports[1]}/v1/ready`
    this.metricsUrl = `http://127.0.0.1:${ports[2]}/metrics`
    createInterface({ input: child.stdout! }).on('line', line => { this.lines.push(line) })
    createInterface({ input: child.stderr! }).on('line', line => { this.lines.push(line) })
    this._exited = new Promise(resolve => { child.once('exit', code => { resolve(code) }) })
  }

  /** Starts a gateway and waits until it is ready. */
  static async start (options: GatewayProcessOptions): Promise<GatewayProcess> {
    const gateway = await GatewayProcess.launch(options)
    await gateway.waitUntilReady()
    return gateway
  }

  /** Starts a gateway without waiting until it is ready. */
  static async launch (options: GatewayProcessOptions): Promise<GatewayProcess> {
    const ports = await getFreePorts(4)
    const folder = mkdtempSync(join(tmpdir(), 'wisteria-gateway-'))
    const file = join(folder, SETTINGS_FILE)
    writeFileSync(file, createSettings(options, ports))
    const child = spawn(process.execPath, ['target/wisteria-gateway.cjs', file], { stdio: ['ignore', 'pipe', 'pipe'] })
    return new GatewayProcess(child, folder, options, ports)
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
    return createSettings({ ...this._options, ...changes }, this._ports)
  }

  /** Overwrites the settings file. */
  writeSettings (text: string): void {
    writeFileSync(join(this._folder, SETTINGS_FILE), text)
  }

  /** Sends a signal to the process if it is running. */
  signal (name: NodeJS.Signals): void {
    if (this._child.exitCode === null) this._child.kill(name)
  }

  /** Waits until the process has exited; returns the exit code. */
  async waitForExit (): Promise<number | null> {
    return await this._exited
  }

  /** Kills the process and removes its settings folder. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this._exited
    rmSync(this._folder, { recursive: true, force: true })
  }
}

function createSettings (options: GatewayProcessOptions, ports: readonly number[]): string {
  const [callers, readiness, metrics, peers] = ports.map(port => `"127.0.0.1:${port}"`)
  return [
    `id = "${options.id}"`, 'failure_domain = "here"', '[regions]', 'here = "home"', '[listen]', `callers = ${callers}`, `readiness = ${readiness}`,
    `metrics = ${metrics}`, `peers = ${peers}`, '[store]', `address = "${options.storeAddress}"`, 'row_bytes = 65536', '[stop]',
    `grace_ms = ${options.graceMs ?? 8_000}`
  ].join('\n')
}

/** Gets free ports; all of them are bound at the same time, because the operating system could otherwise assign one twice. */
async function getFreePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return server
  }))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async server => { await new Promise(resolve => server.close(resolve)) }))
  return ports
}
