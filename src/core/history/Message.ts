/** One message of a conversation, as in the chat completions API. */
export interface Message {
  readonly role: string
  readonly content: string
  readonly [field: string]: unknown
}
