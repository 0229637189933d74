/**
 * The table of all reasons for refusals and retries.
 *
 * Each refusal has an HTTP status and an outcome, from which the caller concludes whether the request ran.
 * The label values of the metrics are the keys of this table, and docs/OPERATIONS.md lists the same rows.
 */

/** Outcome of a request, as far as a response states it. */
export const Outcome = {
  /** The request ran, and its result exists. */
  Answered: 'answered',
  /** The request did not run and will not run under this attempt. */
  NotRun: 'not-run',
  /** The request may have run; it is not run again. */
  Unknown: 'unknown'
} as const
export type Outcome = typeof Outcome[keyof typeof Outcome]

/** Describes one reason for a refusal. */
export interface ReasonDescription {
  /** HTTP status code of the response. */
  readonly status: number
  readonly outcome: Outcome
  /** Description for the caller, in one line. */
  readonly title: string
  /** Advice for the operator, in one line. */
  readonly advice: string
}

type Describe = (status: number, title: string, advice: string) => ReasonDescription

const describe = (outcome: Outcome): Describe => (status, title, advice) => ({ status, outcome, title, advice })
const notRun = describe(Outcome.NotRun)
const unknown = describe(Outcome.Unknown)
const answered = describe(Outcome.Answered)

/** Every reason for which a request is refused. */
export const REFUSALS = {
  'malformed-json': notRun(400, 'The body is not valid JSON.', 'The caller corrects its request.'),
  'invalid-request': notRun(400, 'A field of the request is missing or has the wrong type.', 'The caller corrects the fields listed in `findings`.'),
  'body-too-large': notRun(413, 'The body is larger than the limit.', 'Raise limits.body_bytes in the settings of the entry if the size is legitimate.'),
  'body-timeout': notRun(408, 'The body did not arrive in time.', 'Check the path between the caller and the entry.'),
  'key-missing': notRun(401, 'No key was presented.', 'The caller sends `authorization: Bearer <workspace>.<secret>`.'),
  'key-wrong': notRun(401, 'The key is not valid.', 'Compare the key with the workspace in the documents; rotate it if it leaked.'),
  'key-unknown': notRun(401, 'No workspace holds the presented key.', 'Compare the key of the caller with `tenants` of the configuration in force.'),
  'keys-unconfirmed': notRun(503, 'The gateway cannot confirm at the moment which keys are valid.', 'Check the connections of the gateway to the store and to its peers.'),
  'program-unknown': notRun(404, 'No such program for this workspace.', 'Check [[program]] and workspace.programs in the documents.'),
  'service-unknown': notRun(404, 'No such service or operation.', 'Check [[service]] and its operations in the documents.'),
  'route-unknown': notRun(404, 'No such path.', 'The caller corrects its path.'),
  'session-unknown': notRun(404, 'No such session.', 'The caller checks the id and its own workspace.'),
  'session-closed': notRun(409, 'The session is closed.', 'The caller opens a new session.'),
  'call-out-of-order': notRun(409, 'An earlier call of the session has not finished.', 'The caller sends calls in their order; `nextCall` is the number of the next one.'),
  'call-conflict': notRun(409, 'This call number or key was used with another body.', 'The caller uses the next number or a new key.'),
  'idempotency-key-missing': notRun(400, 'This operation may not be repeated and needs an Idempotency-Key.', 'The caller sends the header.'),
  'budget-tokens': notRun(402, 'The token budget of the session does not cover this call.', 'Raise program.budget.tokens or let the caller request fewer tokens.'),
  'budget-calls': notRun(402, 'The session has used all its calls.', 'Raise program.budget.calls; look for a loop with `wisteriactl explain session`.'),
  'budget-time': notRun(402, 'The session is past its time budget.', 'Raise program.budget.seconds or close the session.'),
  'loop-detected': notRun(409, 'The same call was repeated more often than the program allows.', 'Look for a loop with `wisteriactl explain session`.'),
  'children-limit': notRun(409, 'The session has as many open sub-agents as allowed.', 'The caller closes sub-agents first.'),
  quarantined: notRun(422, 'This request crashed two targets and is not run again.', 'Read the request; remove the quarantine with a corrected request.'),
  overloaded: notRun(503, 'No target can finish this request within its deadline.', 'Add targets, or wait until the load peak has passed.'),
  'share-exceeded': notRun(503, 'The workspace is over its share while targets are scarce.', 'Raise workspace.share or add targets.'),
  'quota-exceeded': notRun(429, 'The workspace has used up its request quota.', 'Raise ratePerS or burst of the workspace; the log line `quota-exceeded` states them.'),
  'quota-unavailable': notRun(503, 'No gateway that holds a share of the quota is reached at the moment.', 'Look for `peer-call-failed`: the gateway is cut off from its peers, or they are down.'),
  'no-target': notRun(503, 'No live target offers this service.', 'Check the instance list, drains and ejections with `wisteriactl status`.'),
  'targets-limited': notRun(503, 'Every target of the service is at the request rate that it accepts.', 'Add targets; `target-limit-changed` in the log names each limit and since when it is stated.'),
  'memory-full': notRun(503, 'The gateway holds as many bytes of requests as it may.', 'Add gateways, or lower the limit of bodies; look for targets that do not read.'),
  'connections-full': notRun(503, 'The gateway has as many connections or requests as it may.', 'Add gateways, or raise limits.max_fds if the machine allows it; `connections-refused` in the log names an address.'),
  'queue-full': notRun(503, 'The queue of the target is full.', 'Add targets.'),
  'retained-full': notRun(503, 'The sidecar holds as many unfetched answers as it may.', 'Check that the store is available: answers are kept until they are durable.'),
  leaving: notRun(503, 'The target is leaving.', 'None: the entry selects another target.'),
  stopping: notRun(503, 'The gateway is stopping and could not finish the request.', 'None: the caller sends it to another gateway.'),
  'not-ready': notRun(503, 'The entry does not know the configuration in force yet.', 'Check the store and the instance list.'),
  'store-unavailable': notRun(503, 'The store did not take the claim in time.', 'Check the platform table service.'),
  'history-damaged': notRun(500, 'The stored history fails its digest check.', 'Report a bug; the session is stopped to keep histories apart.'),
  'ledger-unreadable': unknown(503, 'The ledger cannot be read, so an earlier sending of this request may have run; send it again.', 'Check the platform table service. Callers that mark a first send with `wisteria-sending: first` receive *not run* instead.'),
  'attempts-failed': unknown(502, 'Attempts of this request were broken off; it may have run in part.', 'Read the steps of the call with `wisteriactl explain`; look for crashing targets.'),
  'call-pending': notRun(409, 'A call of the session is under way.', 'The caller fetches the call first, or closes after its deadline.'),
  'caller-gone': notRun(499, 'The caller left before the request was claimed.', 'None.'),
  'retries-exhausted': notRun(503, 'Every attempt was refused before it ran.', 'Read the retry counters for the cause of each attempt.'),
  'retry-budget': notRun(503, 'The retry budget is used up.', 'Find the failing targets: retries are capped at a share of successes.'),
  'stale-config': notRun(503, 'The entry uses a configuration that is no longer in force.', 'Check that the entry reaches the store or its sidecars.'),
  'ticket-missing': notRun(401, 'No ticket was presented.', 'Only entries may call a sidecar.'),
  'ticket-forged': notRun(401, 'The ticket signature is wrong.', 'Compare the ticket keys of entry and sidecar.'),
  'ticket-expired': notRun(401, 'The ticket has expired.', 'Check the clocks, or look for paused entries.'),
  'ticket-early': notRun(401, 'The ticket was issued in the future.', 'Check the clocks.'),
  'ticket-replayed': notRun(409, 'The ticket was used before.', 'None: the first dispatch remains valid.'),
  'incarnation-changed': notRun(409, 'The sidecar restarted since the claim.', 'None: the entry resolves the claim.'),
  'epoch-stale': notRun(409, 'A later attempt has taken over.', 'None: the entry resolves the claim.'),
  cancelled: notRun(409, 'The attempt was cancelled before it was dispatched.', 'None: the entry resolves the claim.'),
  'queue-timeout': notRun(503, 'The request waited at the target until its deadline.', 'Add targets.'),
  'operator-key-wrong': notRun(401, 'The operator key is missing or wrong.', 'Check the operator key file.'),
  'outcome-unknown': unknown(502, 'The request may have run; it will not be run again.', 'Check the ledger of the service, then decide manually.'),
  'answer-not-durable': answered(504, 'The answer exists but could not be stored in time; fetch the call again.', 'Check the platform table service.'),
  'answer-interrupted': answered(502, 'The stream broke; fetch the call again for the whole answer.', 'Look for a crashed target or sidecar.'),
  'headers-too-large': notRun(431, 'The headers are larger than the limit.', 'Raise the header limit of the configuration if the size is legitimate.'),
  'turn-unknown': notRun(404, 'No such turn is kept.', 'The caller starts a new conversation; search for the turn in the log of the gateway that served it.'),
  'turn-unreadable': notRun(503, 'The earlier turn cannot be read at the moment.', 'Check the store; the log line `turn-unreadable` names the cause.'),
  'turn-not-savable': notRun(503, 'The turn could not be saved at the moment, so it was not run.', 'Check the store; the log line `store-away` names the cause.'),
  'turn-incomplete': notRun(503, 'The events that the caller has received earlier are not known, so the turn could not be saved whole.', 'None: the caller begins the turn anew.'),
  'origin-unknown': notRun(503, 'It is not known which software version began the stream, so no target may continue it.', 'The caller starts anew; the log line `origin-unknown` names the stream.'),
  'origin-unreadable': notRun(503, 'Which software version began the stream cannot be read at the moment.', 'Check the store; the log line `origin-unknown` names the cause.'),
  'version-gone': notRun(503, 'No target of the software version that began the stream is in service.', 'None: the caller starts anew. Replace targets in steps, so that streams of the old version can end.'),
  'budget-spent': notRun(402, 'The token budget of the program is spent.', 'Look for a loop: the log line `budget-spent` states how much was granted.'),
  'budget-unreadable': notRun(503, 'The budget of the program cannot be read at the moment.', 'Check the store; the log line `budget-unreadable` names the cause.'),
  'crashes-targets': notRun(503, 'This request crashed several targets and is not run again.', 'Read the request; its digest is in the log line `suspect-confirmed`.'),
  'timeout-not-run': notRun(503, 'The time of the request passed before it could be placed.', 'Look for full targets.'),
  'deadline-passed': unknown(504, 'The call did not finish by its deadline.', 'Look for a hung target; fetch the call again.')
} as const satisfies Record<string, ReasonDescription>

