import { z } from 'zod'
import { DOCUMENT_SCHEMA, formatFinding, GATEWAY_SETTINGS, parseToml, readSettingsTables, type DocumentTexts, type Finding } from '../config/index.js'
import { checkDocuments } from './checkDocuments.js'
import { checkGatewaySettings } from './checkGatewaySettings.js'
import { compareDocuments } from './compareDocuments.js'
import { compareGatewaySettings } from './compareGatewaySettings.js'
import type { ConfigDifference } from './ConfigDifference.js'

/** Input of {@link checkToml}. */
export interface TomlCheckOptions {
  /** Texts of the new version by file name. */
  readonly texts: DocumentTexts
  /** Texts of the version in force; undefined if it is not compared. */
  readonly inForce: DocumentTexts | undefined
  /** Heap limit of a gateway in bytes. */
  readonly heapBytes: number
}

/** Result of {@link checkToml}. */
export interface TomlCheckResult {
  readonly findings: Finding[]
  /** Undefined if errors keep the versions from being compared, or there is no version in force. */
  readonly differences: ConfigDifference[] | undefined
}

/** Texts that are no TOML, or that can't be compared. */
export class TomlCheckError extends Error {}

const RAW = z.record(z.string(), z.unknown())

/** Checks documents, or the settings of a gateway, and compares them with the version in force; throws a {@link TomlCheckError}. */
export function checkToml ({ texts, inForce, heapBytes }: TomlCheckOptions): TomlCheckResult {
  const isSettings = isGatewaySettings(texts)
  if (inForce !== undefined && isGatewaySettings(inForce) !== isSettings) {
    throw new TomlCheckError('the new version and the one in force are not both documents, or both settings of a gateway')
  }
  const result = isSettings
    ? check(getSettingsChecker(heapBytes), compareGatewaySettings, texts, inForce)
    : check(checkDocuments, compareDocuments, texts, inForce)
  const order = Object.keys(texts)
  result.findings.sort((a, b) => order.indexOf(a.file) - order.indexOf(b.file) || a.line - b.line)
  return result
}

/** Findings and the decoded content, which is undefined if it can't be decoded. */
interface Checked<T> {
  readonly findings: Finding[]
  readonly content: T | undefined
}

function getSettingsChecker (heapBytes: number) {
  return (texts: DocumentTexts): Checked<Parameters<typeof compareGatewaySettings>[0]> => {
    const [file, text] = Object.entries(texts)[0]!
    return checkGatewaySettings(text, { file, heapBytes })
  }
}

function check<T> (
  find: (texts: DocumentTexts) => Checked<T>, compare: (inForce: T, next: T) => ConfigDifference[],
  texts: DocumentTexts, inForce: DocumentTexts | undefined
): TomlCheckResult {
  const { findings, content } = find(texts)
  if (inForce === undefined) return { findings, differences: undefined }
  const former = find(inForce)
  // Contradictions in the version in force do not keep it from being compared.
  if (former.content === undefined) throw toError(former.findings)
  return { findings, differences: content === undefined ? undefined : compare(former.content, content) }
}

/**
 * Checks whether texts are the settings of a gateway, by the names of their keys.
 *
 * Settings are one file, and several files are documents.
 */
function isGatewaySettings (texts: DocumentTexts): boolean {
  const entries = Object.entries(texts)
  const errors = entries.flatMap(([file, text]) => parseToml(file, text, RAW).swap().orDefault([]))
  const keys = entries.flatMap(([file, text]) => Object.keys(readSettingsTables(file, text).orDefault({})))
  const count = (schema: { readonly shape: object }): number => keys.filter(key => Object.hasOwn(schema.shape, key)).length
  const isSettings = entries.length === 1 && count(GATEWAY_SETTINGS.in) > count(DOCUMENT_SCHEMA.in)
  // A gateway leaves out lines of its settings whose values are no TOML, which are findings there.
  if (errors.length > 0 && !isSettings) throw toError(errors)
  return isSettings
}

function toError (findings: readonly Finding[]): TomlCheckError {
  return new TomlCheckError(findings.map(formatFinding).join('\n'))
}
