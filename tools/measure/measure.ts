/** Compares the policies with baselines on a virtual clock and prints one table; see docs/MEASUREMENTS.md. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { Cli, Command, Option } from 'clipanion'
import { Policy, SHAPES, type DeploymentShape } from './Deployment.js'
import { formatTable, formatSvg, type Row } from './report.js'
import { Workload, type Outcome, type WorkloadOptions } from './Workload.js'

const BASE_WORKLOAD: WorkloadOptions = { load: 0.6, hasSwings: false, hasStragglers: false, hasSlowdowns: false, hasLoadPeak: false }

/** Workloads by name; each variation also has a workload without the others. */
const WORKLOADS: Readonly<Record<string, WorkloadOptions>> = {
  calm: BASE_WORKLOAD,
  stragglers: { ...BASE_WORKLOAD, hasStragglers: true },
  swings: { ...BASE_WORKLOAD, hasSwings: true },
  slowdowns: { ...BASE_WORKLOAD, load: 0.4, hasSlowdowns: true },
  'calm at low load': { ...BASE_WORKLOAD, load: 0.4 },
  everything: { ...BASE_WORKLOAD, load: 0.5, hasSwings: true, hasStragglers: true, hasSlowdowns: true },
  crest: { ...BASE_WORKLOAD, load: 0.6, hasLoadPeak: true }
}

/** Measures of one run by title; smaller is better, except for the capacity delivered during the load peak. */
const MEASURES: ReadonlyArray<readonly [string, (outcome: Outcome, workload: Workload) => number]> = [
  ['whole session p50 ms', outcome => outcome.sessions.getValueAtPercentile(50)],
  ['whole session p95 ms', outcome => outcome.sessions.getValueAtPercentile(95)],
  ['model call p99 ms', outcome => outcome.calls.getValueAtPercentile(99)],
  ['short request p99 ms', outcome => outcome.shortRequests.getValueAtPercentile(99)],
  ['plain request p99 ms', outcome => outcome.plainRequests.getValueAtPercentile(99)],
  ['reusable prefix computed again %', outcome => 100 * outcome.recomputedTokens / Math.max(1, outcome.reusableTokens)],
  ['crest: capacity delivered in time %', (outcome, workload) => 100 * outcome.loadPeakTokens / workload.getLoadPeakCapacity()],
  ['slowest refusal ms', outcome => outcome.slowestRefusalMs],
  ['refusals', outcome => outcome.refusals]
]

class MeasureCommand extends Command {
  static override paths = [Command.Default]
  seeds = Option.String('--seeds', '101,102,103', { description: 'Seeds; the figures are means over them.' })
  only = Option.String('--only', '', { description: 'Workloads to run, separated by commas; all by default.' })
  out = Option.String('--out', 'measure-out', { description: 'Folder for JSON and SVG.' })

  async execute (): Promise<number> {
    const seeds = this.seeds.split(',').map(Number)
    const selected = Object.entries(WORKLOADS).filter(([name]) => this.only === '' || this.only.split(',').includes(name))
    const rows = SHAPES.flatMap(shape => selected.flatMap(([name, options]) => measure(shape, name, options, seeds)))
    this.context.stdout.write(formatTable(rows, seeds))
    mkdirSync(this.out, { recursive: true })
    writeFileSync(`${this.out}/measure.json`, JSON.stringify({ seeds, rows }, null, 2))
    writeFileSync(`${this.out}/measure.svg`, formatSvg(rows))
    return 0
  }
}

function measure (shape: DeploymentShape, name: string, options: WorkloadOptions, seeds: readonly number[]): Row[] {
  const results = Object.values(Policy).map(policy => {
    const runs = seeds.map(seed => {
      const workload = new Workload(shape, policy, options, seed)
      return { outcome: workload.run(), workload }
    })
    return MEASURES.map(([, get]) => runs.reduce((sum, run) => sum + get(run.outcome, run.workload), 0) / runs.length)
  })
  return MEASURES.map(([title], index) => ({
    deployment: shape.name,
    workload: name,
    measure: title,
    roundRobin: results[0]![index]!,
    leastOutstanding: results[1]![index]!,
    ours: results[2]![index]!
  }))
}

const cli = new Cli({ binaryName: 'measure' })
cli.register(MeasureCommand)
await cli.runExit(process.argv.slice(2))
