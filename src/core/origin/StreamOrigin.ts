import type { Target } from '../target/index.js'

/** Service and software version of the target that began a stream; only such targets may continue it. */
export interface StreamOrigin {
  readonly service: string
  readonly softwareVersion: string
}

/** A stream of which the caller has received events, in this response or an earlier one. */
export interface BegunStream {
  /** Undefined if the origin is not known; then no target may continue the stream. */
  readonly origin: StreamOrigin | undefined
}

/** Gets the origin of a stream that a target begins. */
export function getOrigin ({ service, softwareVersion }: Target): StreamOrigin {
  return { service, softwareVersion }
}

/**
 * Checks whether a target may send the next events of a stream; any target may begin one.
 *
 * Decides for the attempts within one response and for the callers' next tries alike.
 */
export function canContinue (target: Target, stream: BegunStream | undefined): boolean {
  if (stream === undefined) return true
  return stream.origin?.service === target.service && stream.origin.softwareVersion === target.softwareVersion
}
