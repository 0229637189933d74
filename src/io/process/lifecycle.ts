import type { StateLogger } from './logging.js'

/** Milliseconds between two looks at whether a stopping process has finished its work. */
const IDLE_POLL_INTERVAL_MS = 50

/** What a process does to stop as planned. */
export interface ShutdownSteps {
  /** Announces that no new work is taken. */
  readonly announce: () => void
  /** Tells whether all work in progress has ended. */
  readonly isIdle: () => boolean
  /** Closes sockets and timers. */
  readonly close: () => Promise<void>
  /** Milliseconds for which work in progress is waited for. */
  readonly stopMs: number
  /** Milliseconds between the announcement and the first look, in which others hear of it. */
  readonly noticeMs: number
}

/** Runs a planned stop on SIGTERM or SIGINT: announce, finish the work in progress, close, exit. */
export function handleShutdownSignals (logger: StateLogger, steps: ShutdownSteps): void {
  let isStopping = false
  const stop = (signal: string): void => {
    if (isStopping) return
    isStopping = true
    logger.info('stopping', { signal })
    steps.announce()
    const startedAt = Date.now()
    const timer = setInterval(() => {
      const elapsed = Date.now() - startedAt
      if (elapsed < steps.noticeMs || (!steps.isIdle() && elapsed < steps.stopMs)) return
      clearInterval(timer)
      void steps.close().then(() => {
        logger.info('stopped', { elapsedMs: elapsed })
        process.exit(0)
      })
    }, IDLE_POLL_INTERVAL_MS)
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

/** Tells the parent, on standard output, where the process listens. */
export function announceListening (role: string, id: string, url: string): void {
  process.stdout.write(`${JSON.stringify({ event: 'listening', role, id, url })}\n`)
}
