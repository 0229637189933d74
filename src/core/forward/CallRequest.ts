/** One segment of a prompt, which other prompts may share. */
export interface PromptSegment {
  readonly id: string
  readonly tokens: number
}

/** The program that a request belongs to. */
export interface ProgramInfo {
  readonly id: string
  /** Id of the conversation within the program; a sub-agent has a session of its own. */
  readonly session: string
  /** Milliseconds until the deadline of the program. */
  readonly remainingMs: number | undefined
  /** Tokens that all turns of the program may generate together. */
  readonly tokenBudget: number | undefined
}

/** One attempt of a caller, decoded from its headers. */
export interface CallRequest {
  /** Id of this attempt. */
  readonly id: string
  readonly method: string
  /** Path and query as the caller sent them. */
  readonly requestTarget: string
  /** Path without the query. */
  readonly path: string
  /** Host in lower case, without a port. */
  readonly host: string
  /** Headers to forward, names and values in alternation. */
  readonly headers: readonly string[]
  /** Time-out of the caller in milliseconds, or undefined when it states none. */
  readonly timeoutMs: number | undefined
  /** Key of the object that the request concerns; targets that handled it recently are faster. */
  readonly affinityKey: string | undefined
  readonly program: ProgramInfo | undefined
  /** Key by which the caller identifies its workspace; undefined without one, or with several. It must not be logged or forwarded. */
  readonly apiKey: string | undefined
  readonly promptTokens: number
  /** Largest number of tokens that the response may have. */
  readonly maxOutputTokens: number
  /** Shared segments of the prompt, in order. */
  readonly promptSegments: readonly PromptSegment[]
  /** Id of the turn that this one continues from. */
  readonly previousTurn: string | undefined
  /** Id of the last event that the caller received. */
  readonly lastEventId: string | undefined
  /** Id of the attempt that received the first event of the stream to be continued; undefined for a new stream. */
  readonly resumedStream: string | undefined
}

/** Gets the tokens that a request holds in the memory of an engine at most. */
export function getHeldTokens ({ promptTokens, maxOutputTokens }: Pick<CallRequest, 'promptTokens' | 'maxOutputTokens'>): number {
  return promptTokens + maxOutputTokens
}
