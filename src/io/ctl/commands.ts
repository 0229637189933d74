import { randomBytes, randomUUID } from 'node:crypto'
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Command, Option } from 'clipanion'
import type { Either } from 'purify-ts'
import {
  ConfigChange, CONFIG_KEY, Configuration, CTL_SETTINGS, diffDocuments, formatDifference, formatFinding, hashKey, parseDocuments,
  type ConfigRow, type CtlSettings, type Difference, type Documents, type DocumentTexts, type Finding
} from '../../core/config/index.js'
import { formatRequest, formatSessionExplanation, type SessionExplanation } from '../../core/explain/index.js'
import type { EntryStatus, OperatorRouter } from '../entry/index.js'
import { HttpTable, PlatformHttp } from '../platform/index.js'
import { describeError, EXIT_FINDINGS, getOrExit, readSecrets, readSettings } from '../process/index.js'
import { applyChange } from './applyChange.js'
import { readDocuments } from './documentsOnDisk.js'

/** Exit codes of wisteriactl; they do not change between versions. */
export const ExitCode = {
  Done: 0,
  /** The system could not be reached, or the outcome is unknown. */
  Failed: 1,
  /** The input has findings. */
  Findings: EXIT_FINDINGS,
  /** Another change was accepted first. */
  Conflict: 3,
  /** There is no such session, request or instance. */
  NotFound: 4
} as const

/** Milliseconds for one request of wisteriactl to the table. */
const TABLE_TIMEOUT_MS = 3_000

const EMPTY: Documents = { regions: [], services: [], programs: [], workspaces: [] }

/** Base of all commands: output as text or JSON. */
abstract class CtlCommand extends Command {
  isJson = Option.Boolean('--json', false, { description: 'Print JSON.' })

  protected print (value: unknown, lines: readonly string[]): void {
    const text = this.isJson ? JSON.stringify(value, null, 2) : lines.join('\n')
    if (text !== '') this.context.stdout.write(`${text}\n`)
  }

  protected reportFindings (findings: readonly Finding[]): number {
    this.print({ findings }, findings.map(formatFinding))
    return ExitCode.Findings
  }

  protected check (paths: readonly string[]): Either<Finding[], { texts: DocumentTexts, documents: Documents }> {
    return readDocuments(paths).chain(texts => parseDocuments(texts).map(documents => ({ texts, documents })))
  }
}

/** Base of the commands that reach the system. */
abstract class ConnectedCommand extends CtlCommand {
  settingsFile = Option.String('--settings', 'wisteriactl.toml', { description: 'Settings file.' })

  protected getSettings (): CtlSettings {
    return getOrExit(readSettings(this.settingsFile, CTL_SETTINGS))
  }

  protected createTable (): HttpTable {
    return new HttpTable(new PlatformHttp({ baseUrl: this.getSettings().table, timeoutMs: TABLE_TIMEOUT_MS }))
  }

  protected async readCurrent (): Promise<ConfigRow | undefined> {
    const rows = await this.createTable().read([CONFIG_KEY])
    return rows.get(CONFIG_KEY)?.value as ConfigRow | undefined
  }

