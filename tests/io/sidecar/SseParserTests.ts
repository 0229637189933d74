import { expect } from 'earl'
import { SseParser } from '../../../src/io/sidecar/index.js'

describe('SseParser', () => {
  function doTest (chunks: readonly string[], expected: readonly string[]): void {
    const parser = new SseParser()
    const events = chunks.flatMap(chunk => parser.add(Buffer.from(chunk)))
    expect(events.map(event => event.data)).toEqual([...expected])
  }

  it('should parse several events from one chunk', () => {
    doTest(['data: a\n\ndata: b\n\n'], ['a', 'b'])
  })

  it('should parse events that are split across chunks', () => {
    doTest(['da', 'ta: a\n', '\ndata: ', 'b\n\n'], ['a', 'b'])
  })

  it('should parse events with carriage returns and skip comments', () => {
    doTest(['data: a\r\n\r\n: comment\n\ndata: b\n\n'], ['a', 'b'])
  })

  it('should not return an incomplete event', () => {
    doTest(['data: a\n\ndata: b\n'], ['a'])
  })
})
