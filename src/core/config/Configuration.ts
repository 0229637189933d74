import type { Either } from 'purify-ts'
import type { Documents, OperationStructure, ProgramStructure, ServiceStructure, WorkspaceStructure } from './Documents.js'
import type { Finding } from './Finding.js'
import { parseDocuments, type DocumentTexts } from './parseDocuments.js'

/** Table key of the current configuration. */
export const CONFIG_KEY = 'config/current'

/** Table key of the current version alone, so that pollers read the documents only when they have changed. */
export const CONFIG_VERSION_KEY = 'config/version'

/** The current version as stored in the table. */
export interface ConfigVersionRow {
  readonly version: number
}

/** The configuration as stored in the table. */
export interface ConfigRow {
  /** Incremented by 1 with each accepted change. */
  readonly version: number
  readonly texts: DocumentTexts
  /** Name of the operator who applied the change. */
  readonly operator: string
  readonly appliedAt: number
  /** Id of the apply command, which identifies its write if the response of the store was lost. */
  readonly applyId: string
}

/** A validated configuration, indexed by name. */
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

  /** Parses and validates a stored configuration. */
  static parse (row: ConfigRow): Either<Finding[], Configuration> {
    return parseDocuments(row.texts).map(documents => new Configuration(row, documents))
  }

  /** Gets a service by name. */
  getService (name: string): ServiceStructure | undefined {
    return this._services.get(name)
  }

  /** Gets all services. */
  getServices (): ServiceStructure[] {
    return [...this._services.values()]
  }

  /** Gets an operation of a plain service by name. */
  getOperation (service: string, operation: string): OperationStructure | undefined {
    return this._services.get(service)?.operations.find(candidate => candidate.name === operation)
  }

  /** Gets a program by name. */
  getProgram (name: string): ProgramStructure | undefined {
    return this._programs.get(name)
  }

  /** Gets a workspace by name. */
  getWorkspace (name: string): WorkspaceStructure | undefined {
    return this._workspaces.get(name)
  }
}

/** Holds the current configuration of one process; its version never decreases. */
export class ConfigHolder {
  private _current: Configuration | undefined
  private _confirmedAt = -Infinity

  /** Gets the configuration, or undefined before the first one is set. */
  get (): Configuration | undefined {
    return this._current
  }

  /** Gets the version, or 0 before the first configuration is set. */
  getVersion (): number {
    return this._current?.version ?? 0
  }

  /** Replaces the configuration if the new one has a higher version; returns whether it was replaced. */
  set (configuration: Configuration): boolean {
    if (configuration.version <= this.getVersion()) return false
    this._current = configuration
    return true
  }

  /** Records that the store has confirmed the current version. */
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
