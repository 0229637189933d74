import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.js'
import type { RowCondition, RowPut, RowRange, StoredRow } from '../platform/index.js'
import { fromOriginRow, toOriginValue } from './OriginRows.js'
import type { StreamOrigin } from './StreamOrigin.js'

/** Table of the software versions that serve or have served lately: one row for each service and version. */
export const VERSION_TABLE = 'served-versions'

/** Milliseconds for which the row of a version is kept after its last target has left: longer than callers continue streams. */
export const RETIRE_MS = 120_000

/** Encodes a version of a service; the row never changes, and writing it again keeps it from being removed meanwhile. */
export function toVersionRow (origin: StreamOrigin): RowPut {
  return { table: VERSION_TABLE, part: '', key: getKey(origin), value: toOriginValue(origin) }
}

/** Gets the range of keys of all versions of a service. */
export function getVersionRange (service: string): RowRange {
  const prefix = getServicePrefix(service)
  return { table: VERSION_TABLE, part: '', from: prefix, to: `${prefix}~` }
}

/**
 * Finds the only version at which a stream of a service can have begun; undefined if there may be another one.
 *
 * The rows contain versions whose targets have left, and the list those whose rows are being written.
 */
export function findOnlyVersion (service: string, rows: readonly StoredRow[], listed: readonly StreamOrigin[]): StreamOrigin | undefined {
  const [stored, ...others] = rows.map(fromOriginRow).filter(origin => origin?.service === service)
  if (stored === undefined || others.length > 0) return undefined
  const ofService = listed.filter(origin => origin.service === service)
  return ofService.every(origin => origin.softwareVersion === stored.softwareVersion) ? stored : undefined
}

/** Tracks which versions of which services the list of targets contains, and since when others are missing in it. */
export class ServedVersions {
  private readonly _clock: Clock
  /** Listed versions by service and version; hashed for rows only, since the list is applied with each change of a target. */
  private _listed = new Map<string, StreamOrigin>()
  /** Listed versions whose rows the store has. */
  private readonly _stored = new Set<string>()
  private readonly _unlistedSince = new Map<string, number>()

  constructor (clock: Clock) {
    this._clock = clock
  }

  /** Applies the list of targets; returns the versions that it did not contain before. */
  setListed (origins: readonly StreamOrigin[]): StreamOrigin[] {
    const listed = new Map(origins.map(origin => [getOriginName(origin), origin]))
    const added = [...listed].filter(([name]) => !this._listed.has(name))
    for (const [name, origin] of added) {
      this._stored.delete(name)
      this._unlistedSince.delete(getKey(origin))
    }
    this._listed = listed
    return added.map(([, origin]) => origin)
  }

  /** Gets the versions that the list contains. */
  getListed (): StreamOrigin[] {
    return [...this._listed.values()]
  }

  /** Records that the row of a version was written while the version was listed. */
  recordStored (origin: StreamOrigin): void {
    if (this._listed.has(getOriginName(origin))) this._stored.add(getOriginName(origin))
  }

  /** Checks whether the store has the row of a version, so that all gateways know that streams may have begun there. */
  isStored (origin: StreamOrigin): boolean {
    return this._stored.has(getOriginName(origin))
  }

  /** Gets the listed versions whose rows have to be written. */
  getUnstored (): StreamOrigin[] {
    return this.getListed().filter(origin => !this.isStored(origin))
  }

  /** Applies a read of all rows: versions whose rows were removed no longer count as stored. */
  setRows (rows: readonly StoredRow[]): void {
    const keys = new Set(rows.map(({ key }) => key))
    for (const origin of this.getListed()) if (!keys.has(getKey(origin))) this._stored.delete(getOriginName(origin))
  }

  /** Gets the rows, of those that the store has, that may be removed: unless they were written again since they were read. */
  getRetired (rows: readonly StoredRow[]): RowCondition[] {
    const now = this._clock.now()
    const listedKeys = new Set(this.getListed().map(getKey))
    const unlisted = rows.filter(({ key }) => !listedKeys.has(key))
    const keys = new Set(unlisted.map(({ key }) => key))
    for (const key of [...this._unlistedSince.keys()]) if (!keys.has(key)) this._unlistedSince.delete(key)
    for (const key of keys) if (!this._unlistedSince.has(key)) this._unlistedSince.set(key, now)
    return unlisted.filter(({ key }) => now - this._unlistedSince.get(key)! >= RETIRE_MS)
      .map(({ table, part, key, version }) => ({ table, part, key, version }))
  }
}

function getOriginName ({ service, softwareVersion }: StreamOrigin): string {
  return `${service}\u0000${softwareVersion}`
}

/** Gets the key of a version's row; names of services and versions are hashed, since keys are limited in length. */
function getKey ({ service, softwareVersion }: StreamOrigin): string {
  return `${getServicePrefix(service)}${hash(softwareVersion)}`
}

function getServicePrefix (service: string): string {
  return `${hash(service)}/`
}

function hash (name: string): string {
  return createHash('sha1').update(name).digest('hex')
}
