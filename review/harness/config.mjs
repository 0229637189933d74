// The operator's configuration of a small deployment, as `fleetbench wire` shows it.
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

const ENGINE = { slots: 12, kvCapacity: 195_659, kvBytes: 327_680, linkSpeedMbps: 570_000, moves: true, backups: true, tokensPerEvent: 4, models: [{ name: 'm' }] }

/** Gets version 1 of the configuration: two kinds of turns, a lookup, and a booking that must not be repeated. */
export function getConfig (changes = {}) {
  const route = { host: 'desk.example', priority: 1, maxAttempts: 2 }
  const turns = { ...route, kind: 'streaming', service: 'models', timeoutMs: 5_000, targetLatencyMs: 300, targetGapMs: 400, sessionAffinity: true, maxAttempts: 1 }
  return {
    version: 1,
    routes: [
      { ...turns, name: 'chat', pathPrefix: '/chat/', retained: true, retentionS: 60, resumable: false },
      { ...turns, name: 'guide', pathPrefix: '/guide/', retained: false, resumable: true, maxAttempts: 2 },
      { ...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'idempotent', service: 'desk', timeoutMs: 1_500, targetLatencyMs: 300 },
      { ...route, name: 'charge', pathPrefix: '/charge/', kind: 'non_idempotent', service: 'desk', timeoutMs: 6_000, targetLatencyMs: 1_000, maxAttempts: 1 }
    ],
    services: [
      { name: 'models', healthPath: '/health', maxConns: 150, protocol: 'h1', tls: false, engine: ENGINE },
      { name: 'desk', healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false }
    ],
    limits: LIMITS,
    ...changes
  }
}
