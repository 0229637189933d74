import { createHash } from 'node:crypto'
import type { Message } from './Message.js'
import type { TurnRow } from './TurnRow.js'

/** Computes the hexadecimal SHA-256 digest of strings, joined by a separator that cannot occur in JSON. */
export function digestOf (...values: readonly string[]): string {
  return createHash('sha256').update(values.join('\u0000')).digest('hex')
}

/** Gets the head of the hash chain before the first turn; it includes the session id, so that chains of two sessions differ. */
export function getFirstHead (session: string): string {
  return digestOf('session', session)
}

/** Gets the head of the hash chain after another turn. */
export function getNextHead (head: string, turn: TurnRow): string {
  return digestOf(head, String(turn.call), turn.requestDigest, turn.outcome, JSON.stringify(turn.messages), turn.answer.text)
}

/** Gets the head of the hash chain after several turns, applied in order. */
export function getHeadAfter (head: string, turns: readonly TurnRow[]): string {
  return turns.reduce(getNextHead, head)
}

/** Gets the messages of a history for a prompt: requests and responses of model turns and results of service turns. */
export function toMessages (turns: readonly TurnRow[]): Message[] {
  return turns.flatMap(turn => [...turn.messages, toResponseMessage(turn)])
}

function toResponseMessage (turn: TurnRow): Message {
  if (turn.kind === 'model') return { role: 'assistant', content: turn.answer.text }
  return { role: 'tool', content: turn.outcome === 'unknown' ? 'outcome unknown' : turn.answer.text }
}
