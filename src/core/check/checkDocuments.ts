import { z } from 'zod'
import {
  DOCUMENT_SCHEMA, formatPath, parseDocuments, parseToml, TomlLocator, type Documents, type DocumentTexts, type Finding
} from '../config/index.js'

/** Result of {@link checkDocuments}. */
export interface DocumentsResult {
  readonly findings: Finding[]
  /** Entries of all documents; undefined if a document has errors against the schema. */
  readonly content: Documents | undefined
}

type Section = 'region' | 'service' | 'program' | 'workspace'

/** An entry with its location. */
interface Entry<T> {
  readonly item: T
  /** The entry as it is written, without defaults. */
  readonly raw: Readonly<Record<string, unknown>>
  /** Records a finding at a key of the entry. */
  readonly add: (path: readonly PropertyKey[], problem: string, expected: string) => void
}

type Entries = { readonly [K in keyof Documents]: Array<Entry<Documents[K][number]>> }

const RAW_DOCUMENT = z.record(z.string(), z.unknown())

/** Schemas of the entries of each section. */
const ENTRY_SCHEMAS = {
  region: DOCUMENT_SCHEMA.in.shape.region.unwrap().element,
  service: DOCUMENT_SCHEMA.in.shape.service.unwrap().element,
  program: DOCUMENT_SCHEMA.in.shape.program.unwrap().element,
  workspace: DOCUMENT_SCHEMA.in.shape.workspace.unwrap().element
}

/** Limits of a program that a smaller one of its budget keeps from being reached. */
const PROGRAM_LIMITS = [
  { key: 'call_timeout_seconds', member: 'callTimeoutSeconds', budget: 'seconds', least: 0 },
  // The call after `max_repeats` equal ones is refused, and each open sub-agent holds a call of its parent.
  { key: 'max_repeats', member: 'maxRepeats', budget: 'calls', least: 1 },
  { key: 'max_children', member: 'maxChildren', budget: 'calls', least: 0 }
] as const

/**
 * Finds errors, entries that never match, and limits that contradict each other in the documents of one configuration.
 *
 * Entries with errors do not hide what is wrong in others. What nothing uses is reported only if all entries can be decoded.
 */
export function checkDocuments (texts: DocumentTexts): DocumentsResult {
  const findings: Finding[] = parseDocuments(texts).swap().orDefault([])
  const entries: Entries = { regions: [], services: [], programs: [], workspaces: [] }
  for (const [file, text] of Object.entries(texts)) addEntries(entries, file, text, findings)
  const isComplete = Object.entries(texts).every(([file, text]) => parseToml(file, text, DOCUMENT_SCHEMA).isRight())
  checkRegions(entries)
  checkServices(entries)
  checkPrograms(entries)
  checkWorkspaces(entries)
  if (!isComplete) return { findings, content: undefined }
  checkUse(entries)
  if (entries.workspaces.length === 0) {
    const expected = 'at least one [[workspace]]; all documents of a configuration are checked together'
    const file = Object.keys(texts)[0] ?? ''
    findings.push({ file, line: 0, key: 'workspace', problem: 'missing: every request is refused, as no key is valid', expected })
  }
  const getItems = <T>(list: ReadonlyArray<Entry<T>>): T[] => list.map(({ item }) => item)
  return {
    findings,
    content: {
      regions: getItems(entries.regions),
      services: getItems(entries.services),
      programs: getItems(entries.programs),
      workspaces: getItems(entries.workspaces)
    }
  }
}

/** Adds the entries of a document that can be decoded. */
function addEntries (entries: Entries, file: string, text: string, findings: Finding[]): void {
  const document = parseToml(file, text, RAW_DOCUMENT).orDefault({})
  const locator = new TomlLocator(text)
  const decode = <T>(section: Section, schema: z.ZodType<T>): Array<Entry<T>> => {
    const list = document[section]
    return (Array.isArray(list) ? list as unknown[] : []).flatMap((raw, index) => {
      const { data: item } = schema.safeParse(raw)
      if (item === undefined) return []
      const add = (path: readonly PropertyKey[], problem: string, expected: string): void => {
        const fullPath = [section, index, ...path]
        findings.push({ file, line: locator.getLine(fullPath), key: formatPath(fullPath), problem, expected })
      }
      return [{ item, raw: raw as Entry<T>['raw'], add }]
    })
  }
  entries.regions.push(...decode('region', ENTRY_SCHEMAS.region))
  entries.services.push(...decode('service', ENTRY_SCHEMAS.service))
  entries.programs.push(...decode('program', ENTRY_SCHEMAS.program))
  entries.workspaces.push(...decode('workspace', ENTRY_SCHEMAS.workspace))
}

/** Finds programs and services that no caller reaches. */
function checkUse ({ services, programs, workspaces }: Entries): void {
  // Without workspaces nothing is reached, which is one finding.
  if (workspaces.length === 0) return
  const used = new Set([
    ...programs.flatMap(({ item }) => [item.service, ...item.tools]), ...workspaces.flatMap(({ item }) => item.services)
  ])
  const allowed = new Set(workspaces.flatMap(({ item }) => item.programs))
  for (const { item, add } of services) {
    if (!used.has(item.name)) add([], `no program or workspace uses service ${item.name}`, 'a service that a program or a workspace names')
  }
  for (const { item, add } of programs) {
    if (!allowed.has(item.name)) add([], `no workspace may run program ${item.name}`, 'a program that a workspace names')
  }
}

function checkRegions ({ regions }: Entries): void {
  const holders = new Map<string, string>()
  for (const { item, add } of regions) {
    for (const domain of item.failureDomains) {
      const holder = holders.get(domain)
      if (holder !== undefined) add(['failure_domains'], `region ${holder} has failure domain ${domain} as well`, 'each failure domain once')
      holders.set(domain, item.name)
    }
  }
}

function checkServices ({ services }: Entries): void {
  for (const { item, add } of services) {
    if (Object.keys(item.placement).length === 0) add(['placement'], 'no failure domain has targets', 'at least one failure domain')
    if (item.kind === 'engine' && item.operations.length > 0) {
      add(['operation'], 'never matches: callers name operations of plain services only', 'no operation, or kind = "plain"')
    }
  }
}

function checkPrograms ({ programs }: Entries): void {
  for (const { item, raw, add } of programs) {
    for (const { key, member, budget, least } of PROGRAM_LIMITS) {
      // A default that is not reached contradicts nothing that the operator has written.
      if (raw[key] === undefined || item[member] + least <= item.budget[budget]) continue
      add([key], `${item[member]} is never reached with budget.${budget} = ${item.budget[budget]}`, `at most ${item.budget[budget] - least}`)
    }
  }
}

/** Checks the workspaces; a finding never contains a hash of a key. */
function checkWorkspaces ({ workspaces }: Entries): void {
  const holders = new Map<string, string>()
  for (const { item, add } of workspaces) {
    if (item.programs.length + item.services.length === 0) add([], 'its keys permit no request', 'at least one program or service')
    for (const [index, hash] of item.keyHashes.entries()) {
      const holder = holders.get(hash)
      // A key begins with the name of its workspace, so that it is never looked up in another one.
      if (holder !== undefined) add(['key_hashes', index], `never matches: workspace ${holder} holds the same hash`, 'a hash used once')
      else holders.set(hash, item.name)
    }
  }
}
