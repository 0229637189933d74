/** One message of a conversation, as in the chat completions interface. */
export interface Message {
  readonly role: string
  readonly content: string
  readonly [field: string]: unknown
}
