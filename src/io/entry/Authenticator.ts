import type { IncomingMessage, ServerResponse } from 'node:http'
import { Left, Right, type Either } from 'purify-ts'
import { ulid } from 'ulid'
import { isKeyValid, isEqualInConstantTime, type Configuration } from '../../core/config/index.js'
import type { Refusal } from '../../core/reason/index.js'
import type { CallerInfo } from './CallService.js'
import type { EntryState } from './EntryState.js'

const BEARER = 'Bearer '

/** A request whose caller has been authenticated. */
export interface IdentifiedRequest {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly configuration: Configuration
  readonly caller: CallerInfo
}

/** Options of {@link Authenticator}. */
export interface AuthenticatorOptions {
  readonly state: EntryState
  readonly operatorKeys: readonly string[]
  readonly isReady: () => boolean
}

/** Authenticates callers and operators by their keys. */
export class Authenticator {
  private readonly _options: AuthenticatorOptions

  constructor (options: AuthenticatorOptions) {
    this._options = options
  }

  /** Gets the workspace of a caller by its key, or refuses the request. */
  identify (req: IncomingMessage, res: ServerResponse): Either<Refusal, IdentifiedRequest> {
    const configuration = this._options.state.config.get()
    if (configuration === undefined || !this._options.isReady()) return Left({ reason: 'not-ready', retryAfterSeconds: 1 })
    const header = getHeader(req, 'authorization')
    if (header === undefined || !header.startsWith(BEARER)) return Left({ reason: 'key-missing' })
    const key = header.slice(BEARER.length)
    const workspace = configuration.getWorkspace(key.slice(0, Math.max(0, key.indexOf('.'))))
    if (workspace === undefined || !isKeyValid(key, workspace.keyHashes)) return Left({ reason: 'key-wrong' })
    const caller: CallerInfo = {
      requestId: ulid(),
      workspace: workspace.name,
      isFirstSend: getHeader(req, 'wisteria-sending') === 'first',
      isCallerDisconnected: () => res.destroyed
    }
    return Right({ req, res, configuration, caller })
  }

  /** Checks whether a request carries an operator's key. */
  isOperator (req: IncomingMessage): boolean {
    const header = getHeader(req, 'authorization') ?? ''
    const isOperator = this._options.operatorKeys.some(key => isEqualInConstantTime(header, BEARER + key))
    if (!isOperator) this._options.state.metrics.addRefusal('operator-key-wrong')
    return isOperator
  }
}

/** Gets the first value of a header. */
export function getHeader (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return Array.isArray(value) ? value[0] : value
}
