import { readFile } from 'node:fs/promises'
import { isDeepStrictEqual } from 'node:util'
import { periodic } from 'most'
import { formatFinding, parseSettings, type ParsedSettings, type ReplaceableFormat } from '../../core/config/index.js'
import { describeError } from './settings.js'
import type { DecisionLog } from './DecisionLog.js'

/** Milliseconds between two checks of the file; it may change without a signal. */
const CHECK_INTERVAL_MS = 2_000

/** Checks in a row that find the file empty until it counts as rejected; before, it may still be written. */
const EMPTY_CHECKS = 2

/** What a check of the file has found. */
export const SettingsCheckResult = {
  /** The same text as before. */
  Unchanged: 'unchanged',
  /** Settings that are in force from now on, or were before. */
  Accepted: 'accepted',
  /** A process would not start with the file. */
  Rejected: 'rejected',
  Unreadable: 'unreadable'
} as const
export type SettingsCheckResult = typeof SettingsCheckResult[keyof typeof SettingsCheckResult]

/** State of the settings file after a check. */
export interface SettingsState {
  readonly result: SettingsCheckResult
  /** True if a process would start with the file. */
  readonly isUsable: boolean
  /** Keys of the file whose values can't be used, although a process starts. */
  readonly replacedKeys: number
}

/** Options of {@link SettingsFollower}. */
export interface SettingsFollowerOptions<T> {
  readonly file: string
  /** Settings that the process started with. */
  readonly initial: ParsedSettings<T>
  readonly format: ReplaceableFormat<T>
  readonly log: Pick<DecisionLog, 'warn'>
  /** Called with settings that differ from the previous ones. */
  readonly onChange: (settings: T) => void
  /** Called after each check. */
  readonly onCheck?: (state: SettingsState) => void
  /** Reads the file; tests pass their own function. */
  readonly read?: (file: string) => Promise<string>
}

/**
 * Reloads a settings file when it changes, by polling and on a signal.
 *
 * Settings with which a process would not start are reported and not applied. Where a single value can't be used, the one in force is kept.
 */
export class SettingsFollower<T> {
  private readonly _options: SettingsFollowerOptions<T>
  /** Text of the latest read. */
  private _text: string | undefined
  private _current: ParsedSettings<T>
  /** State of the text of the latest read. */
  private _isUsable = true
  private _replacedKeys: number
  private _emptyChecks = 0
  private _check: Promise<void> | undefined

  constructor (options: SettingsFollowerOptions<T>) {
    this._options = options
    this._current = options.initial
    this._replacedKeys = options.initial.replaced.length
  }

  /** Starts to poll. */
  start (): void {
    void periodic(CHECK_INTERVAL_MS).observe(() => { void this.check() })
  }

  /** Checks the file once; a check in progress is awaited instead. */
  async check (): Promise<void> {
    this._check ??= this._checkOnce().finally(() => { this._check = undefined })
    await this._check
  }

  private async _checkOnce (): Promise<void> {
    const text = await this._read()
    if (text === undefined) this._report(SettingsCheckResult.Unreadable, false)
    else this._report(this._checkText(text), this._isUsable)
  }

  private _checkText (text: string): SettingsCheckResult {
    this._emptyChecks = text === '' ? this._emptyChecks + 1 : 0
    const isBeingWritten = text === '' && this._emptyChecks < EMPTY_CHECKS
    if (isBeingWritten || text === this._text) return SettingsCheckResult.Unchanged
    this._text = text
    return this._apply(text)
  }

  private _report (result: SettingsCheckResult, isUsable: boolean): void {
    this._options.onCheck?.({ result, isUsable, replacedKeys: this._replacedKeys })
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

  private _apply (text: string): SettingsCheckResult {
    const { file, format, log, onChange } = this._options
    return parseSettings(file, text, format, this._current.raw).caseOf({
      Left: findings => {
        this._isUsable = false
        log.warn('settings-rejected', { file, findings: findings.map(formatFinding) })
        return SettingsCheckResult.Rejected
      },
      Right: parsed => {
        const { settings, replaced } = parsed
        this._isUsable = true
        this._replacedKeys = replaced.length
        // What the process started with was reported at its start.
        if (replaced.length > 0 && !isDeepStrictEqual(replaced, this._current.replaced)) {
          log.warn('settings-kept', { file, findings: replaced.map(formatFinding) })
        }
        const isChanged = !isDeepStrictEqual(settings, this._current.settings)
        this._current = parsed
        if (isChanged) onChange(settings)
        return SettingsCheckResult.Accepted
      }
    })
  }
}