  /** Asks the entries in turn until one answers. */
  protected async askEntry<T> (ask: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T> {
    const settings = this.getSettings()
    const [key] = getOrExit(readSecrets(this.settingsFile, 'operator_key', [settings.operatorKey]))
    const causes: string[] = []
    for (const entry of settings.entries) {
      try {
        return await ask(createTRPCClient<OperatorRouter>({
          links: [httpLink({ url: `${entry}/trpc`, headers: { authorization: `Bearer ${key!}` } })]
        }))
      } catch (err) {
        causes.push(`${entry}: ${describeError(err)}`)
      }
    }
    throw new Error(`No entry answered. ${causes.join('; ')}`)
  }

  protected async askAllEntries<T> (ask: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T[]> {
    const settings = this.getSettings()
    const [key] = getOrExit(readSecrets(this.settingsFile, 'operator_key', [settings.operatorKey]))
    const headers = { authorization: `Bearer ${key!}` }
    const asked = settings.entries.map(async entry =>
      await ask(createTRPCClient<OperatorRouter>({ links: [httpLink({ url: `${entry}/trpc`, headers })] })))
    return (await Promise.allSettled(asked)).flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
  }

  override async catch (err: unknown): Promise<void> {
    this.context.stderr.write(`${describeError(err)}\n`)
    process.exitCode = ExitCode.Failed
  }
}

/** Checks documents. */
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

/** Applies documents as a whole. */
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

/** Shows entries and targets. */
export class StatusCommand extends ConnectedCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({ description: 'Show each entry and the targets that it sees.', examples: [['Show the fleet', 'wisteriactl status']] })

  async execute (): Promise<number> {
    const statuses = await this.askAllEntries(async client => await client.status.query())
    this.print(statuses, statuses.flatMap(formatStatus))
    return statuses.length > 0 ? ExitCode.Done : ExitCode.Failed
  }
}

/** Explains a session. */
export class ExplainSessionCommand extends ConnectedCommand {
  static override paths = [['explain', 'session']]
  static override usage = Command.Usage({
    description: 'Explain what a session did, call by call: waits, retries, refusals and their causes.',
    examples: [['Explain a session', 'wisteriactl explain session 01KDE...']]
  })

  session = Option.String({ name: 'session' })

  async execute (): Promise<number> {
    const found = await this.askEntry(async client => await client.explainSession.query(this.session)) as SessionExplanation | null
    if (found === null) return this._reportMissing()
    // Requests that left no turn are remembered by the entry that refused them.
    const others = await this.askAllEntries(async client =>
      await client.explainSession.query(this.session) as SessionExplanation | null)
    const refused = new Map(others.flatMap(other => other?.refused ?? []).map(record => [record.id, record]))
    const explanation = { ...found, refused: [...refused.values()] }
    this.print(explanation, formatSessionExplanation(explanation))
    return ExitCode.Done
  }

  private _reportMissing (): number {
    this.print(null, [`no session ${this.session}`])
    return ExitCode.NotFound
  }
}

/** Explains a request. */
export class ExplainRequestCommand extends ConnectedCommand {
  static override paths = [['explain', 'request']]
  static override usage = Command.Usage({
    description: 'Explain one of the latest requests, by the id in its `wisteria-request-id` header.',
    examples: [['Explain a request', 'wisteriactl explain request 01KDE...']]
  })

  request = Option.String({ name: 'request' })

  async execute (): Promise<number> {
    const answers = await this.askAllEntries(async client => await client.explainRequest.query(this.request))
    const record = answers.find(answer => answer !== null)
    if (record === undefined || record === null) {
      this.print(null, [`no request ${this.request} in the memory of the entries`])
      return ExitCode.NotFound
    }
    this.print(record, formatRequest(record))
    return ExitCode.Done
  }
}

/** Makes a target leave. */
export class DrainCommand extends ConnectedCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    description: 'Let a target finish its work and give it no more.',
    examples: [['Drain an instance', 'wisteriactl drain ratgeber-3']]
  })

  instance = Option.String({ name: 'instance' })

  async execute (): Promise<number> {
    const isKnown = await this.askEntry(async client => await client.drain.mutate(this.instance))
    this.print({ instance: this.instance, isKnown }, [isKnown ? `${this.instance} is leaving` : `no instance ${this.instance}`])
    return isKnown ? ExitCode.Done : ExitCode.NotFound
  }
}

/** Makes the salted hash of a workspace's key. */
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

function formatStatus (status: EntryStatus): string[] {
  return [
    `entry ${status.entry} (${status.region}/${status.failureDomain}): configuration ${status.configVersion}, ` +
      `confirmed ${Math.round(status.configAgeMs / 1000)} s ago, ${status.inProgress} in progress`,
    ...status.targets.map(target => `  ${target.id.padEnd(24)} ${target.service.padEnd(16)} ${target.failureDomain.padEnd(14)} ` +
      `${target.state.padEnd(8)} running ${target.running}, queued ${target.queued}, configuration ${target.configVersion}`)
  ]
}
