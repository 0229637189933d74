/** Checks the invariants under every single fault and in many random interleavings; see docs/PROOFS.md. */
import { Cli, Command, Option } from 'clipanion'
import { ALL_PROCESSES, listSingleFaults, findViolationsUnder } from './singleFaults.js'
import { checkInterleavings } from './interleavings.js'

class ProveCommand extends Command {
  static override paths = [Command.Default]
  seed = Option.String('--seed', '1')
  runs = Option.String('--runs', '2000')
  skipCuts = Option.Boolean('--skip-cuts', false)

  async execute (): Promise<number> {
    const failedCount = this.skipCuts ? 0 : this._checkSingleFaults()
    const startedAt = Date.now()
    checkInterleavings(Number(this.seed), Number(this.runs))
    this._writeLine(`${this.runs} interleavings of seed ${this.seed}: no invariant violated, ${Date.now() - startedAt} ms`)
    return failedCount === 0 ? 0 : 1
  }

  private _checkSingleFaults (): number {
    const startedAt = Date.now()
    const singleFaults = listSingleFaults(ALL_PROCESSES)
    let failedCount = 0
    for (const singleFault of singleFaults) {
      const violations = findViolationsUnder([singleFault])
      if (violations.length === 0) continue
      failedCount++
      this._writeLine(`${JSON.stringify(singleFault)}: ${violations.join('; ')}`)
    }
    this._writeLine(`${singleFaults.length} single faults: ${failedCount} violated an invariant, ${Date.now() - startedAt} ms`)
    return failedCount
  }

  private _writeLine (text: string): void {
    this.context.stdout.write(`${text}\n`)
  }
}

const cli = new Cli({ binaryName: 'prove' })
cli.register(ProveCommand)
await cli.runExit(process.argv.slice(2))
