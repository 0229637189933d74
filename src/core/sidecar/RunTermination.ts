import type { Answer } from '../history/index.js'

/** Result of a run as observed on the connection to the target. */
export interface RunTermination {
  readonly type: 'complete' | 'crashed' | 'unreached' | 'aborted'
  readonly answer: Answer
  readonly cachedTokens: number
  readonly promptTokens: number
}
