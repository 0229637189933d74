import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { hashKey, Configuration, type ConfigRow } from '../../src/core/config/index.js'
import type { Instance } from '../../src/core/platform/index.js'
import { CostSelector, selectWatched, TargetDirectory } from '../../src/core/routing/index.js'
import { AttemptTable } from '../../src/core/sidecar/index.js'
import type { Slope } from './Slope.js'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Measures the heap size of a value in bytes. */
function measureHeap (create: () => unknown): number {
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  const value = create()
  collectGarbage()
  const used = process.memoryUsage().heapUsed - before
  return value === undefined ? 0 : used
}

/** Measures the mean time of one run in microseconds, after a warm-up. */
function measureMicroseconds (runs: number, run: () => void): number {
  for (let index = 0; index < runs / 10; index++) run()
  const startedAt = performance.now()
  for (let index = 0; index < runs; index++) run()
  return (performance.now() - startedAt) * 1_000 / runs
}

function createTargets (count: number): Instance[] {
  return [...Array(count).keys()].map(index => ({
    id: `engine-${index}`,
    role: 'target',
    service: `service-${index % 7}`,
    region: `region-${index % 9}`,
    failureDomain: `domain-${index % 18}`,
    url: `http://127.0.0.1:${index}`,
    state: 'live'
  }))
}

function createDirectory (count: number): TargetDirectory {
  const directory = new TargetDirectory()
  const targets = createTargets(count).map(target => ({ ...target, service: 'service' }))
  directory.setInstances(targets)
  for (const target of targets) {
    directory.recordLoad(target.id, {
      incarnation: 'i', isLeaving: false, configVersion: 1, slots: 8, running: 4, queued: 0, queuedTokens: 0, msPerToken: 20, runMs: 500
    }, 0)
  }
  return directory
}

function createConfigRow (workspaces: number): ConfigRow {
  const lines = ['[[region]]', 'name = "r"', 'failure_domains = ["d"]']
  lines.push('[[service]]', 'name = "s"', 'kind = "engine"', 'model = "m"', 'placement = { d = 3 }')
  lines.push('[[program]]', 'name = "p"', 'service = "s"', 'budget = { tokens = 5000, calls = 9, seconds = 9 }')
  const hash = hashKey('x', 'ab')
  for (let index = 0; index < workspaces; index++) {
    lines.push('[[workspace]]', `name = "w-${index}"`, 'programs = ["p"]', `key_hashes = ["${hash}"]`)
  }
  return { version: 1, texts: { 'a.toml': lines.join('\n') }, operator: 'o', appliedAt: 0, applyId: 'a' }
}

function createAttempts (count: number): AttemptTable {
  const table = new AttemptTable()
  for (let index = 0; index < count; index++) {
    const attempt = `session/01M8ZM60V7NGWC2FBZ4AKZ${index}#1`
    table.add({
      attempt,
      ledgerKey: attempt.slice(0, -2),
      epoch: 1,
      seenAt: index,
      state: 'gone',
      maxTokens: 100,
      deadline: index,
      holdKey: attempt.slice(8, -2),
      queuedAt: index,
      startedAt: index,
      firstByteAt: index,
      lastTokenAt: index,
      tokens: 50
    })
  }
  return table
}

/** Measures the slopes of the core within this process. */
export function measureCoreSlopes (): Slope[] {
  const measureAt = (sizes: readonly number[], measure: (size: number) => number): Slope['points'] => sizes.map(size => ({ size, value: measure(size) }))
  const watch = { entry: 'entry-1', failureDomain: 'domain-1' }
  const entries = createTargets(420).map((entry, index): Instance => ({ ...entry, id: `entry-${index}`, role: 'entry' }))
  return [
    {
      name: 'placement of a call',
      sizeUnit: 'watched target of a service',
      valueUnit: 'us',
      points: measureAt([16, 32, 64], size => {
        const selector = new CostSelector({ directory: createDirectory(size), region: 'region-1', failureDomain: 'domain-1' })
        const req = {
          service: 'service',
          workspace: 'w',
          affinityKey: 's',
          warmTargets: ['engine-3'],
          promptTokens: 900,
          maxTokens: 100,
          isInProgress: true,
          deadline: 60_000,
          excluded: new Set<string>()
        }
        return measureMicroseconds(2_000, () => { selector.select(req, 0) })
      })
    },
    {
      name: 'choice of the watched targets',
      sizeUnit: 'listed target',
      valueUnit: 'us',
      points: measureAt([3_000, 6_000, 12_000], size => {
        const instances = [...entries, ...createTargets(size)]
        return measureMicroseconds(3, () => { selectWatched(instances, watch) })
      })
    },
    { name: 'watched target', sizeUnit: 'target', valueUnit: 'bytes', points: measureAt([2_000, 4_000, 8_000], size => measureHeap(() => createDirectory(size))) },
    { name: 'remembered attempt', sizeUnit: 'attempt', valueUnit: 'bytes', points: measureAt([10_000, 50_000, 100_000], size => measureHeap(() => createAttempts(size))) },
    {
      name: 'check of a configuration',
      sizeUnit: 'workspace',
      valueUnit: 'us',
      points: measureAt([360, 1_200, 3_600], size => {
        const row = createConfigRow(size)
        return measureMicroseconds(3, () => { Configuration.parse(row) })
      })
    },
    { name: 'configuration', sizeUnit: 'workspace', valueUnit: 'bytes', points: measureAt([360, 1_200, 3_600], size => JSON.stringify(createConfigRow(size)).length) },
    {
      name: 'configuration in memory',
      sizeUnit: 'workspace',
      valueUnit: 'bytes',
      points: measureAt([360, 1_200, 3_600], size => measureHeap(() => Configuration.parse(createConfigRow(size))))
    }
  ]
}
