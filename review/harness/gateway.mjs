// Starts gateways with the command of the deploy file and settings like those of a small deployment, on loopback.
import { spawn } from 'node:child_process'
import { readFileSync, mkdtempSync, rmSync, writeFileSync, createWriteStream } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as sleep } from 'node:timers/promises'

/** Bounds of the pages that the scripts use. */
export const BOUNDS = { graceS: 8, contactMs: 4_000, lossSlackMs: 200, drainTimeoutMs: 2_500, configApplyMs: 2_500 }

const folder = mkdtempSync(join(tmpdir(), 'review-'))
const children = new Set()

/** Finds free ports; they stay free for the gateway, which starts at once. */
async function getFreePorts (count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    return server
  }))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

export class Gateway {
  /** Renders the settings of a new gateway. */
  static async create (id, storeAddress, zone = 'luzern') {
    const [callers, readiness, metrics, peers] = await getFreePorts(4)
    const gateway = new Gateway()
    Object.assign(gateway, { id, callers, readiness, lines: [], file: join(folder, `${id}.toml`) })
    writeFileSync(gateway.file, `id = "${id}"
failure_domain = "${zone}"
placement = "cost"

[regions]
"luzern" = "zentral"
"neuenburg" = "west"
"zug" = "zentral"

[listen]
callers = "127.0.0.1:${callers}"
readiness = "127.0.0.1:${readiness}"
metrics = "127.0.0.1:${metrics}"
peers = "127.0.0.1:${peers}"

[store]
address = "${storeAddress}"
row_bytes = 65536
writes_per_second = 800

[stop]
grace_ms = ${BOUNDS.graceS}000
`)
    return gateway
  }

  /** Starts the process, with the command of deploy/system.toml, and waits until it is ready. */
  async start () {
    const command = readFileSync('deploy/system.toml', 'utf8').match(/^run = "(.*)"$/m)[1].split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(process.execPath, command.slice(1), {
      stdio: ['ignore', 'pipe', 'pipe'], env: { PATH, HOME, LANG, WISTERIABRIDGE_SETTINGS: this.file }
    })
    this.child = child
    this.pid = child.pid
    children.add(child)
    const log = process.env.GATEWAY_LOGS === undefined ? undefined : createWriteStream(join(process.env.GATEWAY_LOGS, `${this.id}.log`), { flags: 'a' })
    for (const stream of [child.stdout, child.stderr]) {
      createInterface({ input: stream }).on('line', line => { this.lines.push(line); log?.write(`${line}\n`) })
    }
    this.exit = new Promise(resolve => child.once('exit', (code, signal) => { children.delete(child); this.exitedAt = performance.now(); resolve({ code, signal }) }))
    for (const deadline = performance.now() + 15_000; performance.now() < deadline; await sleep(30)) {
      const status = await fetch(`http://127.0.0.1:${this.readiness}/v1/ready`).then(res => res.status, () => 0)
      if (status === 200) return
    }
    throw new Error(`gateway ${this.id} is not ready: ${this.lines.slice(-5).join(' | ')}`)
  }

  signal (name) { this.child.kill(name) }

  getEvents (event) {
    return this.lines.filter(line => line.includes(`"event":"${event}"`)).map(line => JSON.parse(line))
  }

  /** Gets the resident memory in MB; undefined when the process has ended. */
  getResidentMb () {
    try {
      return Number(readFileSync(`/proc/${this.pid}/status`, 'utf8').match(/VmRSS:\s+(\d+)/)[1]) / 1_024
    } catch {
      return undefined
    }
  }
}

/** Ends all processes that were started, and removes the temporary folder. */
export async function cleanUp () {
  for (const child of children) { child.kill('SIGCONT'); child.kill('SIGKILL') }
  for (const deadline = performance.now() + 3_000; children.size > 0 && performance.now() < deadline;) await sleep(20)
  rmSync(folder, { recursive: true, force: true })
}

/** Seconds after which a script is ended; a script runs for 120 s at most. */
const SCRIPT_LIMIT_S = 115

const end = async () => {
  await cleanUp()
  process.exit(2)
}
for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => { void end() })
setTimeout(() => { console.error('the script took too long'); void end() }, 1_000 * SCRIPT_LIMIT_S).unref()
