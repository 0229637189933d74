import type { CallResponse } from '../history/index.js'

/** Result of a run as observed on the connection to the target. */
export interface RunTermination {
  readonly type: 'complete' | 'crashed' | 'unreached' | 'aborted'
  readonly answer: CallResponse
  readonly cachedTokens: number
  readonly promptTokens: number
}
