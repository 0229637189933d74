import { readFileSync, statSync } from 'node:fs'
import { Command, Option } from 'clipanion'
import { checkToml, JsonLocator, type ConfigDifference } from '../../core/check/index.js'
import { formatFinding, type DocumentTexts, type Finding } from '../../core/config/index.js'
import { describeError } from '../process/index.js'
import { listFiles } from './documentsOnDisk.js'

/** Exit codes of `check`; they do not change between versions. */
export const CheckExitCode = {
  Clean: 0,
  Findings: 1,
  /** A file can't be read, is neither JSON nor TOML, or an argument is invalid. */
  Unreadable: 2
} as const

/** Heap limit of a gateway in MB where none is stated, as deploy/system.toml sets it. */
const DEFAULT_HEAP_MB = 120

/** Objects and arrays that may be nested in each other; a configuration has five, and much deeper ones would overflow the call stack. */
const MAX_NESTING = 64

/** A file that can't be checked. */
class UnreadableError extends Error {}

/** What a check has found. */
interface CheckResult {
  readonly findings: readonly Finding[]
  /** Undefined if the version in force was not compared. */
  readonly differences: readonly ConfigDifference[] | undefined
}

/** Checks a configuration of the platform (JSON), documents or the settings of a gateway (TOML) before they are in force. */
export abstract class CheckCommand extends Command {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Check a configuration of the platform, documents, or the settings of a gateway; every finding is printed with file, line and key.',
    details: 'A folder or a file `.toml` holds documents or the settings of a gateway, another file JSON of the platform. ' +
      'With --fields, a template of settings is rendered first. Exit code 0: no findings, 1: findings, 2: a file can\'t be read. Differences from the version in force are no findings.',
    examples: [
      ['Check a new version', 'wisteriactl check new.json --against in-force.json'],
      ['Check documents', 'wisteriactl check examples/workshop'],
      ['Check what gateways would start with', 'wisteriactl check deploy/settings.toml --fields local.json']
    ]
  })

  file = Option.String({ name: 'new' })
  others = Option.Rest({ name: 'documents' })
  against = Option.String('--against', { description: 'The configuration in force.' })
  fields = Option.String('--fields', { description: 'Fields of the platform (JSON) with which a template of settings is rendered.' })
  heapMb = Option.String('--heap-mb', String(DEFAULT_HEAP_MB), { description: 'Heap limit of a gateway in MB.' })
  isJson = Option.Boolean('--json', false, { description: 'Print JSON.' })

  /** Finds what is wrong in a configuration, for gateways with a heap limit in bytes; the text is valid JSON. */
  protected abstract findProblems (text: string, heapBytes: number): Finding[]

  /** Compares a configuration with the one in force; both are values of JSON. */
  protected abstract compare (inForce: unknown, next: unknown): ConfigDifference[]

  /** Renders a template of settings with fields of the platform, the text of a JSON file. */
  protected abstract render (template: string, fields: string): string

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
    const heapBytes = heapMb * 1_048_576
    if (this.fields !== undefined && (!isToml(this.file) || this.others.length > 0)) throw new UnreadableError('--fields: expected one template of settings')
    const { findings, differences } = isToml(this.file) ? this._checkToml(heapBytes) : this._checkJson(heapBytes)
    // Without a version in force JSON has always had an empty list.
    const isCompared = differences !== undefined || this.against === undefined
    const lines = [
      ...findings.map(formatFinding),
      ...(differences ?? []).map(({ subject, change, effect }) => `${subject} ${change}: ${effect}`),
      `${findings.length} finding(s)${this.against === undefined ? '' : differences === undefined ? ', not compared' : `, ${differences.length} difference(s)`}`
    ]
    const value = { findings, differences: differences ?? [], ...(isCompared ? {} : { isCompared }) }
    this.context.stdout.write(`${this.isJson ? JSON.stringify(value, null, 2) : lines.join('\n')}\n`)
    return findings.length === 0 ? CheckExitCode.Clean : CheckExitCode.Findings
  }

  private _checkJson (heapBytes: number): CheckResult {
    if (this.others.length > 0) throw new UnreadableError(`${this.others.join(' ')}: only documents may be several files`)
    const text = readText(this.file)
    const inForce = this.against === undefined ? undefined : readText(this.against)
    const findings = this.findProblems(text, heapBytes)
    return { findings, differences: inForce === undefined ? undefined : this.compare(JSON.parse(inForce), JSON.parse(text)) }
  }

  private _checkToml (heapBytes: number): CheckResult {
    const inForce = this.against === undefined ? undefined : readToml([this.against])
    const texts = readToml([this.file, ...this.others])
    return checkToml({ texts: this.fields === undefined ? texts : this._renderAll(texts, this.fields), inForce, heapBytes })
  }

  private _renderAll (templates: DocumentTexts, fieldsFile: string): DocumentTexts {
    const fields = readText(fieldsFile)
    // Lines of findings are those of the rendered text.
    return Object.fromEntries(Object.entries(templates).map(([file, template]) => [`${file} (rendered)`, this.render(template, fields)]))
  }
}

/** Checks whether a path leads to TOML: to a folder, or to a file with the extension. */
function isToml (path: string): boolean {
  return path.endsWith('.toml') || statSync(path, { throwIfNoEntry: false })?.isDirectory() === true
}

/** Reads files and the `.toml` files of folders. */
function readToml (paths: readonly string[]): DocumentTexts {
  return Object.fromEntries(paths.flatMap(path => {
    try {
      const files = listFiles(path)
      if (files.length === 0) throw new UnreadableError('no .toml file')
      return files.map(file => [file, readFileSync(file, 'utf8')] as const)
    } catch (err) {
      throw new UnreadableError(`${path}: ${describeError(err)}`)
    }
  }))
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
