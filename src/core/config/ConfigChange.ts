import { Left, Right, type Either } from 'purify-ts'
import type { Rows, Transaction } from '../platform/index.js'
import { CONFIG_KEY, CONFIG_VERSION_KEY, type ConfigRow, type ConfigVersionRow } from './Configuration.js'
import type { DocumentTexts } from './parseDocuments.js'

/** Options of {@link ConfigChange}. */
export interface ConfigChangeOptions {
  /** Id of this change, which identifies its write if the response of the store was lost. */
  readonly applyId: string
  /** Version on which the operator has based the change; 0 if there is no configuration yet. */
  readonly baseVersion: number
  readonly texts: DocumentTexts
  readonly operator: string
}

/** Next step of a change, given the stored configuration. */
export type ChangeDecision =
  | { readonly type: 'write', readonly transaction: Transaction, readonly version: number }
  /** The change is stored already: the response to an earlier write was lost. */
  | { readonly type: 'applied', readonly version: number }

/** Conflict with another change that was accepted first. */
export interface ChangeConflict {
  readonly current: ConfigRow | undefined
}

/** Creates the conditional write for a change of the configuration; of concurrent changes to a base version, exactly one is accepted. */
export class ConfigChange {
  private readonly _options: ConfigChangeOptions

  constructor (options: ConfigChangeOptions) {
    this._options = options
  }

  /** Decides the next step from the rows read; must be called again after each write without a response. */
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
