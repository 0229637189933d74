import { readFileSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { JsonLocator, type ConfigDifference } from '../../core/check/index.js'
import { formatFinding, type Finding } from '../../core/config/index.js'
import { describeError } from '../process/index.js'

/** Exit codes of `check`; they do not change between versions. */
export const CheckExitCode = {
  Clean: 0,
  Findings: 1,
  /** A file can't be read, is no JSON, or an argument is invalid. */
  Unreadable: 2
} as const

/** Heap limit of a gateway in MB where none is stated, as deploy/system.toml sets it. */
const DEFAULT_HEAP_MB = 120

/** Objects and arrays that may be nested in each other; a configuration has five, and much deeper ones would overflow the call stack. */
const MAX_NESTING = 64

/** A file that can't be checked. */
class UnreadableError extends Error {}

/** Checks a configuration of the platform before it is written to the store. */
export abstract class CheckCommand extends Command {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Check a configuration of the platform; every finding is printed with file, line and key.',
    details: 'Exit code 0: no findings, 1: findings, 2: a file can\'t be read. Differences from the version in force are no findings.',
    examples: [['Check a new version', 'wisteriactl check new.json --against in-force.json']]
  })

  file = Option.String({ name: 'new' })
  against = Option.String('--against', { description: 'The configuration in force.' })
  heapMb = Option.String('--heap-mb', String(DEFAULT_HEAP_MB), { description: 'Heap limit of a gateway in MB.' })
  isJson = Option.Boolean('--json', false, { description: 'Print JSON.' })

  /** Finds what is wrong in a configuration, for gateways with a heap limit in bytes; the text is valid JSON. */
  protected abstract findProblems (text: string, heapBytes: number): Finding[]

  /** Compares a configuration with the one in force; both are values of JSON. */
  protected abstract compare (inForce: unknown, next: unknown): ConfigDifference[]

  async execute (): Promise<number> {
    try {
      return this._check()
    } catch (err) {
      this.context.stderr.write(`${describeError(err)}\n`)
      return CheckExitCode.Unreadable
    }
  }

  private _check (): number {
    const heapMb = Number(this.heapMb)
    if (!(heapMb > 0)) throw new UnreadableError('--heap-mb: expected a number above 0')
    const text = readText(this.file)
    const inForce = this.against === undefined ? undefined : readText(this.against)
    const findings = this.findProblems(text, heapMb * 1_048_576)
    const differences = inForce === undefined ? [] : this.compare(JSON.parse(inForce), JSON.parse(text))
    const lines = [
      ...findings.map(formatFinding),
      ...differences.map(({ subject, change, effect }) => `${subject} ${change}: ${effect}`),
      `${findings.length} finding(s)${inForce === undefined ? '' : `, ${differences.length} difference(s)`}`
    ]
    const output = this.isJson ? JSON.stringify({ findings, differences }, null, 2) : lines.join('\n')
    this.context.stdout.write(`${output}\n`)
    return findings.length === 0 ? CheckExitCode.Clean : CheckExitCode.Findings
  }
}

/** Reads a file that contains JSON. */
function readText (file: string): string {
  try {
    const text = readFileSync(file, 'utf8')
    JSON.parse(text)
    if (new JsonLocator(text).getDepth() > MAX_NESTING) throw new UnreadableError(`more than ${MAX_NESTING} nested objects and arrays`)
    return text
  } catch (err) {
    throw new UnreadableError(`${file}: ${describeError(err)}`)
  }
}
