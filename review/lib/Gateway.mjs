/** Runs the gateway with the command of deploy/system.toml and settings as its template renders them. */
import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'

const ROOT = new URL('../..', import.meta.url).pathname
const START_TIMEOUT_MS = 20_000

/** Gets the words of `run` of the gateway's role. */
function getCommand () {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1]
  return run.split(' ')
}

export class Gateway {
  constructor ({ id, storeAddress, folder, graceMs = 8_000 }) {
    this.id = id
    this.file = join(folder, `${id}.toml`)
    this.lines = []
    writeFileSync(this.file, [
      `id = "${id}"`, 'failure_domain = "here"', 'placement = "cost"', '[regions]', '"here" = "home"', '[listen]',
      'callers = "127.0.0.1:0"', 'readiness = "127.0.0.1:0"', 'metrics = "127.0.0.1:0"', 'peers = "127.0.0.1:0"',
      '[store]', `address = "${storeAddress}"`, 'row_bytes = 65536', 'writes_per_second = 800', '[stop]', `grace_ms = ${graceMs}`
    ].join('\n'))
  }

  async start () {
    this.lines = []
    this.lastCallers = this.addresses?.callers
    this.addresses = undefined
    const [program, ...args] = getCommand()
    this.child = spawn(program, args, {
      cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, WISTERIABRIDGE_SETTINGS: this.file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    this.exited = new Promise(resolve => { this.child.once('exit', (code, signal) => { this.exitedAt = performance.now(); resolve({ code, signal }) }) })
    for (const out of [this.child.stdout, this.child.stderr]) createInterface({ input: out }).on('line', line => { this.lines.push(line) })
    const deadline = Date.now() + START_TIMEOUT_MS
    while (this.addresses === undefined || !await this.isReady()) {
      if (Date.now() > deadline || this.child.exitCode !== null) throw new Error(`gateway ${this.id} did not start: ${this.lines.slice(-3).join(' | ')}`)
      await sleep(30)
      const line = this.lines.find(text => text.includes('"event":"listening"'))
      if (line !== undefined) this.addresses = JSON.parse(line)
    }
  }

  get callers () {
    return this.addresses?.callers ?? this.lastCallers
  }

  async isReady () {
    try {
      return (await fetch(`http://${this.addresses.readiness}/v1/ready`)).status === 200
    } catch {
      return false
    }
  }

  events (name) {
    return this.lines.filter(line => line.includes(`"event":"${name}"`)).map(line => JSON.parse(line))
  }

  signal (name) {
    if (this.child.exitCode === null && this.child.signalCode === null) this.child.kill(name)
  }

  async kill () {
    if (this.child === undefined) return
    this.signal('SIGKILL')
    await this.exited
  }
}
