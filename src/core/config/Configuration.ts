import type { Either } from 'purify-ts'
import type { Documents, OperationStructure, ProgramStructure, ServiceStructure, WorkspaceStructure } from './Documents.js'
import type { Finding } from './Finding.js'
import { parseDocuments, type DocumentTexts } from './parseDocuments.js'

/** Table key of the configuration in force. */
export const CONFIG_KEY = 'config/current'

/** Table key of the version in force, so that the documents are read only when they have changed. */
export const CONFIG_VERSION_KEY = 'config/version'

/** The version in force, as stored in the table. */
export interface ConfigVersionRow {
  readonly version: number
}

/** The configuration as stored in the table. */
export interface ConfigRow {
  /** Grows by 1 with each accepted change. */
  readonly version: number
  readonly texts: DocumentTexts
  /** Who applied it. */
  readonly operator: string
  readonly appliedAt: number
  /** Id of the apply command, to recognise one's own write when its answer is lost. */
  readonly applyId: string
}

/** A checked configuration with look-ups by name. */
export class Configuration {
  readonly version: number
  readonly row: ConfigRow
  private readonly _services: ReadonlyMap<string, ServiceStructure>
  private readonly _programs: ReadonlyMap<string, ProgramStructure>
  private readonly _workspaces: ReadonlyMap<string, WorkspaceStructure>

  constructor (row: ConfigRow, documents: Documents) {
    this.version = row.version
    this.row = row
    this._services = toMap(documents.services)
    this._programs = toMap(documents.programs)
    this._workspaces = toMap(documents.workspaces)
  }

  /** Checks a stored configuration. */
  static parse (row: ConfigRow): Either<Finding[], Configuration> {
    return parseDocuments(row.texts).map(documents => new Configuration(row, documents))
  }

  /** Gets a service. */
  getService (name: string): ServiceStructure | undefined {
    return this._services.get(name)
  }

  /** Gets all services. */
  getServices (): ServiceStructure[] {
    return [...this._services.values()]
  }

  /** Gets an operation of a plain service. */
  getOperation (service: string, operation: string): OperationStructure | undefined {
    return this._services.get(service)?.operations.find(candidate => candidate.name === operation)
  }

  /** Gets a program. */
  getProgram (name: string): ProgramStructure | undefined {
    return this._programs.get(name)
  }

  /** Gets a workspace. */
  getWorkspace (name: string): WorkspaceStructure | undefined {
    return this._workspaces.get(name)
  }
}

/** Holds the configuration in force at one process; its version never falls. */
export class ConfigHolder {
  private _current: Configuration | undefined
  private _confirmedAt = -Infinity

  /** Gets the configuration, or undefined while none is known. */
  get (): Configuration | undefined {
    return this._current
  }

  /** Gets the version, or 0 while none is known. */
  getVersion (): number {
    return this._current?.version ?? 0
  }

  /** Takes a configuration unless a later one is known; returns true when it is now in force. */
  set (configuration: Configuration): boolean {
    if (configuration.version <= this.getVersion()) return false
    this._current = configuration
    return true
  }

  /** Notes that the store has just confirmed the version. */
  recordConfirmation (now: number): void {
    this._confirmedAt = now
  }

  /** Gets the milliseconds since the store last confirmed the version. */
  getAgeMs (now: number): number {
    return now - this._confirmedAt
  }
}

function toMap<T extends { name: string }> (items: readonly T[]): ReadonlyMap<string, T> {
  return new Map(items.map(item => [item.name, item]))
}
