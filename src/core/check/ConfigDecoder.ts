import type { Either } from 'purify-ts'
import type { RouteConfig } from '../route/index.js'

/** An error in a configuration. */
export interface ConfigError {
  /** Keys and indexes from the root; empty if the error concerns the whole configuration. */
  readonly path: readonly PropertyKey[]
  readonly problem: string
}

/** Decodes the operator's configuration as the gateway does; the wire format belongs to the platform. */
export abstract class ConfigDecoder {
  /** Decodes a configuration; Left describes its errors. */
  abstract decode (value: Uint8Array): Either<string, RouteConfig>

  /** Gets all errors of a configuration whose places are known. */
  abstract getErrors (value: Uint8Array): readonly ConfigError[]
}
