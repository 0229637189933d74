/** Runs the soak from the command line: one line for each promise, and the logs of a run that broke one. */
import { writeFileSync } from 'node:fs'
import { Cli, Command, Option } from 'clipanion'
import { Soak } from './Soak.js'

class SoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run gateways under planned faults and check what callers and targets see.' })

  seed = Option.String('--seed', '1', { description: 'First seed.' })
  runs = Option.String('--runs', '1', { description: 'Number of seeds.' })
  seconds = Option.String('--seconds', '30', { description: 'Duration of each run.' })
  gateways = Option.String('--gateways', '3', { description: 'Number of gateway processes.' })
  callers = Option.String('--callers', '4', { description: 'Number of callers of each kind.' })

  async execute (): Promise<number> {
    let brokenRuns = 0
    for (let seed = Number(this.seed); seed < Number(this.seed) + Number(this.runs); seed++) {
      const soak = new Soak({
        seed, durationMs: 1_000 * Number(this.seconds), gateways: Number(this.gateways), callersOfEachKind: Number(this.callers)
      })
      const broken = await soak.run()
      this.context.stdout.write([`seed ${seed}, ${soak.faults.length} faults`, ...soak.checks.format(), ...broken, ''].join('\n'))
      if (broken.length === 0) continue
      brokenRuns++
      writeFileSync(`soak-${seed}.log`, soak.getLogLines().join('\n'))
    }
    this.context.stdout.write(`${brokenRuns} runs broke a promise\n`)
    return brokenRuns === 0 ? 0 : 1
  }
}

await Cli.from([SoakCommand], { binaryName: 'soak' }).runExit(process.argv.slice(2))
