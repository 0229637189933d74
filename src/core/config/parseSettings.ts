import { Left, Right, type Either } from 'purify-ts'
import { parse, TomlError } from 'smol-toml'
import { decodeReplacing, replaceAt, type RawTable, type ReplaceableFormat } from './decodeReplacing.js'
import type { Finding } from './Finding.js'
import { toFindings } from './parseToml.js'
import { TomlLocator } from './TomlLocator.js'

/** Settings that a process can use, and what could not be used of their file. */
export interface ParsedSettings<T> {
  readonly settings: T
  /** Findings at keys with another value than the file states. */
  readonly replaced: readonly Finding[]
  /** The tables with the values in use. */
  readonly raw: RawTable
}

/** Largest number of lines that are left out of a file. */
const MAX_OMITTED = 100

/** Key and value of a line; a value may be missing. */
const KEY_AND_VALUE = /^\s*([^=[#]+?)\s*=\s*(.*?)\s*$/

/** Header of a table, which a rendered file may repeat. */
const TABLE_HEADER = /^\s*\[([^[\]]+)\]/

/** Comment at the end of a line, which names the source of a rendered value. */
const COMMENT = /\s*#\s*([^"'#]+)$/

/** Texts of a value that is missing where the file was rendered. */
const MISSING_VALUES: ReadonlySet<string> = new Set(['', 'null'])

/**
 * Parses and validates settings, of which some values may be unusable; reports all findings if the process can't start with them.
 *
 * A value that is no TOML is left out with its line. Where a value has to be replaced, that of `former` goes before the default.
 *
 * @param former - Tables of the settings in force.
 */
export function parseSettings<T> (
  file: string, text: string, format: ReplaceableFormat<T>, former: RawTable = {}
): Either<Finding[], ParsedSettings<T>> {
  return new SettingsParser(file, text, format, former).parse()
}

/** Reads the tables of a settings file without the lines that are no TOML; Left if it has other errors. */
export function readSettingsTables (file: string, text: string): Either<Finding[], RawTable> {
  return new TableReader(file, text).read()
}

class SettingsParser<T> {
  private readonly _file: string
  private readonly _format: ReplaceableFormat<T>
  private readonly _former: RawTable
  private readonly _reader: TableReader
  private readonly _locator: TomlLocator

  constructor (file: string, text: string, format: ReplaceableFormat<T>, former: RawTable) {
    this._file = file
    this._format = format
    this._former = former
    this._reader = new TableReader(file, text)
    this._locator = new TomlLocator(text)
  }

  parse (): Either<Finding[], ParsedSettings<T>> {
    return this._reader.read().chain(raw => this._validate(raw))
  }

  private _validate (raw: RawTable): Either<Finding[], ParsedSettings<T>> {
    const { omitted } = this._reader
    const isReplaceable = omitted.map(({ key }) => replaceAt(raw, key.split('.'), this._format, this._former))
    const { value, errors, replaced } = decodeReplacing(raw, this._format, this._former)
    const findings = this._withoutOmitted([...errors, ...replaced].flatMap(issue => toFindings(this._file, this._locator, issue)))
    const sorted = [...omitted, ...findings.map(finding => this._reader.addSource(finding))].sort((a, b) => a.line - b.line)
    if (value === undefined || isReplaceable.includes(false)) return Left(sorted)
    return Right({ settings: value.data, replaced: sorted, raw })
  }

  /** Leaves out findings at keys whose line was left out, as that is what is wrong with them. */
  private _withoutOmitted (findings: readonly Finding[]): Finding[] {
    const isCovered = ({ key }: Finding): boolean => this._reader.omitted.some(other => other.key === key || other.key.startsWith(`${key}.`))
    return findings.filter(finding => !isCovered(finding))
  }
}

/** Reads TOML line by line as far as that is needed to leave out values that are none. */
class TableReader {
  /** Findings of the lines that were left out. */
  readonly omitted: Finding[] = []
  private readonly _file: string
  private readonly _lines: string[]
  private readonly _locator: TomlLocator

  constructor (file: string, text: string) {
    this._file = file
    this._lines = text.split('\n')
    this._locator = new TomlLocator(text)
  }

  read (): Either<Finding[], RawTable> {
    const lines = [...this._lines]
    for (;;) {
      try {
        return Right(parse(lines.join('\n')))
      } catch (err) {
        if (!(err instanceof TomlError)) throw err
        const problem = err.message.split('\n')[0]!
        const omitted = this._findOmittable(err.line, problem)
        if (omitted === undefined || this.omitted.length === MAX_OMITTED) {
          return Left([...this.omitted, { file: this._file, line: err.line, key: '', problem, expected: 'valid TOML' }])
        }
        this.omitted.push(this.addSource(omitted))
        lines[err.line - 1] = ''
      }
    }
  }

  /** Adds what the comment of its line says of the source of a value. */
  addSource (finding: Finding): Finding {
    const source = COMMENT.exec(this._lines[finding.line - 1] ?? '')?.[1]!.trim()
    return source === undefined ? finding : { ...finding, source }
  }

  /** Gets what is wrong with a line that can be left out: one with a key, or the header of a table that occurs before. */
  private _findOmittable (line: number, problem: string): Finding | undefined {
    const text = this._lines[line - 1] ?? ''
    const header = TABLE_HEADER.exec(text)?.[1]
    if (header !== undefined) {
      const isRepeated = this._lines.slice(0, line - 1).some(earlier => TABLE_HEADER.exec(earlier)?.[1] === header)
      return isRepeated ? { file: this._file, line, key: header, problem, expected: 'a table once' } : undefined
    }
    const match = KEY_AND_VALUE.exec(text)
    if (match === null) return undefined
    const [, name, rest] = match as unknown as [string, string, string]
    const table = this._locator.getTable(line)
    const isMissing = MISSING_VALUES.has(rest.replace(COMMENT, '').trim())
    const key = table === '' ? name : `${table}.${name}`
    return { file: this._file, line, key, problem: isMissing ? 'no value' : problem, expected: 'a value' }
  }
}
