import { createWriteStream, type WriteStream } from 'node:fs'
import { Logger } from 'tslog'

/** File descriptor of standard output. */
const STDOUT = 1

/** Size of the write buffer, in bytes; lines beyond it are dropped and counted. Holds about four seconds of a busy gateway's log. */
export const MAX_BUFFERED_BYTES = 1_048_576

/** Milliseconds between two writes of the buffered lines. */
const FLUSH_INTERVAL_MS = 50

/** Fields of a log line: ids, inputs with their age or version, outcome. */
export type LogFields = Readonly<Record<string, unknown>>

/** Options of {@link DecisionLog}. */
export interface DecisionLogOptions {
  readonly process: string
  readonly id: string
  readonly onDropped?: (lines: number) => void
  /** Suppresses all output, for tests. */
  readonly isSilent?: boolean
}

/** Writes one JSON line for each decision or change of cached state; never blocks, and drops lines that exceed the write buffer. */
export class DecisionLog {
  private readonly _logger: Logger<Record<string, unknown>>
  private readonly _options: DecisionLogOptions
  private readonly _out: WriteStream
  private _lines: string[] = []
  private _bytes = 0
  private _dropped = 0

  constructor (options: DecisionLogOptions) {
    this._options = options
    // Writes to a descriptor go through the thread pool; process.stdout would block on a full pipe.
    this._out = createWriteStream('', { fd: STDOUT, autoClose: false })
    // The reader may close the pipe before the process ends; the write error can then be reported nowhere.
    this._out.on('error', () => {})
    this._logger = new Logger({ type: 'hidden', name: `${options.process}/${options.id}`, stack: { capture: 'off' }, meta: { property: '_meta' } })
    if (options.isSilent !== true) this._logger.attachTransport(record => { this._add(record) })
    setInterval(() => { this._flush() }, FLUSH_INTERVAL_MS).unref()
  }

  /** Logs an expected event. */
  info (event: string, fields: LogFields = {}): void {
    this._logger.info({ event, ...fields })
  }

  /** Logs an event that an operator may want to investigate. */
  warn (event: string, fields: LogFields = {}): void {
    this._logger.warn({ event, ...fields })
  }

  /** Flushes the buffer; resolves when all lines are written. */
  async close (): Promise<void> {
    this._flush()
    await new Promise<void>(resolve => { this._out.end(() => { resolve() }) })
  }

  private _add (record: Record<string, unknown>): void {
    const { _meta: meta, ...fields } = record
    const { date, logLevelName } = meta as { date: Date, logLevelName: string }
    const line = `${JSON.stringify({ time: date.toISOString(), level: logLevelName, process: this._options.id, ...fields })}\n`
    if (this._bytes + this._out.writableLength + line.length > MAX_BUFFERED_BYTES) {
      this._dropped++
      this._options.onDropped?.(1)
      return
    }
    this._lines.push(line)
    this._bytes += line.length
  }

  private _flush (): void {
    if (this._lines.length === 0) return
    if (this._dropped > 0) this._lines.push(`${JSON.stringify({ time: new Date().toISOString(), level: 'WARN', process: this._options.id, event: 'log-lines-dropped', lines: this._dropped })}\n`)
    this._out.write(this._lines.join(''))
    this._lines = []
    this._bytes = 0
    this._dropped = 0
  }
}
