import { expect } from 'earl'
import { SseParser } from '../../../src/io/sidecar/index.js'

describe('SseParser', () => {
  function doTest (chunks: readonly string[], expected: readonly string[]): void {
    const parser = new SseParser()
    const events = chunks.flatMap(chunk => parser.add(Buffer.from(chunk)))
    expect(events.map(event => event.data)).toEqual([...expected])
  }

  it('should read events that arrive in one piece', () => {
    doTest(['data: a\n\ndata: b\n\n'], ['a', 'b'])
  })

  it('should read events that arrive in pieces', () => {
    doTest(['da', 'ta: a\n', '\ndata: ', 'b\n\n'], ['a', 'b'])
  })

  it('should read events with carriage returns and pass over comments', () => {
    doTest(['data: a\r\n\r\n: comment\n\ndata: b\n\n'], ['a', 'b'])
  })

  it('should keep an incomplete event back', () => {
    doTest(['data: a\n\ndata: b\n'], ['a'])
  })
})
