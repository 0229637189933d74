import { Left, Right, type Either } from 'purify-ts'
import { DOCUMENT_SCHEMA, type Documents } from './Documents.js'
import type { Finding } from './Finding.js'
import { parseToml } from './parseToml.js'
import { formatPath, TomlLocator } from './TomlLocator.js'

/** TOML texts by file name. */
export type DocumentTexts = Readonly<Record<string, string>>

/** An element of a document with its location. */
interface LocatedElement<T> {
  readonly item: T
  readonly file: string
  readonly path: readonly PropertyKey[]
}

interface LocatedDocuments {
  readonly regions: Array<LocatedElement<Documents['regions'][number]>>
  readonly services: Array<LocatedElement<Documents['services'][number]>>
  readonly programs: Array<LocatedElement<Documents['programs'][number]>>
  readonly workspaces: Array<LocatedElement<Documents['workspaces'][number]>>
}

/** Parses documents, validates each one and the references between them, and reports all findings together. */
export function parseDocuments (texts: DocumentTexts): Either<Finding[], Documents> {
  const findings: Finding[] = []
  const located: LocatedDocuments = { regions: [], services: [], programs: [], workspaces: [] }
  for (const [file, text] of Object.entries(texts)) {
    parseToml(file, text, DOCUMENT_SCHEMA).caseOf({
      Left: found => { findings.push(...found) },
      Right: documents => { addLocated(located, file, documents) }
    })
  }
  // A reference may point to another document, so references can be checked only after every document has been parsed.
  if (findings.length === 0) findings.push(...new ReferenceChecker(located, texts).check())
  if (findings.length > 0) return Left(findings)
  return Right({
    regions: located.regions.map(element => element.item),
    services: located.services.map(element => element.item),
    programs: located.programs.map(element => element.item),
    workspaces: located.workspaces.map(element => element.item)
  })
}

function addLocated (located: LocatedDocuments, file: string, documents: Documents): void {
  located.regions.push(...documents.regions.map((item, index) => ({ item, file, path: ['region', index] })))
  located.services.push(...documents.services.map((item, index) => ({ item, file, path: ['service', index] })))
  located.programs.push(...documents.programs.map((item, index) => ({ item, file, path: ['program', index] })))
  located.workspaces.push(...documents.workspaces.map((item, index) => ({ item, file, path: ['workspace', index] })))
}

/** Checks that names are unique and references resolve across all documents. */
class ReferenceChecker {
  private readonly _documents: LocatedDocuments
  private readonly _locators: Map<string, TomlLocator>
  private readonly _findings: Finding[] = []

  constructor (documents: LocatedDocuments, texts: DocumentTexts) {
    this._documents = documents
    this._locators = new Map(Object.entries(texts).map(([file, text]) => [file, new TomlLocator(text)]))
  }

  check (): Finding[] {
    const { regions, services, programs, workspaces } = this._documents
    for (const group of [regions, services, programs, workspaces]) this._checkUnique(group)
    for (const element of services) this._checkService(element)
    for (const element of programs) this._checkProgram(element)
    for (const element of workspaces) this._checkWorkspace(element)
    return this._findings
  }

  private _checkUnique (group: ReadonlyArray<LocatedElement<{ name: string }>>): void {
    const seen = new Set<string>()
    for (const element of group) {
      if (seen.has(element.item.name)) this._addFinding(element, ['name'], `the name ${element.item.name} is taken`, 'a name used once')
      seen.add(element.item.name)
    }
  }

  private _checkService (element: LocatedDocuments['services'][number]): void {
    const domains = this._documents.regions.flatMap(region => region.item.failureDomains)
    for (const domain of Object.keys(element.item.placement)) {
      if (!domains.includes(domain)) this._addFinding(element, ['placement', domain], 'unknown failure domain', formatChoices(domains))
    }
    if (element.item.shortSlots >= element.item.slots) this._addFinding(element, ['short_slots'], 'no slot is left for long requests', `less than slots = ${element.item.slots}`)
    if (element.item.kind === 'engine' && element.item.model === undefined) this._addFinding(element, ['model'], 'missing', 'the model that the engines load')
    if (element.item.kind === 'plain' && element.item.operations.length === 0) this._addFinding(element, ['operation'], 'missing', 'at least one [[service.operation]]')
    const names = element.item.operations.map(operation => operation.name)
    names.forEach((name, index) => {
      if (names.indexOf(name) !== index) this._addFinding(element, ['operation', index, 'name'], `the name ${name} is taken`, 'a name used once')
    })
  }

  private _checkProgram (element: LocatedDocuments['programs'][number]): void {
    const engines = this._getServiceNames('engine')
    const plain = this._getServiceNames('plain')
    if (!engines.includes(element.item.service)) this._addFinding(element, ['service'], 'unknown engine service', formatChoices(engines))
    for (const tool of element.item.tools) if (!plain.includes(tool)) this._addFinding(element, ['tools'], `unknown plain service ${tool}`, formatChoices(plain))
    if (element.item.maxTokensPerCall > element.item.budget.tokens) {
      this._addFinding(element, ['max_tokens_per_call'], 'more than the whole budget', `at most budget.tokens = ${element.item.budget.tokens}`)
    }
  }

  private _checkWorkspace (element: LocatedDocuments['workspaces'][number]): void {
    const programs = this._documents.programs.map(program => program.item.name)
    const plain = this._getServiceNames('plain')
    for (const program of element.item.programs) if (!programs.includes(program)) this._addFinding(element, ['programs'], `unknown program ${program}`, formatChoices(programs))
    for (const service of element.item.services) if (!plain.includes(service)) this._addFinding(element, ['services'], `unknown plain service ${service}`, formatChoices(plain))
  }

  private _getServiceNames (kind: 'engine' | 'plain'): string[] {
    return this._documents.services
      .filter(service => service.item.kind === kind)
      .map(service => service.item.name)
  }

  private _addFinding (element: LocatedElement<unknown>, path: readonly PropertyKey[], problem: string, expected: string): void {
    const fullPath = [...element.path, ...path]
    const key = formatPath(fullPath)
    this._findings.push({ file: element.file, line: this._locators.get(element.file)!.getLine(fullPath), key, problem, expected })
  }
}

function formatChoices (names: readonly string[]): string {
  return names.length === 0 ? 'one that is defined' : `one of ${names.join(', ')}`
}
