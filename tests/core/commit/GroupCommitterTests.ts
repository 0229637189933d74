import { expect } from 'earl'
import { GroupCommitter, type CommitRequest, type Settlement } from '../../../src/core/commit/index.js'
import { MemoryTable } from '../../../src/core/platform/index.js'

const WRITER = 'writer/test'

function createRequest (id: number, key: string, version = 0): CommitRequest {
  return { id, deadline: 1_000, transaction: { conditions: [{ key, version }], puts: [{ key, value: id }] } }
}

/** Performs one step against the table; the response can be lost. */
function step (committer: GroupCommitter, table: MemoryTable, now: number, isResponseLost = false): Settlement[] {
  const next = committer.next(now)
  if (next === undefined) return []
  const response = next.type === 'read' ? table.read(next.keys) : table.commit(next.transaction)
  if (isResponseLost) {
    committer.onNoResponse(now)
    return []
  }
  return response instanceof Map ? committer.onRead(response) : committer.onResponse(response as ReturnType<MemoryTable['commit']>)
}

describe('GroupCommitter', () => {
  it('should settle commits that are queued together in one batch', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    for (let id = 1; id <= 3; id++) committer.add(createRequest(id, `row/${id}`))
    expect(step(committer, table, 0)).toEqual([1, 2, 3].map(id => ({ id, result: 'committed' })))
    expect(table.read([WRITER]).get(WRITER)?.version).toEqual(1)
  })

  it('should recognise its own write when the response was lost', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    committer.add(createRequest(1, 'row/1'))
    expect(step(committer, table, 0, true)).toEqual([])
    const settled = [...step(committer, table, 100), ...step(committer, table, 100)]
    expect(settled).toEqual([{ id: 1, result: 'committed' }])
    expect(table.read(['row/1']).get('row/1')?.version).toEqual(1)
  })

  it('should let only the conflicting commit of a batch fail', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    table.commit({ conditions: [], puts: [{ key: 'row/1', value: 'other' }] })
    committer.add(createRequest(1, 'row/1'))
    committer.add(createRequest(2, 'row/2'))
    expect(step(committer, table, 0)).toEqual([{ id: 1, result: 'conflict' }])
    expect(step(committer, table, 0)).toEqual([{ id: 2, result: 'committed' }])
  })

  it('should not let a copy that arrives late take effect', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    committer.add(createRequest(1, 'row/1'))
    const late = committer.next(0)
    if (late?.type !== 'commit') throw new Error('The next step is not a commit.')
    committer.onNoResponse(0)
    step(committer, table, 100)
    expect(table.commit(late.transaction).type).toEqual('conflict')
  })

  it('should determine which variant of a batch took effect', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    const other = new MemoryTable()
    other.commit({ conditions: [], puts: [{ key: 'row/1', value: 'other' }] })
    committer.add(createRequest(1, 'row/1'))
    committer.add(createRequest(2, 'row/2'))
    step(committer, other, 0)
    committer.add(createRequest(3, 'row/3'))
    expect(step(committer, table, 0, true)).toEqual([])
    const settled = [...step(committer, table, 100), ...step(committer, table, 100), ...step(committer, table, 100)]
    expect(settled).toEqual([{ id: 2, result: 'committed' }, { id: 3, result: 'committed' }])
  })

  it('should report not-written only for a commit that was never sent', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    committer.add(createRequest(1, 'row/1'))
    step(committer, table, 0, true)
    committer.add(createRequest(2, 'row/2'))
    expect(committer.expire(1_000)).toEqual([{ id: 2, result: 'not-written' }, { id: 1, result: 'unknown' }])
  })

  it('should keep commits on the same row out of one batch', () => {
    const committer = new GroupCommitter({ writerKey: WRITER })
    const table = new MemoryTable()
    committer.add(createRequest(1, 'row/1'))
    committer.add(createRequest(2, 'row/1'))
    expect(step(committer, table, 0)).toEqual([{ id: 1, result: 'committed' }])
    expect(step(committer, table, 0)).toEqual([{ id: 2, result: 'conflict' }])
  })
})
