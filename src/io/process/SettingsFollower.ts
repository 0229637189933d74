import { readFile } from 'node:fs/promises'
import { isDeepStrictEqual } from 'node:util'
import { periodic } from 'most'
import type { z } from 'zod'
import { formatFinding, parseToml } from '../../core/config/index.js'
import { describeError } from './settings.js'
import type { DecisionLog } from './DecisionLog.js'

/** Milliseconds between two checks of the file; it may change without a signal. */
const CHECK_INTERVAL_MS = 2_000

/** Options of {@link SettingsFollower}. */
export interface SettingsFollowerOptions<T> {
  readonly file: string
  /** Settings that the process started with. */
  readonly initial: T
  readonly schema: z.ZodType<T>
  readonly log: Pick<DecisionLog, 'warn'>
  /** Called with settings that differ from the previous ones. */
  readonly onChange: (settings: T) => void
  /** Reads the file; tests pass their own function. */
  readonly read?: (file: string) => Promise<string>
}

/** Reloads a settings file when it changes, by polling and on a signal. Settings with findings are reported and not applied. */
export class SettingsFollower<T> {
  private readonly _options: SettingsFollowerOptions<T>
  /** Text of the latest read. */
  private _text: string | undefined
  private _settings: T
  private _isReading = false

  constructor (options: SettingsFollowerOptions<T>) {
    this._options = options
    this._settings = options.initial
  }

  /** Starts to poll. */
  start (): void {
    void periodic(CHECK_INTERVAL_MS).observe(() => { void this.check() })
  }

  /** Checks the file once, unless a check is in progress. */
  async check (): Promise<void> {
    if (this._isReading) return
    this._isReading = true
    const text = await this._read()
    this._isReading = false
    // An empty file is still being written; the next check reads it completely.
    if (text === undefined || text === '' || text === this._text) return
    this._text = text
    this._apply(text)
  }

  private async _read (): Promise<string | undefined> {
    const { file, log, read = async (name: string) => await readFile(name, 'utf8') } = this._options
    try {
      return await read(file)
    } catch (err) {
      log.warn('settings-unreadable', { file, cause: describeError(err) })
      return undefined
    }
  }

  private _apply (text: string): void {
    const { file, schema, log, onChange } = this._options
    parseToml(file, text, schema).caseOf({
      Left: findings => { log.warn('settings-rejected', { file, findings: findings.map(formatFinding) }) },
      Right: settings => {
        if (isDeepStrictEqual(settings, this._settings)) return
        this._settings = settings
        onChange(settings)
      }
    })
  }
}
