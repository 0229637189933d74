import { randomBytes, randomUUID } from 'node:crypto'
import { Command, Option } from 'clipanion'
import {
  ConfigChange, Configuration, diffDocuments, formatDifference, hashKey, parseDocuments,
  type ConfigRow, type Difference, type Documents, type Finding
} from '../../core/config/index.js'
import { applyChange } from './applyChange.js'
import { ConnectedCommand, CtlCommand, ExitCode } from './CtlCommand.js'

const EMPTY: Documents = { regions: [], services: [], programs: [], workspaces: [] }

/** Validates documents and prints their findings. */
export class ValidateCommand extends CtlCommand {
  static override paths = [['validate']]
  static override usage = Command.Usage({
    description: 'Check documents; every finding is printed with file, line and key.',
    examples: [['Check a folder', 'wisteriactl validate examples/workshop']]
  })

  files = Option.Rest({ required: 1, name: 'files' })

  async execute (): Promise<number> {
    return this.check(this.files).caseOf({
      Left: findings => this.reportFindings(findings),
      Right: ({ texts }) => {
        this.print({ findings: [], files: Object.keys(texts) }, [`${Object.keys(texts).length} file(s), no findings`])
        return ExitCode.Done
      }
    })
  }
}

/** Compares documents with the configuration in force. */
export class DiffCommand extends ConnectedCommand {
  static override paths = [['diff']]
  static override usage = Command.Usage({
    description: 'Compare documents with the configuration in force.',
    examples: [['Compare a folder', 'wisteriactl diff examples/workshop']]
  })

  files = Option.Rest({ required: 1, name: 'files' })

  async execute (): Promise<number> {
    const checked = this.check(this.files)
    if (checked.isLeft()) return this.reportFindings(checked.extract() as Finding[])
    const current = await this.readCurrent()
    const differences = diffFrom(current, checked.unsafeCoerce().documents)
    this.print({ baseVersion: current?.version ?? 0, differences }, [`base version ${current?.version ?? 0}`, ...differences.map(formatDifference)])
    return ExitCode.Done
  }
}

/** Replaces the configuration in force with documents. */
export class ApplyCommand extends ConnectedCommand {
  static override paths = [['apply']]
  static override usage = Command.Usage({
    description: 'Apply documents as a whole, in place of the configuration in force.',
    details: 'The base version is the one that `diff` printed. If another operator was faster, nothing is changed and the exit code is 3.',
    examples: [['Apply the first configuration', 'wisteriactl apply --base-version 0 examples/workshop']]
  })

  baseVersion = Option.String('--base-version', { required: true, description: 'Version that the change builds on.' })
  files = Option.Rest({ required: 1, name: 'files' })

  async execute (): Promise<number> {
    const checked = this.check(this.files)
    if (checked.isLeft()) return this.reportFindings(checked.extract() as Finding[])
    if (!/^\d+$/.test(this.baseVersion)) {
      return this.reportFindings([{ file: '--base-version', line: 0, key: '', problem: `"${this.baseVersion}"`, expected: 'a whole number' }])
    }
    const { texts, documents } = checked.unsafeCoerce()
    const { operator } = this.getSettings()
    const change = new ConfigChange({ applyId: randomUUID(), baseVersion: Number(this.baseVersion), texts, operator })
    const outcome = await applyChange(this.createTable(), change)
    if (outcome === undefined) {
      this.print({ outcome: 'unknown' }, ['The store did not answer; the outcome is unknown. Run `wisteriactl diff` when it is back.'])
      return ExitCode.Failed
    }
    return outcome.caseOf<number>({
      Left: ({ current }) => this._reportConflict(current, documents),
      Right: ({ version }) => {
        this.print({ outcome: 'applied', version }, [`applied as version ${version}`])
        return ExitCode.Done
      }
    })
  }

  private _reportConflict (current: ConfigRow | undefined, documents: Documents): number {
    const differences = diffFrom(current, documents)
    this.print({ outcome: 'conflict', current: current?.version ?? 0, by: current?.operator, differences }, [
      `not applied: version ${current?.version ?? 0} by ${current?.operator ?? 'nobody'} is in force, not ${this.baseVersion}`,
      ...differences.map(formatDifference)
    ])
    return ExitCode.Conflict
  }
}

/** Generates a key for a workspace and prints it with its salted hash. */
export class HashKeyCommand extends CtlCommand {
  static override paths = [['hash-key']]
  static override usage = Command.Usage({
    description: 'Make a new key for a workspace and print it with its salted hash.',
    examples: [['Make a key', 'wisteriactl hash-key werkstatt']]
  })

  workspace = Option.String({ name: 'workspace' })

  async execute (): Promise<number> {
    const key = `${this.workspace}.${randomBytes(24).toString('base64url')}`
    const hash = hashKey(key)
    this.print({ key, hash }, [`key:  ${key}`, `hash: ${hash}`])
    return ExitCode.Done
  }
}

function diffFrom (current: ConfigRow | undefined, documents: Documents): Difference[] {
  const before = current === undefined ? EMPTY : Configuration.parse(current).chain(() => parseDocuments(current.texts)).orDefault(EMPTY)
  return diffDocuments(before, documents)
}
