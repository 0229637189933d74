import type { StateLogger } from './logging.js'

/** Milliseconds between two checks whether a stopping process is idle. */
const IDLE_POLL_INTERVAL_MS = 50

/** Steps and limits of a graceful shutdown. */
export interface ShutdownSteps {
  /** Announces that no new work is accepted. */
  readonly announce: () => void
  /** Checks whether all work in progress has ended. */
  readonly isIdle: () => boolean
  /** Closes sockets and timers. */
  readonly close: () => Promise<void>
  /** Longest wait for work in progress, in milliseconds. */
  readonly stopMs: number
  /** Milliseconds between the announcement and the first check whether the process is idle, in which other processes receive it. */
  readonly noticeMs: number
}

/** Shuts the process down gracefully on SIGTERM or SIGINT: announce, finish the work in progress, close, exit. */
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

/** Writes the URL on which the process listens to standard output, for its parent process. */
export function announceListening (role: string, id: string, url: string): void {
  process.stdout.write(`${JSON.stringify({ event: 'listening', role, id, url })}\n`)
}
