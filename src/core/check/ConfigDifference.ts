/** A difference from the configuration in force. */
export interface ConfigDifference {
  /** What differs, such as `route "turns": timeoutMs`. */
  readonly subject: string
  readonly change: 'added' | 'removed' | 'changed'
  /** What it means for requests in progress and for later ones. */
  readonly effect: string
}
