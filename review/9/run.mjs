/** Changes a bound of the settings to a fraction and restarts the gateways in turn: whether they start again. */
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Gateway, Recorder, Store, Target, configure, createId, renderTemplate, send, sleep } from '../harness-2/world.mjs'

/** Seconds between SIGTERM and SIGKILL: before the change and after it. */
const GRACE_S = 8
const CHANGED_GRACE_S = 8.5

/** Pauses of the platform in milliseconds: before it starts a process again, and between two machines of `roll_term`. */
const RESTART_MS = 500
const GAP_MS = 1_300

const isTroubled = process.env.TROUBLE !== '0'
const recorder = new Recorder(fileURLToPath(new URL('record.txt', import.meta.url)))

/** A machine, whose settings the platform renders from the template of the deploy file. */
class Machine extends Gateway {
  constructor (options) {
    super(options)
    this.graceS = GRACE_S
    this.ends = 0
    this.isOver = false
  }

  getSettings () {
    const { id, host: ip, ports, storeAddress: address, graceS } = this
    const [, template] = /^template = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
    return renderTemplate(readFileSync(template, 'utf8'), {
      nodeName: id,
      zone: 'here',
      zones: { here: 'home' },
      ip,
      listenAddrs: { front: `${ip}:${ports.callers}`, readyAddr: `${ip}:${ports.readiness}` },
      portRange: [ports.metrics, ports.peers],
      bounds: { drainTimeoutMs: 2_500, graceS, contactMs: 4_000, configApplyMs: 2_500, syncS: 4.2 },
      provider: { address, rowBytes: 65_536, writesPerS: 800 },
      limits: { memoryMb: 210, maxFds: 8_200 }
    })
  }

  /** Writes changed settings and tells the process. */
  change (graceS) {
    this.graceS = graceS
    writeFileSync(join(this.folder, 'settings.toml'), this.getSettings())
    this.signal('SIGHUP')
  }

  /** Stops the process as planned, and starts it again; also each time that it ends by itself. */
  async restart () {
    recorder.add(`${this.id} gets SIGTERM`)
    this.signal('SIGTERM')
    const timer = setTimeout(() => { this.signal('SIGKILL') }, this.graceS * 1_000)
    await this.exited
    clearTimeout(timer)
    while (!this.isOver) {
      await sleep(RESTART_MS)
      if (this.isOver) return
      const started = this.start(15_000).then(() => 'ready', () => 'not ready')
      if (await Promise.race([started, this.exited]) === 'ready') {
        recorder.add(`${this.id} is ready again`)
        return
      }
      const { code, signal } = await this.exited
      if (this.isOver) return
      this.ends++
      const [line = ''] = this.lines.slice(-1)
      recorder.add(`${this.id} has ended by itself, code ${code}, signal ${signal}: ${line.replace(this.folder, '').slice(0, 200)}`)
    }
  }
}

async function main () {
  const store = new Store()
  await store.start()
  configure(store)
  const desk = new Target({ id: 'i-desk-1', service: 'desk', workMs: 50 })
  await desk.start(store)
  const machines = ['edge-1', 'edge-2'].map(id => new Machine({ id, storeAddress: store.address }))
  const requests = []
  const callersState = { isOver: false }
  let restarts = []
  try {
    for (const machine of machines) await machine.start()
    const callers = machines.map(async machine => {
      while (!callersState.isOver) {
        const id = createId()
        const sentAt = performance.now()
        const result = await send({ host: machine.host, port: machine.ports.callers, path: '/lookup/parts', headers: { 'x-request-id': id, 'x-timeout-ms': '1200' }, timeoutMs: 1_200 })
        requests.push({ sentAt, isServed: result.status === 200 && result.isComplete })
        recorder.add(`${id} sent to ${machine.id}, ended: status ${result.status}, ${result.isComplete ? 'complete' : result.error}`)
        await sleep(200)
      }
    })
    await sleep(4_000)
    if (isTroubled) {
      recorder.add(`the settings change: graceS ${GRACE_S} to ${CHANGED_GRACE_S}`)
      for (const machine of machines) machine.change(CHANGED_GRACE_S)
    }
    await sleep(4_000)
    for (const machine of machines) {
      restarts.push(machine.restart())
      await sleep(GAP_MS)
    }
    await sleep(18_000)
    const from = performance.now()
    await sleep(5_000)
    callersState.isOver = true
    await Promise.all(callers)
    const last = requests.filter(({ sentAt }) => sentAt >= from)
    recorder.add(`of ${last.length} requests in the last 5 s, ${last.filter(({ isServed }) => isServed).length} served`)
    for (const { id, ends } of machines) recorder.add(`${id}: ${ends} ends by itself`)
    return machines.every(({ ends }) => ends >= 3) ? 1 : 0
  } finally {
    callersState.isOver = true
    for (const machine of machines) machine.isOver = true
    for (const machine of machines) await machine.kill()
    await Promise.all(restarts)
    restarts = []
    for (const machine of machines) await machine.close()
    desk.close()
    store.close()
  }
}

main().then(code => { process.exit(code) }, err => {
  recorder.add(`could not run: ${err.stack}`)
  process.exit(2)
})
