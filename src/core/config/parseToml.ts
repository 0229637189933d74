import { Left, Right, type Either } from 'purify-ts'
import { parse, TomlError } from 'smol-toml'
import type { z } from 'zod'
import type { Finding } from './Finding.js'
import { formatPath, TomlLocator } from './TomlLocator.js'

/** Parses a TOML text and validates it against a schema; reports all findings. */
export function parseToml<T> (file: string, text: string, schema: z.ZodType<T>): Either<Finding[], T> {
  return parseText(file, text).chain(raw => {
    const result = schema.safeParse(raw)
    if (result.success) return Right(result.data)
    const locator = new TomlLocator(text)
    return Left(result.error.issues.flatMap(issue => toFindings(file, locator, issue)))
  })
}

function parseText (file: string, text: string): Either<Finding[], unknown> {
  try {
    return Right(parse(text))
  } catch (err) {
    if (!(err instanceof TomlError)) throw err
    const problem = err.message.split('\n')[0]!
    return Left([{ file, line: err.line, key: '', problem, expected: 'valid TOML' }])
  }
}

/** Gets the findings of an issue of a schema. */
export function toFindings (file: string, locator: TomlLocator, issue: z.core.$ZodIssue): Finding[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => toFinding(file, locator, [...issue.path, key], 'unknown key', 'a key named in docs/CONFIGURATION.md'))
  }
  if (issue.code === 'invalid_type') {
    const problem = issue.message.endsWith('received undefined') ? 'missing' : 'wrong type'
    return [toFinding(file, locator, issue.path, problem, issue.expected)]
  }
  return [toFinding(file, locator, issue.path, 'wrong value', issue.message)]
}

function toFinding (file: string, locator: TomlLocator, path: readonly PropertyKey[], problem: string, expected: string): Finding {
  return { file, line: locator.getLine(path), key: formatPath(path), problem, expected }
}
