import { expect } from 'earl'
import { BufferGarbage } from '../../../src/io/process/index.js'

const MEGABYTE = 1_048_576

describe('BufferGarbage', () => {
  let buffers = 0
  let used = 0
  let collected: string[] = []
  let garbage: BufferGarbage

  beforeEach(() => {
    buffers = used = 0
    collected = []
    const collect = (options?: { type: 'minor' }): void => { collected.push(options?.type ?? 'all') }
    garbage = new BufferGarbage({ getUsedBytes: () => used, getBufferBytes: () => buffers, collect })
  })

  it('should collect young objects first, and all if there is still too much', () => {
    for (buffers = 0; buffers <= 16 * MEGABYTE; buffers += 4 * MEGABYTE) garbage.add(MEGABYTE)
    expect(collected).toEqual(['minor', 'minor', 'all'])
  })

  it('should not count what is in use', () => {
    buffers = used = 100 * MEGABYTE
    garbage.add(MEGABYTE)
    expect(collected).toEqual([])
  })

  // Caches in buffers made the process collect everything after each megabyte.
  it('should not collect again and again what a collection does not free', () => {
    buffers = 20 * MEGABYTE
    for (let at = 0; at < 10; at++) garbage.add(MEGABYTE)
    expect(collected).toEqual(['all'])
  })
})
