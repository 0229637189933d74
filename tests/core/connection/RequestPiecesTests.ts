import { expect } from 'earl'
import fc from 'fast-check'
import { RequestPieces } from '../../../src/core/connection/index.js'

const HEADS = ['GET / HTTP/1.1\r\n\r\n', 'GET /a HTTP/1.1\r\nHost: x\r\n\r\n', 'GET /b HTTP/1.1\r\na:\r\na:\r\n\r\n']

describe('RequestPieces', () => {
  // A piece with two heads makes the parser create two requests at once.
  it('should end each piece with a head, however the heads are cut, and lose no byte', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom(...HEADS)), fc.array(fc.integer({ min: 1, max: 40 })), (heads, cuts) => {
      const bytes = Buffer.from(heads.join(''))
      const pieces = new RequestPieces()
      const taken: string[] = []
      const takeAll = (): void => { for (let piece = pieces.take('head'); piece !== undefined; piece = pieces.take('head')) taken.push(piece.toString()) }
      let at = 0
      for (const cut of [...cuts, bytes.length]) {
        if (at < bytes.length) pieces.add(bytes.subarray(at, at + cut))
        at += cut
        takeAll()
      }
      expect(taken.join('')).toEqual(bytes.toString())
      expect(pieces.length).toEqual(0)
      let open = ''
      for (const piece of taken) {
        open += piece
        expect(open.indexOf('\r\n\r\n') === -1 || open.indexOf('\r\n\r\n') === open.length - 4).toEqual(true)
        if (open.endsWith('\r\n\r\n')) open = ''
      }
    }))
  })

  it('should take a body of a known length as a whole, and not what follows it', () => {
    const pieces = new RequestPieces()
    pieces.add(Buffer.from('a\r\n\r\nbGET / HTTP/1.1\r\n\r\nrest'))
    expect([6, 'head' as const, 'head' as const].map(expected => pieces.take(expected)?.toString())).toEqual(['a\r\n\r\nb', 'GET / HTTP/1.1\r\n\r\n', 'rest'])
  })

  it('should not cut a body in chunks into pieces of a few bytes', () => {
    const pieces = new RequestPieces()
    pieces.add(Buffer.from('\r\n\r\n'.repeat(1_000)))
    expect(pieces.take('chunks')!.length >= 256).toEqual(true)
  })
})
