import { spawn, type ChildProcess as NodeChild } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

const DIST = fileURLToPath(new URL('../../dist/bin/', import.meta.url))

/** Milliseconds within which a process must print the URL that it listens on. */
const START_TIMEOUT_MS = 20_000

/** Child process of a tool or a test: a process of the system or a stand-in. */
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

  /** Starts a binary and waits until it has printed its URL. */
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

  /** Gets the lines that the process has printed to standard output and standard error. */
  getLines (): readonly string[] {
    return this._lines
  }

  /** Checks whether the process is running. */
  isRunning (): boolean {
    return this._child.exitCode === null && this._child.signalCode === null
  }

  /** Sends a signal to the process if it is running. */
  signal (name: NodeJS.Signals): void {
    if (this.isRunning()) this._child.kill(name)
  }

  /** Waits until the process has exited; returns the exit code. */
  async waitForExit (): Promise<number | null> {
    return await this._exited
  }

  /** Kills the process and waits until it has exited. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this._exited
  }

  private async _waitForUrl (): Promise<void> {
    createInterface({ input: this._child.stderr! }).on('line', line => { this._lines.push(line) })
    const lines = createInterface({ input: this._child.stdout! })
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => { reject(new Error(`Process "${this.id}" printed no URL within ${START_TIMEOUT_MS} ms: ${this._lines.join('\n')}`)) }, START_TIMEOUT_MS)
      this._child.once('exit', code => { reject(new Error(`Process "${this.id}" exited with code ${code}: ${this._lines.join('\n')}`)) })
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
