import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { Command, Option } from 'clipanion'
import { formatLogExplanation, LogExplainer, LossCounter, parseLogLine, type LogLine } from '../../core/explain/index.js'
import { describeError } from '../process/index.js'
import { CtlCommand, ExitCode } from './CtlCommand.js'

/** Base of the commands that read the logs of gateways from files. */
abstract class LogCommand extends CtlCommand {
  abstract files: string[]

  /** Number of lines in the files that are no line of a gateway, or an incomplete one. */
  protected foreignLines = 0
  private readonly _unreadable = new Set<string>()

  /** Passes each line of all files; a file that cannot be read is reported, and the others are read all the same. */
  protected async readLines (add: (line: LogLine) => void): Promise<void> {
    this.foreignLines = 0
    for (const file of this.files) {
      try {
        for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
          const line = parseLogLine(text)
          if (line !== undefined) add(line)
          else if (text.trim() !== '') this.foreignLines++
        }
      } catch (err) {
        if (this._unreadable.has(file)) continue
        this._unreadable.add(file)
        this.context.stderr.write(`${file} cannot be read: ${describeError(err)}\n`)
      }
    }
  }

  /** Checks that at least one file was read. */
  protected hasReadFiles (): boolean {
    return this.files.some(file => !this._unreadable.has(file))
  }

  /** Reports the lines that were passed over. */
  protected reportForeignLines (): void {
    if (this.foreignLines > 0) this.context.stderr.write(`lines passed over, incomplete or not of a gateway: ${this.foreignLines}\n`)
  }
}

/** Explains a request or a program by the logs of all gateways. */
export class ExplainLogsCommand extends LogCommand {
  static override paths = [['logs', 'explain']]
  static override usage = Command.Usage({
    description: 'Explain a request or a program by the logs of the gateways: what happened, why, what to do, then its lines.',
    details: 'The id is the `X-Request-Id` of a caller\'s attempt or the id of a program. Any prefix of a line before its JSON is ignored.',
    examples: [['Explain a request', 'wisteriactl logs explain 5a4caf0acac012c3 gateway-*.log']]
  })

  id = Option.String({ name: 'id' })
  files = Option.Rest({ required: 1, name: 'files' })

  async execute (): Promise<number> {
    const explainer = new LogExplainer(this.id)
    let lines = 0
    await this.readLines(line => {
      lines++
      explainer.addReferences(line)
    })
    await this.readLines(line => { explainer.add(line) })
    this.reportForeignLines()
    if (!this.hasReadFiles()) return ExitCode.Failed
    const explanation = explainer.explain()
    if (explanation === undefined) {
      this.print(null, [`no line names ${this.id}; lines of gateways that were read: ${lines}`])
      return ExitCode.NotFound
    }
    this.print(explanation, formatLogExplanation(explanation))
    return ExitCode.Done
  }
}

/** Counts the requests that were not served, by reason. */
export class LossesCommand extends LogCommand {
  static override paths = [['logs', 'losses']]
  static override usage = Command.Usage({
    description: 'Count the requests that were not served, by reason, with the id of an example each.',
    examples: [['Count the losses of a day', 'wisteriactl logs losses gateway-*.log']]
  })

  files = Option.Rest({ required: 1, name: 'files' })

  async execute (): Promise<number> {
    const counter = new LossCounter()
    await this.readLines(line => { counter.add(line) })
    this.reportForeignLines()
    if (!this.hasReadFiles()) return ExitCode.Failed
    const counts = counter.getCounts()
    this.print(counts, counts.map(({ reason, requests, programs, example }) =>
      `${String(requests).padStart(7)} requests ${String(programs).padStart(6)} programs  ${reason} (${example})`))
    return ExitCode.Done
  }
}
