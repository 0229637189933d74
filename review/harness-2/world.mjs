/** Stand-ins of the platform's store, of targets and of callers, and gateways as the deploy file starts them, for a review's scripts. */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { createServer as createNetServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Writes lines with a time to the record of a script. */
export class Recorder {
  constructor (file) {
    this.file = file
    this.startedAt = performance.now()
    writeFileSync(file, '')
  }

  add (text) {
    appendFileSync(this.file, `${((performance.now() - this.startedAt) / 1_000).toFixed(3)} ${text}\n`)
  }
}

/** Finds a port that is free on a loopback address. */
export async function findPort (host) {
  const server = createNetServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

const RESPONSE_MS = 4
const PAGE_ROWS = 500
const LONGEST_WAIT_MS = 30_000

/** The platform's store: rows, transactions and the feed of changes. */
export class Store {
  constructor () {
    this.rows = new Map()
    this.version = 1
    this.waiting = new Set()
    /** Decides what happens to a call: undefined, 'busy', 'reset', 'silent' or 'lost' (done, not answered). */
    this.getFault = () => undefined
    this.server = createServer((req, res) => { this.serve(req, res).catch(() => { res.destroy() }) })
    this.server.keepAliveTimeout = 60_000
  }

  async start (host = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  put (table, key, value) {
    this.apply({ expectedRev: [], puts: [{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], remove: [] })
  }

  remove (table, key) {
    this.apply({ expectedRev: [], puts: [], remove: [{ table, part: '', key }] })
  }

  getRow ({ table, part = '', key }) {
    const row = this.rows.get(JSON.stringify([table, part, key]))
    return row === undefined || row.tombstone ? undefined : row
  }

  apply ({ expectedRev = [], puts = [], remove = [] }) {
    if (expectedRev.some(row => (this.getRow(row)?.rowVersion ?? 0) !== row.rowVersion)) {
      return { status: 412, body: { rows: expectedRev.flatMap(row => this.getRow(row) ?? []) } }
    }
    this.version++
    const set = (row, rest) => {
      const { table, part = '', key } = row
      this.rows.set(JSON.stringify([table, part, key]), { table, part, key, rowVersion: this.version, ...rest })
    }
    for (const row of puts) set(row, { value: row.value })
    for (const row of remove) set(row, { tombstone: true })
    for (const wake of this.waiting) wake()
    return { status: 200, body: { rowVersion: this.version, nowMs: this.getTime() } }
  }

  getTime () {
    return Math.round(performance.now()) + 1_000_000
  }

  async serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString()
    const url = new URL(req.url, 'http://store')
    const fault = this.getFault({ url, text, req })
    if (fault === 'reset') return req.socket.resetAndDestroy()
    if (fault === 'silent') return
    await sleep(RESPONSE_MS)
    if (fault === 'busy') return res.writeHead(503).end()
    const { status, body } = await this.respond(url, text)
    if (fault === 'lost') return
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  async respond (url, text) {
    const query = url.searchParams
    const table = query.get('table')
    if (url.pathname === '/v1/rows-tx') return this.apply(JSON.parse(text))
    if (url.pathname === '/v1/rows-get') {
      const part = query.get('part') ?? ''
      const from = query.get('from') ?? ''
      const to = query.get('to')
      const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
      const isInRange = row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to)
      const rows = [...this.rows.values()].filter(row => !row.tombstone && isInRange(row))
      rows.sort((a, b) => a.key < b.key ? -1 : 1)
      const page = { rows: rows.slice(0, limit), morePages: rows.length > limit }
      return { status: 200, body: { ...page, rowVersion: this.version, nowMs: this.getTime() } }
    }
    if (url.pathname !== '/v1/rows-feed') return { status: 404, body: {} }
    const after = Number(query.get('after'))
    const getChanges = () => {
      const changes = [...this.rows.values()].filter(row => row.table === table && row.rowVersion > after)
      return changes.sort((a, b) => a.rowVersion - b.rowVersion)
    }
    const deadline = performance.now() + Math.min(LONGEST_WAIT_MS, Number(query.get('waitMs') ?? 0))
    while (getChanges().length === 0 && performance.now() < deadline) {
      let wake
      const woken = new Promise(resolve => { wake = resolve })
      this.waiting.add(wake)
      await Promise.race([woken, sleep(deadline - performance.now())])
      this.waiting.delete(wake)
    }
    return { status: 200, body: { rows: getChanges(), rowVersion: this.version, nowMs: this.getTime() } }
  }
}

/** A target of the platform: a model engine that sends events, or a plain service. */
export class Target {
  constructor ({ id, service, host = '127.0.0.1', recorder, events = 8, gapMs = 20, workMs = 50, slots = 48, version = 'v1' }) {
    Object.assign(this, { id, service, host, recorder, events, gapMs, workMs, slots, version })
    this.runs = []
    this.port = 0
    /** Headers of all answers. */
    this.extraHeaders = {}
    /** Answers a request in place of the usual response if it returns true. */
    this.respond = () => false
  }

  async start (store = this.store, born = Date.now()) {
    this.store = store
    this.born = born
    this.sockets = new Set()
    this.server = createServer((req, res) => { this.serve(req, res).catch(() => { res.destroy() }) })
    this.server.keepAliveTimeout = 5_000
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { this.sockets.delete(socket) })
    })
    await new Promise(resolve => this.server.listen(this.port, this.host, resolve))
    this.port = this.server.address().port
    this.address = `${this.host}:${this.port}`
    this.register('ready')
  }

  /** Ends at once, as a process that crashes: connections are reset, and nothing is written to the store. */
  crash () {
    this.recorder?.add(`${this.id} crashes`)
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  register (state = this.state ?? 'ready') {
    this.state = state
    const { service, address, slots, born, version } = this
    this.store.put('servers', this.id, { service, address, zone: 'here', version, slots, state, coldLeftMs: 0, callSeq: 1, born })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  async serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const id = req.headers['x-request-id']
    if (req.url === '/health' || req.url.startsWith('/v1/')) return res.writeHead(200, { 'x-instance-id': this.id, 'content-length': 0 }).end()
    if (req.headers['x-target-instance'] !== undefined && req.headers['x-target-instance'] !== this.id) {
      return res.writeHead(421, { 'x-request-id': id, 'x-not-executed': '1', 'content-length': 0 }).end()
    }
    const { method, url, headers } = req
    const run = { id, method, url, headers, version: this.version, at: performance.now(), isOpen: true }
    this.runs.push(run)
    this.recorder?.add(`${this.id} runs ${req.method} ${req.url} id=${id}`)
    res.on('close', () => {
      run.isOpen = false
      run.isComplete = res.writableFinished
      run.endedAt = performance.now()
    })
    if (this.respond(run, req, res)) return
    const head = { 'x-request-id': id, 'x-response-signature': `signed.${this.id}.${id}`, ...this.extraHeaders }
    if (this.service === 'desk') {
      await sleep(this.workMs)
      return res.writeHead(200, { ...head, 'content-type': 'text/plain' }).end(`answer to ${id}`)
    }
    res.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
    const first = Number(req.headers['last-event-id'] ?? 0) + 1
    for (let event = first; event <= this.events; event++) {
      await sleep(this.gapMs)
      if (!run.isOpen) return
      res.write(`id: ${event}\ndata: ${run.version} ${id}-${event}\n\n`)
    }
    res.end()
  }
}

export const HOST = 'desk.example'

/** Writes the operator's configuration. */
export function configure (store, { version = 3, routes = [], tokensPerEvent = 3, limits = {}, timeoutMs = 5_000, tenants } = {}) {
  const base = { host: HOST, timeoutMs, targetLatencyMs: 300, priority: 0, maxAttempts: 1 }
  const stream = { ...base, kind: 'streaming', service: 'model', retentionS: 60, sessionAffinity: true, targetGapMs: 400 }
  store.put('op', 'config', {
    version,
    ...(tenants === undefined ? {} : { tenants }),
    routes: [
      { ...stream, name: 'kept', pathPrefix: '/kept/', retained: true, resumable: false },
      { ...stream, name: 'resumable', pathPrefix: '/resumable/', retained: false, resumable: true },
      { ...base, name: 'lookup', pathPrefix: '/lookup/', kind: 'idempotent', service: 'desk', maxAttempts: 2 },
      { ...base, name: 'booking', pathPrefix: '/booking/', kind: 'non_idempotent', service: 'desk' },
      ...routes
    ],
    services: [
      { name: 'model', healthPath: '/health', maxConns: 300, protocol: 'h1', tls: false, engine: { slots: 48, tokensPerEvent } },
      { name: 'desk', healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, ...limits }
  })
}

/** Processes that were started, which end with this one. */
const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => { process.exit(2) })

/** Number of gateways; each has an address of its own, so that no connection of another process takes its ports while it is down. */
let gatewayCount = 0

/** A gateway, started with the command of the deploy file and settings like those of its template. */
export class Gateway {
  constructor ({ id, host = `127.0.1.${++gatewayCount}`, storeAddress, graceMs = 8_000, memoryMb = 210, maxFds = 8_200 }) {
    Object.assign(this, { id, host, storeAddress, graceMs, memoryMb, maxFds })
    this.lines = []
  }

  async start (timeoutMs = 10_000) {
    if (this.folder === undefined) {
      this.folder = mkdtempSync(join(tmpdir(), 'review-gateway-'))
      this.ports = {}
      for (const name of ['callers', 'readiness', 'metrics', 'peers']) this.ports[name] = await findPort(this.host)
      writeFileSync(join(this.folder, 'settings.toml'), this.getSettings())
    }
    const [program, ...args] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))[1].split(' ')
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', WISTERIABRIDGE_SETTINGS: join(this.folder, 'settings.toml') },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.child = child
    children.add(child)
    this.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        children.delete(child)
        resolve({ code, signal, at: performance.now() })
      })
    })
    const lines = this.lines
    for (const output of [child.stdout, child.stderr]) {
      let rest = ''
      output.on('data', data => {
        const parts = (rest + data).split('\n')
        rest = parts.pop()
        lines.push(...parts)
      })
    }
    await this.awaitReady(timeoutMs)
  }

  getSettings () {
    const { id, host, ports, storeAddress, graceMs, memoryMb, maxFds } = this
    return [
      `id = "${id}"`, 'failure_domain = "here"', 'placement = "cost"', '[regions]', '"here" = "home"', '[listen]',
      ...Object.entries(ports).map(([name, port]) => `${name} = "${host}:${port}"`),
      '[store]', `address = "${storeAddress}"`, 'row_bytes = 65536', 'writes_per_second = 800', '[stop]', `grace_ms = ${graceMs}`,
      '[targets]', 'drain_ms = 2500', '[limits]', `memory_mb = ${memoryMb}`, `max_fds = ${maxFds}`, ''
    ].join('\n')
  }

  async awaitReady (timeoutMs) {
    const deadline = performance.now() + timeoutMs
    while (performance.now() < deadline) {
      if (await this.isReady()) return
      await sleep(25)
    }
    throw new Error(`gateway ${this.id} is not ready`)
  }

  async isReady () {
    const result = await send({ host: this.host, port: this.ports.readiness, path: '/v1/ready', timeoutMs: 1_000 })
    return result.status === 200
  }

  signal (name) {
    this.child.kill(name)
  }

  hasExited () {
    return this.child.exitCode !== null || this.child.signalCode !== null
  }

  async kill () {
    if (!this.hasExited()) this.child.kill('SIGKILL')
    return await this.exited
  }

  async close () {
    if (this.child !== undefined) await this.kill()
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Sends one request; resolves with its outcome: status, headers, body, whether the response was complete, or the error. */
export async function send ({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 5_000, agent, onData }) {
  const startedAt = performance.now()
  return await new Promise(resolve => {
    const result = { status: 0, headers: {}, body: '', isComplete: false, error: undefined, events: 0 }
    const finish = error => {
      clearTimeout(timer)
      result.error ??= error
      result.tookMs = Math.round(performance.now() - startedAt)
      resolve(result)
    }
    const req = request({ host, port, method, path, agent: agent ?? false, headers: { host: HOST, ...headers, ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }) } }, res => {
      result.status = res.statusCode
      result.headers = res.headers
      res.setEncoding('utf8')
      res.on('data', data => {
        result.body += data
        onData?.(data, req)
      })
      res.on('end', () => { result.isComplete = res.complete })
      res.on('close', () => { finish(result.isComplete ? undefined : 'the response was cut') })
      res.on('error', () => {})
    })
    const timer = setTimeout(() => {
      result.error = 'no complete response in time'
      req.destroy()
    }, timeoutMs)
    req.on('error', err => { finish(err.code ?? err.message) })
    req.end(body)
  })
}

