import type { z } from 'zod'

/** Tables and lists as they are written. */
export type RawTable = Record<string, unknown>

/** Form of values that this process does not control. */
export interface ReplaceableFormat<T> {
  readonly schema: z.ZodType<T>
  /** Values for members that can't be used, by dotted path; `*` stands for any name or index, and undefined removes the member. */
  readonly replacements: Readonly<Record<string, unknown>>
}

/** Result of {@link decodeReplacing}. */
export interface DecodedValue<T> {
  /** Undefined if members can't be used that may not be replaced. */
  readonly value: { readonly data: T } | undefined
  /** Errors at members that may not be replaced. */
  readonly errors: readonly z.core.$ZodIssue[]
  /** Errors at members that were replaced. */
  readonly replaced: readonly z.core.$ZodIssue[]
}

/** Largest number of rounds in which values are replaced; one more may be needed for each level of nesting. */
const MAX_ROUNDS = 100

/**
 * Validates a value, and replaces members that can't be used where that is allowed.
 *
 * @param raw - Changed in place.
 * @param former - Value in force, whose members go before the replacements of the format.
 */
export function decodeReplacing<T> (raw: unknown, format: ReplaceableFormat<T>, former: unknown = {}): DecodedValue<T> {
  const replaced: z.core.$ZodIssue[] = []
  for (let round = 0; ; round++) {
    const result = format.schema.safeParse(raw)
    if (result.success) return { value: { data: result.data }, errors: [], replaced }
    const { issues } = result.error
    const errors = issues.filter(issue => findReplaceable(issue, format) === undefined)
    replaced.push(...issues.filter(issue => !errors.includes(issue)))
    if (errors.length > 0 || round === MAX_ROUNDS) return { value: undefined, errors, replaced }
    for (const issue of issues) replaceMember(raw, findReplaceable(issue, format)!, format, former)
  }
}

/** Replaces the member at a path, or the nearest member around it that may be replaced; returns whether there is one. */
export function replaceAt (raw: unknown, path: readonly string[], format: ReplaceableFormat<unknown>, former: unknown): boolean {
  const replaceable = findPath(path, format)
  if (replaceable !== undefined) replaceMember(raw, replaceable, format, former)
  return replaceable !== undefined
}

function findReplaceable (issue: z.core.$ZodIssue, format: ReplaceableFormat<unknown>): string[] | undefined {
  return issue.code === 'unrecognized_keys' ? undefined : findPath(issue.path.map(String), format)
}

/** Gets the longest beginning of a path whose value may be replaced. */
function findPath (path: readonly string[], format: ReplaceableFormat<unknown>): string[] | undefined {
  for (let length = path.length; length > 0; length--) {
    const beginning = path.slice(0, length)
    if (findPattern(beginning, format) !== undefined) return beginning
  }
  return undefined
}

function findPattern (path: readonly string[], { replacements }: ReplaceableFormat<unknown>): string | undefined {
  return Object.keys(replacements).find(pattern => {
    const names = pattern.split('.')
    return names.length === path.length && names.every((name, at) => name === '*' || name === path[at])
  })
}

function replaceMember (raw: unknown, path: readonly string[], format: ReplaceableFormat<unknown>, former: unknown): void {
  const value = getAt(former, path) ?? format.replacements[findPattern(path, format)!]
  const table = getAt(raw, path.slice(0, -1)) as RawTable | undefined
  if (table === undefined) return
  if (value === undefined) Reflect.deleteProperty(table, path.at(-1)!)
  else table[path.at(-1)!] = structuredClone(value)
}

function getAt (raw: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>((value, name) => {
    return typeof value === 'object' && value !== null && Object.hasOwn(value, name) ? (value as RawTable)[name] : undefined
  }, raw)
}
