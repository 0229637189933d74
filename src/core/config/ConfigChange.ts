import { Left, Right, type Either } from 'purify-ts'
import type { Rows, Transaction } from '../platform/index.js'
import { CONFIG_KEY, CONFIG_VERSION_KEY, type ConfigRow, type ConfigVersionRow } from './Configuration.js'
import type { DocumentTexts } from './parseDocuments.js'

/** Options of {@link ConfigChange}. */
export interface ConfigChangeOptions {
  /** Id of this change, to recognise one's own write when its answer is lost. */
  readonly applyId: string
  /** Version that the operator has seen; 0 when there is no configuration yet. */
  readonly baseVersion: number
  readonly texts: DocumentTexts
  readonly operator: string
}

/** What a change comes to, given what is stored. */
export type ChangeDecision =
  | { readonly type: 'write', readonly transaction: Transaction, readonly version: number }
  /** The change is stored already: an earlier answer was lost. */
  | { readonly type: 'applied', readonly version: number }

/** Another change was accepted first. */
export interface ChangeConflict {
  readonly current: ConfigRow | undefined
}

/** Decides about one change of the configuration; of racing changes on one base, exactly one is accepted. */
export class ConfigChange {
  private readonly _options: ConfigChangeOptions

  constructor (options: ConfigChangeOptions) {
    this._options = options
  }

  /** Decides what to do about the rows read; it is asked again after every write without an answer. */
  decide (rows: Rows, now: number): Either<ChangeConflict, ChangeDecision> {
    const stored = rows.get(CONFIG_KEY)
    const current = stored?.value as ConfigRow | undefined
    if (current?.applyId === this._options.applyId) return Right({ type: 'applied', version: current.version })
    if ((current?.version ?? 0) !== this._options.baseVersion) return Left({ current })
    const version = this._options.baseVersion + 1
    const { texts, operator, applyId } = this._options
    const value: ConfigRow = { version, texts, operator, appliedAt: now, applyId }
    const condition = { key: CONFIG_KEY, version: stored?.version ?? 0 }
    const versionRow: ConfigVersionRow = { version }
    const puts = [{ key: CONFIG_KEY, value }, { key: CONFIG_VERSION_KEY, value: versionRow }]
    return Right({ type: 'write', version, transaction: { conditions: [condition], puts } })
  }
}