/** Name of a reason for a refusal. */
export type RefusalReason = keyof typeof REFUSALS

/** Every reason for which an attempt or a store operation is retried. */
export const RETRIES = {
  'claim-conflict': 'Another process changed the row; it is read again.',
  'ledger-stale': 'The process was paused or slow; the ledger is read again before the request is refused.',
  'dispatch-refused': 'The sidecar refused the attempt before it ran.',
  'dispatch-lost': 'The connection to the sidecar was lost; the attempt is located.',
  'relay-silent': 'The relay connection delivered no bytes in time; the stream is attached again.',
  'locate-failed': 'The sidecar could not be queried about an attempt.',
  'target-crashed': 'The target crashed or its connection was lost; the call is repeatable and is sent to another target.',
  'target-unreachable': 'The target accepted no connection.',
  'attempt-absent': 'The attempt never reached the sidecar and is now cancelled.',
  'attempt-gone': 'The sidecar of the attempt restarted or no longer exists.',
  'settle-conflict': 'Another process settled or changed the row.',
  'settle-unavailable': 'The store did not accept the result; it is kept and sent again.',
  'target-not-run': 'The target responded that it did not run the request.',
  'answer-broken': 'The response was incomplete or not the response to this request; the request may run again.',
  'stream-resumed': 'The stream was interrupted and continues at another target after its last complete event.',
  'store-timeout': 'The store did not respond in time.',
  'store-error': 'The store responded with an error.'
} as const

/** Name of a reason for a retry. */
export type RetryReason = keyof typeof RETRIES

/** Checks whether a string is the name of a reason for a refusal. */
export function isRefusalReason (name: string): name is RefusalReason {
  return Object.hasOwn(REFUSALS, name)
}

/** A refusal with the data of its problem document and its retry header. */
export interface Refusal {
  readonly reason: RefusalReason
  /** Detail in one line; it is sent to the caller and must not contain secrets. */
  readonly detail?: string
  /** Seconds after which the caller should retry. */
  readonly retryAfterSeconds?: number
  /** Additional members of the problem document. */
  readonly members?: Readonly<Record<string, unknown>>
}
