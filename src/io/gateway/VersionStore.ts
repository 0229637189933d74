import { Left, Right, type Either } from 'purify-ts'
import type { Clock } from '../../core/clock/index.js'
import {
  findOnlyVersion, getOrigin, getVersionRange, ServedVersions, toVersionRow, VERSION_TABLE, type StreamOrigin
} from '../../core/origin/index.js'
import { StoreError } from '../../core/platform/index.js'
import type { RefusalReason } from '../../core/reason/index.js'
import type { Target } from '../../core/target/index.js'
import type { DecisionLog } from '../process/index.js'
import type { StoreAccess } from './StoreAccess.js'

/** Milliseconds for which one write of versions is retried. */
const WRITE_TIMEOUT_MS = 5_000

/** Milliseconds between two checks for versions whose targets have left. */
export const RETIRE_CHECK_MS = 30_000

/** Milliseconds for one check. */
const RETIRE_TIMEOUT_MS = 2_000

/** Options of {@link VersionStore}. */
export interface VersionStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
}

/**
 * Records which software versions of each service serve, so that a stream whose caller does not name it can go on.
 *
 * Such a stream is continued only while a single version of its service has served for longer than streams last. The rows are written when
 * a gateway learns of a version, so that they survive the loss of all gateways together with all targets of a version.
 */
export class VersionStore {
  private readonly _options: VersionStoreOptions
  private readonly _versions: ServedVersions
  /** Versions that are listed and whose row is not known to be in the store. */
  private readonly _unwritten = new Set<StreamOrigin>()
  private _isWriting = false

  constructor (options: VersionStoreOptions) {
    this._options = options
    this._versions = new ServedVersions(options.clock)
  }

  /** Applies the list of targets. */
  setTargets (targets: readonly Target[]): void {
    for (const origin of this._versions.setListed(targets.map(getOrigin))) this._unwritten.add(origin)
    void this._write()
  }

  /** Finds the version at which any stream of a service has begun. */
  async findOnly (service: string, deadline: number): Promise<Either<RefusalReason, StreamOrigin>> {
    const { access, log } = this._options
    try {
      const { rows } = await access.readOnce(getVersionRange(service), deadline)
      const listed = this._versions.getListed()
      const origin = findOnlyVersion(service, rows, listed)
      if (origin !== undefined) return Right(origin)
      log.warn('origin-unknown', { service, stored: rows.length, cause: 'the caller names no stream, and several versions serve or served lately' })
      return Left('origin-unknown')
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('origin-unknown', { service, cause: err.message })
      return Left('origin-unreadable')
    }
  }

  /** Writes the versions that could not be written, and removes those whose last target has left long ago. */
  async update (): Promise<void> {
    const { access, clock, log } = this._options
    if (access.health.isUnavailable()) return
    await this._write()
    const deadline = clock.now() + RETIRE_TIMEOUT_MS
    try {
      const { rows } = await access.readOnce({ table: VERSION_TABLE, part: '' }, deadline)
      for (const condition of this._versions.getRetired(rows)) {
        const { type } = await access.commitOnce({ conditions: [condition], removes: [condition] }, deadline)
        log.info('version-retired', { key: condition.key, row: condition.version, result: type })
      }
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('version-not-retired', { cause: err.message })
    }
  }

  private async _write (): Promise<void> {
    if (this._isWriting) return
    const { access, clock, log } = this._options
    this._isWriting = true
    try {
      while (this._unwritten.size > 0) {
        const origins = [...this._unwritten]
        await access.commitRepeatable({ puts: origins.map(toVersionRow) }, clock.now() + WRITE_TIMEOUT_MS)
        for (const origin of origins) this._unwritten.delete(origin)
        log.info('versions-written', { versions: origins.map(({ service, softwareVersion }) => `${service} ${softwareVersion}`) })
      }
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('versions-not-written', { versions: this._unwritten.size, cause: err.message })
    } finally {
      this._isWriting = false
    }
  }
}
