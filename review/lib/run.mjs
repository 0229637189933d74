/** Runs a case: temporary folder, record, exit code, and the end of everything that was started. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** True if the disruption is to happen. */
export const IS_TROUBLED = process.env.TROUBLE !== '0'

const LIMIT_MS = 110_000

/** Gets a configuration with the routes of a case. */
export function toConfig (version, routes, services) {
  return {
    version,
    routes: routes.map(route => ({ host: 'desk.example', timeoutMs: 5_000, targetLatencyMs: 300, priority: 0, maxAttempts: 1, ...route })),
    services: services.map(service => ({ healthPath: '/health', maxConns: 310, protocol: 'h1', tls: false, ...service })),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
  }
}

/** Runs `play`, which returns true if the rule held; exits with 0, 1 if it was broken, 2 if the case could not run. */
export async function runCase (caseFolder, play) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const lines = []
  const started = []
  const startedAt = performance.now()
  const record = text => {
    lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`)
  }
  const timer = setTimeout(() => { record('the case took too long'); void end(2) }, LIMIT_MS)
  const end = async code => {
    clearTimeout(timer)
    for (const part of started.reverse()) await (part.kill?.() ?? part.close?.())
    rmSync(folder, { recursive: true, force: true })
    writeFileSync(join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`)
    console.log(lines.at(-1))
    process.exit(code)
  }
  record(`trouble: ${IS_TROUBLED}`)
  try {
    const hasHeld = await play({ folder, record, own: part => { started.push(part); return part } })
    record(hasHeld ? 'result: the rule held' : 'result: the rule was broken')
    await end(hasHeld ? 0 : 1)
  } catch (err) {
    record(`result: could not run: ${err instanceof Error ? err.stack : err}`)
    await end(2)
  }
}
