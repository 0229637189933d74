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

/** Largest number of rows that one call of the store may write. */
const MAX_ROWS_PER_CALL = 100

/** Milliseconds for one check. */
const RETIRE_TIMEOUT_MS = 2_000

/** Options of {@link VersionStore}. */
export interface VersionStoreOptions {
  readonly access: StoreAccess
  readonly clock: Clock
  readonly log: DecisionLog
  /** Resolves with whether the list of targets was confirmed by a read that began later than now. */
  readonly confirmList?: () => Promise<boolean>
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
  private _isWriting = false

  constructor (options: VersionStoreOptions) {
    this._options = options
    this._versions = new ServedVersions(options.clock)
  }

  /** Applies the list of targets. */
  setTargets (targets: readonly Target[]): void {
    this._versions.setListed(targets.map(getOrigin))
    void this._write()
  }

  /** Checks whether streams may begin at a version: only when all gateways can know of it, because its row is in the store. */
  isStored (origin: StreamOrigin): boolean {
    return this._versions.isStored(origin)
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
    const { access, clock, log, confirmList = async () => true } = this._options
    if (access.health.isUnavailable()) return
    await this._write()
    try {
      const { rows } = await access.readOnce({ table: VERSION_TABLE, part: '' }, clock.now() + RETIRE_TIMEOUT_MS)
      this._versions.setRows(rows)
      await this._write()
      // A gateway that was out of step could remove a version that has begun to serve meanwhile.
      if (!await confirmList()) {
        log.warn('version-not-retired', { cause: 'the list of targets was not confirmed' })
        return
      }
      for (const condition of this._versions.getRetired(rows)) {
        const { type } = await access.commitOnce({ conditions: [condition], removes: [condition] }, clock.now() + RETIRE_TIMEOUT_MS)
        log.info('version-retired', { key: condition.key, row: condition.version, result: type })
      }
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('version-not-retired', { cause: err.message })
    }
  }

  /** Gets unstored versions for one call of the store. */
  private _getNextUnstored (): StreamOrigin[] {
    return this._versions.getUnstored().slice(0, MAX_ROWS_PER_CALL)
  }

  /** Records the versions that others have stored; for a store that can be read, but rejects writes. */
  private async _readStored (origins: readonly StreamOrigin[]): Promise<void> {
    const { access, clock, log } = this._options
    try {
      const { rows } = await access.readOnce({ table: VERSION_TABLE, part: '' }, clock.now() + RETIRE_TIMEOUT_MS)
      const stored = new Set(rows.map(({ key }) => key))
      for (const origin of origins) if (stored.has(toVersionRow(origin).key)) this._versions.recordStored(origin)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('versions-not-read', { versions: origins.length, cause: err.message })
    }
  }

  private async _write (): Promise<void> {
    if (this._isWriting) return
    const { access, clock, log } = this._options
    this._isWriting = true
    try {
      for (let origins = this._getNextUnstored(); origins.length > 0; origins = this._getNextUnstored()) {
        const puts = origins.map(toVersionRow)
        try {
          await access.commitOnce({ puts }, clock.now() + WRITE_TIMEOUT_MS)
        } catch (err) {
          if (!(err instanceof StoreError)) throw err
          await this._readStored(origins)
          await access.commitRepeatable({ puts }, clock.now() + WRITE_TIMEOUT_MS)
        }
        for (const origin of origins) this._versions.recordStored(origin)
        log.info('versions-written', { versions: origins.map(({ service, softwareVersion }) => `${service} ${softwareVersion}`) })
      }
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log.warn('versions-not-written', { versions: this._versions.getUnstored().length, cause: err.message })
    } finally {
      this._isWriting = false
    }
  }
}
