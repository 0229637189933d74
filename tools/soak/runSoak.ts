/** Runs the soak from the command line: one line for each promise, and the logs of a run that broke one. */
import { writeFileSync } from 'node:fs'
import { Cli, Command, Option, UsageError } from 'clipanion'
import { Soak } from './Soak.js'
import { SoakFaultName } from './SoakPlan.js'

class SoakCommand extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Run gateways under planned faults and check what callers and targets see.' })

  seed = Option.String('--seed', '1', { description: 'First seed.' })
  runs = Option.String('--runs', '1', { description: 'Number of seeds.' })
  seconds = Option.String('--seconds', '30', { description: 'Duration of each run.' })
  gateways = Option.String('--gateways', '3', { description: 'Number of gateway processes.' })
  callers = Option.String('--callers', '4', { description: 'Number of callers of each kind.' })
  only = Option.String('--only', Object.values(SoakFaultName).join(','), { description: 'Names of faults, separated by commas; all by default.' })

  async execute (): Promise<number> {
    const only = this.only.split(',').map(name => parseName(name))
    const firstSeed = parseNumber('--seed', this.seed)
    const runs = parseNumber('--runs', this.runs)
    const durationMs = 1_000 * parseNumber('--seconds', this.seconds)
    const gateways = parseNumber('--gateways', this.gateways)
    const callersOfEachKind = parseNumber('--callers', this.callers)
    let brokenRuns = 0
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
      const soak = new Soak({ seed, durationMs, gateways, callersOfEachKind, only })
      const broken = await soak.run()
      this.context.stdout.write([`seed ${seed}, ${soak.faults.length} faults`, ...soak.checks.format(), ...broken, ''].join('\n'))
      if (broken.length === 0) continue
      brokenRuns++
      writeFileSync(`soak-${seed}.log`, [...broken, ...soak.getLogLines()].join('\n'))
    }
    this.context.stdout.write(`${brokenRuns} runs broke a promise\n`)
    return brokenRuns === 0 ? 0 : 1
  }
}

function parseNumber (option: string, text: string): number {
  if (/^[0-9]+$/.test(text)) return Number(text)
  throw new UsageError(`${option} must be a whole number, but is "${text}".`)
}

function parseName (text: string): SoakFaultName {
  const names = Object.values(SoakFaultName)
  const name = names.find(other => other === text)
  if (name === undefined) throw new UsageError(`--only must name faults of ${names.join(', ')}, but names "${text}".`)
  return name
}

await Cli.from([SoakCommand], { binaryName: 'soak' }).runExit(process.argv.slice(2))
