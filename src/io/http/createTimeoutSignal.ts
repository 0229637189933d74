/**
 * Creates a signal that is aborted after a time-out.
 *
 * Unlike `AbortSignal.timeout`, it lets the event loop read what waits first, so that a call whose response arrived during a pause of the
 * process doesn't fail.
 */
export function createTimeoutSignal (timeoutMs: number): AbortSignal {
  const controller = new AbortController()
  const abort = (): void => { controller.abort(new DOMException(`The call took longer than ${timeoutMs} ms.`, 'TimeoutError')) }
  setTimeout(() => { setImmediate(abort) }, timeoutMs).unref()
  return controller.signal
}
