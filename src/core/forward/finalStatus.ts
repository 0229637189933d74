/** Lowest and highest status of a final response (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200
const MAX_FINAL_STATUS = 599

/** Checks whether a status is one of a final response; a response with another one is no answer to its request. */
export function isFinalStatus (status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS
}
