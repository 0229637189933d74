import { Left, Right, type Either } from 'purify-ts'
import { z } from 'zod'
import type { Refusal } from '../../core/reason/index.js'

const message = z.looseObject({ role: z.string().min(1), content: z.string() })
const maxTokens = z.int().min(1).max(130_000)
const id = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'letters, digits, dots, underscores and hyphens, at most 128')

/** Body of `POST /v1/chat/completions`; members not declared here are ignored, since clients send many others. */
export const COMPLETION_BODY = z.looseObject({
  /** Name of a program. */
  model: z.string().min(1),
  messages: z.array(message).min(1),
  max_tokens: maxTokens.optional(),
  max_completion_tokens: maxTokens.optional(),
  stream: z.boolean().default(false)
})

/** Body of `POST /v1/sessions`. */
export const OPEN_BODY = z.strictObject({
  /** Id of the session; opening the same id again returns the existing session. */
  id: id.optional(),
  program: z.string().min(1),
  /** Id of the parent session when this one is a sub-agent. */
  parent: id.optional(),
  budget: z.strictObject({
    tokens: z.int().min(1).optional(),
    calls: z.int().min(1).optional(),
    seconds: z.number().positive().optional()
  }).default({})
})

/** Body of `POST /v1/sessions/{id}/calls/{n}`. */
export const CALL_BODY = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('model'),
    messages: z.array(message).min(1),
    max_tokens: maxTokens.optional(),
    stream: z.boolean().default(false)
  }),
  z.strictObject({
    type: z.literal('service'),
    service: z.string().min(1),
    operation: z.string().min(1),
    body: z.unknown()
  })
])

/** A parsed completion request. */
export type CompletionBody = z.output<typeof COMPLETION_BODY>
/** A parsed request to open a session. */
export type OpenBody = z.output<typeof OPEN_BODY>
/** A parsed call. */
export type CallBody = z.output<typeof CALL_BODY>

/** Validates a body against a schema; a refusal lists every finding with its path. */
export function parseBody<T> (schema: z.ZodType<T>, raw: unknown): Either<Refusal, T> {
  const result = schema.safeParse(raw)
  if (result.success) return Right(result.data)
  const findings = result.error.issues.map(issue => ({ path: issue.path.join('.'), problem: issue.message }))
  return Left({ reason: 'invalid-request', members: { findings } })
}

/** Matches a path against a pattern such as `/v1/sessions/:id/calls/:n`; returns the decoded parameters, or undefined. */
export function matchPath (pattern: string, path: string): Readonly<Record<string, string>> | undefined {
  const expected = pattern.split('/')
  const actual = path.split('/')
  if (expected.length !== actual.length) return undefined
  const params: Record<string, string> = {}
  for (const [index, segment] of expected.entries()) {
    const value = actual[index]!
    if (segment.startsWith(':') && value !== '') params[segment.slice(1)] = decodeSegment(value)
    else if (segment !== value) return undefined
  }
  return params
}

function decodeSegment (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}
