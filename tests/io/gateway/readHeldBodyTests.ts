import { expect } from 'earl'
import fc from 'fast-check'
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { ByteBudget } from '../../../src/core/limits/index.js'
import { readHeldBody } from '../../../src/io/gateway/readHeldBody.js'

describe('readHeldBody', () => {
  // Bytes that stay held after a broken request make the gateway refuse all later ones.
  it('should hold nothing once all requests are over, whatever the order of pieces, ends and errors', async () => {
    const step = fc.record({ at: fc.nat(3), act: fc.constantFrom('piece', 'piece', 'piece', 'end', 'error', 'refused'), bytes: fc.nat(3_000) })
    const lengths = fc.array(fc.option(fc.nat(6_000)), { minLength: 4, maxLength: 4 })
    await fc.assert(fc.asyncProperty(lengths, fc.array(step, { maxLength: 40 }), async (statedBytes, steps) => {
      const budget = new ByteBudget({ maxBytes: 20_000 })
      const reads = statedBytes.map(length => {
        const req = Object.assign(new Readable({ read: () => {} }), { headers: length === null ? {} : { 'content-length': String(length) } })
        // As a request of Node.js, which reports no error that nobody listens for.
        req.on('error', () => {})
        const [res, held] = [new EventEmitter(), budget.open()]
        const body = readHeldBody(req as unknown as IncomingMessage, { maxBytes: 5_000, held, res: res as ServerResponse })
        return { req, res, left: length ?? Infinity, done: body.finally(() => { held.release() }) }
      })
      for (const { at, act, bytes } of steps) {
        const read = reads[at]!
        if (read.req.destroyed || read.req.readableEnded) continue
        const size = Math.min(bytes, read.left)
        read.left -= size
        if (act === 'piece') read.req.push(Buffer.alloc(size))
        else if (act === 'end') read.req.push(null)
        else if (act === 'error') read.req.destroy(new Error('reset'))
        else read.res.emit('finish')
        await Promise.resolve()
      }
      for (const { req } of reads) req.destroy()
      await Promise.all(reads.map(async ({ done }) => await done))
      expect(budget.getHeldBytes()).toEqual(0)
    }))
  })

  it('should join the pieces of a body without a stated length', async () => {
    const req = Object.assign(Readable.from([Buffer.from('ab'), Buffer.from('c')]), { headers: {} })
    const held = new ByteBudget({ maxBytes: 10_000 }).open()
    const body = await readHeldBody(req as unknown as IncomingMessage, { maxBytes: 3, held, res: new EventEmitter() as ServerResponse })
    expect(body.map(bytes => bytes.toString()).extract()).toEqual('abc')
  })
})
