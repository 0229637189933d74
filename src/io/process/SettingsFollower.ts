import { readFile } from 'node:fs/promises'
import { periodic } from 'most'
import type { z } from 'zod'
import { formatFinding, parseToml } from '../../core/config/index.js'
import { describeError } from './settings.js'
import type { DecisionLog } from './DecisionLog.js'

/** Milliseconds between two looks at the file; it may change without a signal. */
const CHECK_MS = 2_000

/** Options of {@link SettingsFollower}. */
export interface SettingsFollowerOptions<T> {
  readonly file: string
  readonly schema: z.ZodType<T>
  readonly log: DecisionLog
  /** Takes settings that differ from those before. */
  readonly onChange: (settings: T) => void
}

/** Follows a settings file: by a signal, and by looking now and then. Settings with findings are reported and not taken. */
export class SettingsFollower<T> {
  private readonly _options: SettingsFollowerOptions<T>
  private _text: string | undefined

  constructor (options: SettingsFollowerOptions<T>) {
    this._options = options
  }

  /** Starts to look. */
  start (): void {
    void this.check()
    void periodic(CHECK_MS).observe(() => { void this.check() })
  }

  /** Looks once. */
  async check (): Promise<void> {
    const { file, schema, log, onChange } = this._options
    let text: string
    try {
      text = await readFile(file, 'utf8')
    } catch (err) {
      log.warn('settings-unreadable', { file, cause: describeError(err) })
      return
    }
    const isFirst = this._text === undefined
    if (text === this._text) return
    this._text = text
    if (isFirst) return
    parseToml(file, text, schema).caseOf({
      Left: findings => { log.warn('settings-rejected', { file, findings: findings.map(formatFinding) }) },
      Right: onChange
    })
  }
}
