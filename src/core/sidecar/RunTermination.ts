import type { Answer } from '../history/index.js'

/** How a run ended, as seen on the connection to the target. */
export interface RunTermination {
  readonly type: 'complete' | 'crashed' | 'unreached' | 'aborted'
  readonly answer: Answer
  readonly cachedTokens: number
  readonly promptTokens: number
}
