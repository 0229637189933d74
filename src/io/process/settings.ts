import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import {
  formatFinding, parseSettings, parseToml, type Finding, type ParsedSettings, type ReplaceableFormat
} from '../../core/config/index.js'

/** Exit code of a process whose input has findings. */
export const EXIT_FINDINGS = 2

/** Reads and checks a settings file. */
export function readSettings<T> (file: string, schema: z.ZodType<T>): Either<Finding[], T> {
  return readText(file).chain(text => parseToml(file, text, schema))
}

/** Reads and checks a settings file that is rendered from values which this process does not control. */
export function readRenderedSettings<T> (file: string, format: ReplaceableFormat<T>): Either<Finding[], ParsedSettings<T>> {
  return readText(file).chain(text => parseSettings(file, text, format))
}

function readText (file: string): Either<Finding[], string> {
  try {
    return Right(readFileSync(file, 'utf8'))
  } catch (err) {
    return Left([{ file, line: 0, key: '', problem: describeError(err), expected: 'a readable settings file' }])
  }
}

/** Reads secrets from `env:<variable>` or `file:<path>` references; paths are relative to the settings file. */
export function readSecrets (settingsFile: string, key: string, references: readonly string[]): Either<Finding[], string[]> {
  const findings: Finding[] = []
  const secrets: string[] = []
  references.forEach((reference, index) => {
    const secret = readSecret(settingsFile, reference)
    if (secret === undefined || secret === '') {
      findings.push({ file: settingsFile, line: 0, key: `${key}[${index}]`, problem: `${reference} gives no secret`, expected: 'a set variable or a readable file' })
    } else {
      secrets.push(secret)
    }
  })
  return findings.length > 0 ? Left(findings) : Right(secrets)
}

/** Gets the value, or prints the findings and exits the process. */
export function getOrExit<T> (result: Either<Finding[], T>): T {
  return result.caseOf({
    Right: value => value,
    Left: findings => {
      for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
      return process.exit(EXIT_FINDINGS)
    }
  })
}

/** Gets the message of a thrown value of any type. */
export function describeError (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

function readSecret (settingsFile: string, reference: string): string | undefined {
  const [scheme, name] = [reference.slice(0, reference.indexOf(':')), reference.slice(reference.indexOf(':') + 1)]
  if (scheme === 'env') return process.env[name]
  try {
    return readFileSync(resolve(dirname(settingsFile), name), 'utf8').trim()
  } catch {
    return undefined
  }
}
