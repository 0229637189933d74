import { Logger } from 'tslog'

/** A logger that writes JSON lines; used for changes of state only. */
export type StateLogger = Logger<Record<string, unknown>>

/** Creates the logger of a process. */
export function createLogger (process: string, id: string): StateLogger {
  return new Logger({ type: 'json', name: `${process}/${id}` })
}
