import { spawnSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'earl'
import fc from 'fast-check'
import { checkConfig, compareConfigs } from '../../platform/check/index.js'
import { JsonLocator } from '../../src/core/check/index.js'
import { formatFinding } from '../../src/core/config/index.js'

const ROUTE = { name: 'turns', host: 'h', pathPrefix: '/turns/', service: 'model', timeoutMs: 2_000, targetLatencyMs: 500 }
const CLEAN = { version: 1, routes: [ROUTE], services: [{ name: 'model' }] }

/** One entry for each finding but errors of the schema. */
const CONTRADICTIONS = {
  version: 2,
  routes: [
    { ...ROUTE, targetLatencyMs: 2_001, targetGapMs: 2_001, retentionS: 60 },
    { ...ROUTE, name: 'shadowed' },
    { ...ROUTE, name: 'weightless', pathPrefix: '/w/', service: undefined, backends: [{ service: 'model', weight: 0 }] }
  ],
  services: [{ name: 'model' }, { name: 'unused' }],
  tenants: [{ name: 'a', apiKeys: ['secret', 'one'] }, { name: 'b', apiKeys: ['two', 'secret'], ratePerS: 5, burst: 0.5 }],
  limits: { maxBodyBytes: 10_000_000 }
}

function check (text: string): string[] {
  return checkConfig(text, { file: 'new.json', maxHeldBytes: 5_000_000 }).map(formatFinding)
}

describe('checkConfig', () => {
  it('should find nothing in a clean configuration', () => { expect(check(JSON.stringify(CLEAN))).toEqual([]) })

  it('should find what never matches and what contradicts itself, without showing a key', function () {
    const findings = check(JSON.stringify(CONTRADICTIONS, null, 1))
    expect(findings).toMatchSnapshot(this)
    expect(findings.join().includes('secret')).toEqual(false)
  })

  it('should find all errors at once', function () {
    expect(check('{\n"routes": [\n{ "name": 7 },\n{ "host":\n[] }],\n"limits": 0\n}')).toMatchSnapshot(this)
  })

  // An exception would be taken for an unreadable file.
  it('should throw for no JSON, and name a line of it', () => {
    const member = fc.jsonValue({ maxDepth: 3 })
    const entry = (entry: object): fc.Arbitrary<unknown> =>
      fc.tuple(fc.constantFrom(...Object.keys(entry), '__proto__'), member).map(([key, value]) => ({ ...entry, [key]: value }))
    const config = fc.record({
      version: fc.oneof(fc.nat(), member),
      routes: fc.oneof(fc.array(entry(CONTRADICTIONS.routes[0]!)), member),
      services: fc.oneof(fc.array(entry({ name: 'model' })), member),
      tenants: fc.oneof(fc.array(entry(CONTRADICTIONS.tenants[1]!)), member)
    }, { requiredKeys: [] })
    fc.assert(fc.property(fc.oneof(config, member), fc.oneof(config, member), (value, other) => {
      const text = JSON.stringify(value, null, 1)
      const findings = checkConfig(text, { file: 'f', maxHeldBytes: 1 })
      expect(findings.every(({ line }) => line >= 0 && line <= text.split('\n').length)).toEqual(true)
      compareConfigs(JSON.parse(text), JSON.parse(JSON.stringify(other)))
    }))
  })
})

describe('JsonLocator', () => {
  it('should find the line of each key, whatever strings hold', () => {
    const locator = new JsonLocator('{"a":\n"}\\"\\\\",\n"b": [1,\n{"c": null}, [\n2]]}')
    const paths = [['a'], ['b'], ['b', 0], ['b', 1, 'c'], ['b', 2, 0], ['b', 9], ['d']]
    expect(paths.map(path => locator.getLine(path))).toEqual([1, 3, 3, 4, 5, 3, 0])
  })
})

describe('compareConfigs', () => {
  it('should state what each difference means for requests in progress', function () {
    expect(compareConfigs({ ...CONTRADICTIONS, version: 3 }, CLEAN)).toMatchSnapshot(this)
    expect(compareConfigs(CLEAN, { ...CLEAN, version: 2, routes: [{ ...ROUTE, timeoutMs: 1, retained: true }] })).toMatchSnapshot(this)
    expect(compareConfigs(CLEAN, CLEAN).length).toEqual(1)
  })
})

describe('wisteriactl check', () => {
  let folder: string

  beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'wisteria-check-')) })
  afterEach(() => { rmSync(folder, { recursive: true }) })

  // The check was a program of its own, so that the name that operators know had no command `check`.
  it('should be a command beside all others', () => {
    const env = { ...process.env, NO_COLOR: '1', FORCE_COLOR: '0' }
    const { status, stdout } = spawnSync(process.execPath, ['--import=tsx', 'platform/wisteriactl.ts', '--help'], { encoding: 'utf8', env })
    expect([status, ...[...stdout.matchAll(/^ +wisteriactl ([a-z-]+)/gm)].map(([, name]) => name)]).toEqual([
      0, 'apply', 'check', 'diff', 'drain', 'explain', 'explain', 'hash-key', 'logs', 'logs', 'status', 'validate'
    ])
  })

  it('should exit with 0 for a clean file, 1 for findings, and 2 for a file that it can not read', () => {
    const run = (text: string, ...args: string[]): number | null => {
      const file = join(folder, 'new.json')
      writeFileSync(file, text)
      return spawnSync(process.execPath, ['--import=tsx', 'platform/wisteriactl.ts', 'check', file, ...args]).status
    }
    expect([
      run(JSON.stringify(CLEAN)),
      run(JSON.stringify(CLEAN), '--against', join(folder, 'new.json'), '--json'),
      run(JSON.stringify(CONTRADICTIONS)),
      run('{'),
      run('['.repeat(100_000) + ']'.repeat(100_000)),
      run('{}', '--against', join(folder, 'missing.json')),
      run('{}', '--unknown')
    ]).toEqual([0, 0, 1, 2, 2, 2, 2])
  })

  // Only JSON was read, and any TOML ended with 2.
  // What gateways would start with was seen at the next start of all of them only.
  it('should check settings as the platform renders them', () => {
    const run = (fields: object): string => {
      const file = join(folder, 'local.json')
      writeFileSync(file, JSON.stringify(fields))
      const args = ['--import=tsx', 'platform/wisteriactl.ts', 'check', 'deploy/settings.toml', '--fields', file]
      const { status, stdout } = spawnSync(process.execPath, args, { encoding: 'utf8' })
      return `${status} ${stdout.trimEnd()}`
    }
    const fields = {
      nodeName: 'g',
      ip: '10.0.0.1',
      zone: 'a',
      zones: { a: 'r' },
      listenAddrs: { front: '10.0.0.1:1', readyAddr: '10.0.0.1:2' },
      portRange: [3, 4],
      limits: { memoryMb: 210, maxFds: 8_200 },
      bounds: { drainTimeoutMs: 2_500, graceS: 8.5 },
      provider: { address: '10.0.0.9:1', rowBytes: 65_536, writesPerS: 800 }
    }
    const file = 'deploy/settings.toml (rendered)'
    const withoutGrace = { ...fields, bounds: { graceS: true, drainTimeoutMs: 1 } }
    expect([fields, withoutGrace, { ...fields, nodeName: undefined }].map(run)).toEqual([
      '0 0 finding(s)',
      `1 ${file}:22: stop.grace_s: wrong type, gateways use the default; expected number (from bounds.graceS)\n1 finding(s)`,
      `1 ${file}:3: id: no value; expected a value (from nodeName)\n1 finding(s)`
    ])
  })

  it('should exit with the same codes for TOML', () => {
    const run = (...args: string[]): string => {
      const { status, stdout } = spawnSync(process.execPath, ['--import=tsx', 'platform/wisteriactl.ts', 'check', ...args], { encoding: 'utf8' })
      return `${status} ${stdout.trimEnd().split('\n').at(-1)}`
    }
    const file = join(folder, 'new.toml')
    writeFileSync(file, '[[workspace]]\n')
    expect([
      run('examples/workshop', '--against', 'examples/workshop'),
      run('examples/workshop/programs.toml', 'examples/workshop/services.toml'),
      run(file, '--against', 'examples/workshop'),
      run('deploy/settings.toml'),
      run(join(folder, 'missing.toml'))
    ]).toEqual(['0 0 finding(s), 0 difference(s)', '0 0 finding(s)', '1 2 finding(s), not compared', '2 ', '2 '])
  })
})
