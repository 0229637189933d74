import type { StreamEvent } from './EventSplitter.js'

/** What a caller has received of a stream that another target continues. */
export interface ContinuedStream {
  /** Media type of the response that the caller receives; undefined if it states none. */
  readonly mediaType: string | undefined
  readonly lastEventId: string | undefined
}

/** Head of a response that may continue a stream. */
export interface ContinuationHead {
  readonly status: number
  readonly mediaType: string | undefined
}

/** Gets the reason for which a response can't continue a stream, or undefined; what it contains would be taken for events. */
export function getContinuationFailure (stream: ContinuedStream, head: ContinuationHead): string | undefined {
  if (head.status !== 200) return `status ${head.status} instead of 200 when the stream was resumed`
  if (head.mediaType === stream.mediaType) return undefined
  return `media type ${head.mediaType ?? 'unknown'} instead of ${stream.mediaType ?? 'unknown'} when the stream was resumed`
}

/** Checks whether an event has a part of the stream; others, such as comments, keep a connection open. */
export function isProgress (event: StreamEvent): boolean {
  return event.data !== undefined || event.id !== ''
}

/** Checks whether the first event of a continuation follows the last event that the caller has; ids of events increase. */
export function isNextEvent (stream: ContinuedStream, event: StreamEvent): boolean {
  const { lastEventId } = stream
  if (lastEventId === undefined) return true
  if (event.id === '') return false
  const [last, next] = [Number(lastEventId), Number(event.id)]
  return Number.isNaN(last) || Number.isNaN(next) ? event.id !== lastEventId : next > last
}