let count = 0

/** Gets a new request id. */
export function createId () {
  return (Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, '0') + (++count).toString(16).padStart(8, '0'))
}

/** Gets a field by its path, from the innermost scope that has it. */
function getField (scopes, path) {
  if (path === '.') return scopes[0]['.']
  if (path === '@') return scopes.find(scope => '@' in scope)?.['@']
  const [first, ...rest] = path.split('.')
  const scope = scopes.find(scope => first in scope)
  return rest.reduce((value, key) => value?.[key], scope?.[first])
}

/** Fills in a template of settings as the platform does: values, values as JSON, and sections. */
export function renderTemplate (text, fields) {
  const render = (part, scopes) => {
    const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}\n?/
    for (let match = section.exec(part); match !== null; match = section.exec(part)) {
      const [whole, kind, path, inner] = match
      const value = getField(scopes, path)
      const isMissing = value === undefined || value === null || value === false
      let out = ''
      if (kind === '^') out = isMissing ? render(inner, scopes) : ''
      else if (!isMissing && typeof value === 'object') {
        out = Object.entries(value).map(([key, entry]) => render(inner, [{ '@': key, '.': entry, ...(typeof entry === 'object' ? entry : {}) }, ...scopes])).join('')
      } else if (!isMissing) out = render(inner, scopes)
      part = part.replace(whole, () => out)
    }
    return part.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
      const value = getField(scopes, path)
      if (json !== undefined) return JSON.stringify(value ?? null)
      return value === undefined || value === null ? '' : typeof value === 'object' ? JSON.stringify(value) : String(value)
    })
  }
  return render(text, [fields])
}
