/** One part of a prompt that other prompts may share. */
export interface PromptSegment {
  readonly id: string
  readonly tokens: number
}

/** The program that a request belongs to. */
export interface ProgramInfo {
  readonly id: string
  /** Line of turns within the program; a sub-agent has its own. */
  readonly session: string
  /** Milliseconds until the program should be finished. */
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
  readonly target: string
  /** Path without the query. */
  readonly path: string
  /** Host in lower case, without a port. */
  readonly host: string
  /** Headers to pass on, names and values alternating. */
  readonly headers: readonly string[]
  /** Milliseconds for which the caller waits, or undefined when it does not say. */
  readonly timeoutMs: number | undefined
  /** Object that the request concerns; targets that handled it lately are faster. */
  readonly affinityKey: string | undefined
  readonly program: ProgramInfo | undefined
  readonly promptTokens: number
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens: number
  /** Shared parts of the prompt, in order. */
  readonly promptSegments: readonly PromptSegment[]
  /** Id of the turn that this one continues from. */
  readonly previousTurn: string | undefined
  /** Id of the last event that the caller has. */
  readonly lastEventId: string | undefined
}
