import { readdirSync, readFileSync, statSync } from 'node:fs'
import { basename, join } from 'node:path'
import { Left, Right, type Either } from 'purify-ts'
import type { DocumentTexts, Finding } from '../../core/config/index.js'
import { describeError } from '../process/index.js'

/** Reads documents from files and from the `.toml` files of folders. */
export function readDocuments (paths: readonly string[]): Either<Finding[], DocumentTexts> {
  const texts: Record<string, string> = {}
  const findings: Finding[] = []
  for (const path of paths) {
    try {
      for (const file of listFiles(path)) texts[basename(file)] = readFileSync(file, 'utf8')
    } catch (err) {
      findings.push({ file: path, line: 0, key: '', problem: describeError(err), expected: 'a readable file or folder' })
    }
  }
  if (findings.length === 0 && Object.keys(texts).length === 0) {
    findings.push({ file: paths.join(' '), line: 0, key: '', problem: 'no documents', expected: 'at least one .toml file' })
  }
  return findings.length > 0 ? Left(findings) : Right(texts)
}

/** Lists the `.toml` files of a folder by name; a path that is no folder is listed as it is. */
export function listFiles (path: string): string[] {
  if (!statSync(path).isDirectory()) return [path]
  return readdirSync(path).filter(name => name.endsWith('.toml')).sort().map(name => join(path, name))
}
