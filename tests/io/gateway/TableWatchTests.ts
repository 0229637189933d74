import { expect } from 'earl'
import type { RowFeed, RowSnapshot } from '../../../src/core/platform/index.js'
import { TableWatch, type StoreAccess } from '../../../src/io/gateway/index.js'
import { DecisionLog } from '../../../src/io/process/index.js'

// A read beside the watch may end before or after the response to the watch, which covers earlier or later versions.
describe('TableWatch with a read beside the watch', () => {
  let watch: TableWatch
  let applied: Array<number | string>
  let watchedAfter: number[]
  let respond: (feed: RowFeed) => void

  beforeEach(async () => {
    applied = []
    watchedAfter = []
    const access = {
      read: async () => getSnapshot(5),
      watch: async (_table: string, after: number) => {
        watchedAfter.push(after)
        return await new Promise<RowFeed>(resolve => { respond = resolve })
      }
    } as unknown as StoreAccess
    watch = new TableWatch({
      access,
      clock: { now: () => performance.now() },
      log: new DecisionLog({ process: 'test', id: 'test', isSilent: true }),
      table: 'targets',
      onRows: (_rows, timeMs) => { applied.push(timeMs!) },
      onChange: change => { applied.push(change.type) }
    })
    void watch.run()
    await waitFor(() => watchedAfter.length === 1)
  })

  afterEach(() => {
    watch.close()
    respond({ type: 'changes', changes: [], version: 0 })
  })

  it('should apply a read of a later version, and not one of an earlier version', () => {
    watch.applyRead(getSnapshot(7), 1)
    watch.applyRead(getSnapshot(6), 2)
    expect(applied).toEqual([5, 7])
  })

  it('should not apply earlier changes after a read, and watch for those that follow it', async () => {
    watch.applyRead(getSnapshot(7), 1)
    respond({ type: 'changes', changes: [{ type: 'removed', key: { table: 'targets', part: '', key: 't' } }], version: 6 })
    await waitFor(() => watchedAfter.length === 2)
    expect([applied, watchedAfter]).toEqual([[5, 7], [5, 7]])
  })
})

/** Gets a read whose time of the store is its version. */
function getSnapshot (version: number): RowSnapshot {
  return { rows: [], version, timeMs: version }
}

async function waitFor (isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise(resolve => setTimeout(resolve, 1))
}
