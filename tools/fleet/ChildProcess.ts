import { spawn, type ChildProcess as NodeChild } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const DIST = fileURLToPath(new URL('../../dist/bin/', import.meta.url))

/** Milliseconds in which a process must say where it listens. */
const START_TIMEOUT_MS = 20_000

/** A process of the system or a stand-in, started by a tool or a test and ended by its id. */
export class ChildProcess {
  readonly id: string
  private readonly _child: NodeChild
  private readonly _lines: string[] = []
  private readonly _exited: Promise<number | null>
  private _url = ''

  private constructor (id: string, child: NodeChild) {
    this.id = id
    this._child = child
    this._exited = new Promise(resolve => { child.once('exit', code => { resolve(code) }) })
  }

  /** Starts a binary and waits until it listens. */
  static async start (id: string, binary: string, args: readonly string[]): Promise<ChildProcess> {
    const child = spawn(process.execPath, [`${DIST}${binary}.js`, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const started = new ChildProcess(id, child)
    await started._waitForUrl()
    return started
  }

  get url (): string {
    return this._url
  }

  get pid (): number {
    return this._child.pid!
  }

  /** Gets what the process has printed. */
  getLines (): readonly string[] {
    return this._lines
  }

  /** Tells whether the process still runs. */
  isRunning (): boolean {
    return this._child.exitCode === null && this._child.signalCode === null
  }

  /** Sends a signal to the process, by its id. */
  signal (name: NodeJS.Signals): void {
    if (this.isRunning()) this._child.kill(name)
  }

  /** Resolves with the exit code when the process has ended. */
  async waitForExit (): Promise<number | null> {
    return await this._exited
  }

  /** Ends the process at once. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this._exited
  }

  private async _waitForUrl (): Promise<void> {
    createInterface({ input: this._child.stderr! }).on('line', line => { this._lines.push(line) })
    const lines = createInterface({ input: this._child.stdout! })
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => { reject(new Error(`${this.id} did not start: ${this._lines.join('\n')}`)) }, START_TIMEOUT_MS)
      this._child.once('exit', code => { reject(new Error(`${this.id} ended with ${code}: ${this._lines.join('\n')}`)) })
      lines.on('line', line => {
        this._lines.push(line)
        if (this._url !== '' || !line.includes('"event":"listening"')) return
        this._url = (JSON.parse(line) as { url: string }).url
        clearTimeout(timer)
        resolve()
      })
    })
  }
}
