import { EventSplitter, isProgress, type StreamEvent } from '../../core/turn/index.js'

/**
 * Reads a stream up to its first complete event; resolves with a body that begins with what was read.
 *
 * Rejects when the stream breaks off before, sends no event within `timeoutMs`, or begins with another event than expected. A stream that
 * ends without any event is complete: its caller may have all of them.
 */
export async function awaitFirstEvent (
  body: AsyncIterable<Buffer>, timeoutMs: number, isExpected: (event: StreamEvent) => boolean = () => true
): Promise<AsyncIterable<Buffer>> {
  const iterator = body[Symbol.asyncIterator]()
  const splitter = new EventSplitter()
  const chunks: Buffer[] = []
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => { reject(new Error(`no event within ${timeoutMs} ms of the head`)) }, timeoutMs)
  })
  try {
    for (;;) {
      const result = await Promise.race([iterator.next(), timeout])
      if (result.done === true) break
      chunks.push(result.value)
      const first = [...splitter.add(result.value)].find(isProgress)
      if (first !== undefined && !isExpected(first)) throw new Error(`the event ${first.id} does not continue the stream`)
      if (first !== undefined) break
      if (splitter.isTooLong()) throw new Error('the first event is too long')
    }
  } finally {
    clearTimeout(timer)
  }
  return readOn(chunks, iterator)
}

async function * readOn (chunks: readonly Buffer[], iterator: AsyncIterator<Buffer>): AsyncGenerator<Buffer> {
  yield * chunks
  for (let result = await iterator.next(); result.done !== true; result = await iterator.next()) yield result.value
}
