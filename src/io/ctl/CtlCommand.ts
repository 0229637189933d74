import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { Command, Option } from 'clipanion'
import type { Either } from 'purify-ts'
import {
  CONFIG_KEY, CTL_SETTINGS, formatFinding, parseDocuments,
  type ConfigRow, type CtlSettings, type Documents, type DocumentTexts, type Finding
} from '../../core/config/index.js'
import type { OperatorRouter } from '../entry/index.js'
import { HttpTable, PlatformHttp } from '../platform/index.js'
import { describeError, EXIT_FINDINGS, getOrExit, readSecrets, readSettings } from '../process/index.js'
import { readDocuments } from './documentsOnDisk.js'

/** Exit codes of wisteriactl; they do not change between versions. */
export const ExitCode = {
  Done: 0,
  /** The system is unreachable, no file can be read, or the outcome is unknown. */
  Failed: 1,
  /** The input has findings. */
  Findings: EXIT_FINDINGS,
  /** Another change was accepted first. */
  Conflict: 3,
  /** The session, request or instance does not exist. */
  NotFound: 4
} as const

/** Time-out of one request to the table, in milliseconds. */
const TABLE_TIMEOUT_MS = 3_000

/** Base of all commands; prints text or JSON. */
export abstract class CtlCommand extends Command {
  isJson = Option.Boolean('--json', false, { description: 'Print JSON.' })

  protected print (value: unknown, lines: readonly string[]): void {
    const text = this.isJson ? JSON.stringify(value, null, 2) : lines.join('\n')
    if (text !== '') this.context.stdout.write(`${text}\n`)
  }

  protected reportFindings (findings: readonly Finding[]): number {
    this.print({ findings }, findings.map(formatFinding))
    return ExitCode.Findings
  }

  /** Runs the command; an error is printed and gives {@link ExitCode.Failed}. After clipanion's hook `catch` the exit code would be 0. */
  override async validateAndExecute (): Promise<number> {
    try {
      return await super.validateAndExecute()
    } catch (err) {
      this.context.stderr.write(`${describeError(err)}\n`)
      return ExitCode.Failed
    }
  }

  protected check (paths: readonly string[]): Either<Finding[], { texts: DocumentTexts, documents: Documents }> {
    return readDocuments(paths).chain(texts => parseDocuments(texts).map(documents => ({ texts, documents })))
  }
}

/** Base of the commands that connect to the table or to entries. */
export abstract class ConnectedCommand extends CtlCommand {
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

  /** Calls the entries in turn and returns the first response. */
  protected async callEntry<T> (call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T> {
    const settings = this.getSettings()
    const [key] = getOrExit(readSecrets(this.settingsFile, 'operator_key', [settings.operatorKey]))
    const causes: string[] = []
    for (const entry of settings.entries) {
      try {
        return await call(createTRPCClient<OperatorRouter>({
          links: [httpLink({ url: `${entry}/trpc`, headers: { authorization: `Bearer ${key!}` } })]
        }))
      } catch (err) {
        causes.push(`${entry}: ${describeError(err)}`)
      }
    }
    throw new Error(`No entry answered. ${causes.join('; ')}`)
  }

  /** Calls all entries and returns the responses of those that succeeded; rejects if none did. */
  protected async callAllEntries<T> (call: (client: TRPCClient<OperatorRouter>) => Promise<T>): Promise<T[]> {
    const settings = this.getSettings()
    const [key] = getOrExit(readSecrets(this.settingsFile, 'operator_key', [settings.operatorKey]))
    const headers = { authorization: `Bearer ${key!}` }
    const results = await Promise.allSettled(settings.entries.map(async entry =>
      await call(createTRPCClient<OperatorRouter>({ links: [httpLink({ url: `${entry}/trpc`, headers })] }))))
    const responses = results.flatMap(result => result.status === 'fulfilled' ? [result.value] : [])
    if (responses.length > 0) return responses
    const causes = results.flatMap((result, at) => result.status === 'rejected' ? [`${settings.entries[at]!}: ${describeError(result.reason)}`] : [])
    throw new Error(`No entry answered. ${causes.join('; ')}`)
  }
}
