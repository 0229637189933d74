import { expect } from 'earl'
import fc from 'fast-check'
import { decodeBudgetRow } from '../../src/core/budget/index.js'
import { fromOriginRow } from '../../src/core/origin/index.js'
import { decodePeer } from '../../src/core/peer/index.js'
import { RowDecodeError, type StoredRow } from '../../src/core/platform/index.js'
import { decodeHandover, decodeHolders } from '../../src/core/reserve/index.js'
import { decodeConfig } from '../../platform/decodeConfig.js'
import { decodeTarget } from '../../platform/decodeTarget.js'

const toBytes = (value: unknown): Buffer => Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))

describe('decodeTarget', () => {
  const registration = { service: 'model', address: '10.0.0.1:80', zone: 'here', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, callSeq: 1, born: 5 }
  const decode = (value: unknown) => decodeTarget({ table: 'servers', part: '', key: 'i-1', value: toBytes(value), version: 1 })

  it('should decode the registration of a target', () => {
    expect(decode({ ...registration, state: 'draining', surprise: true })).toEqual({
      id: 'i-1', bornAt: 5, service: 'model', softwareVersion: 'v1', address: '10.0.0.1:80', failureDomain: 'here', isLeaving: true, slots: 8
    })
  })

  it('should decode for how long a target stays slow, and ignore what is no such time', () => {
    const times = [3_000, 0, -1, 1e300, '3000', null, undefined]
    const decoded = times.map(coldLeftMs => decode({ ...registration, coldLeftMs })?.coldMs)
    expect(decoded).toEqual([3_000, undefined, undefined, 1e300, undefined, undefined, undefined])
  })

  it('should skip rows that are not valid registrations', () => {
    const changes = [{ slots: '8' }, { state: 'sleeping' }, { address: 'elsewhere' }, { service: undefined }, { born: 'today' }, { version: undefined }, { version: 2 }]
    const broken = ['no JSON', '[]', {}, ...changes.map(change => ({ ...registration, ...change }))]
    for (const value of broken) expect(decode(value)).toEqual(undefined)
  })

  it('should skip registrations that name no address, or numbers and names that no target has', () => {
    const addresses = ['10.0.0.1:70000', '10.0.0.1:0', '10.0.0.1:', '10.0.0.1:1:2', '256.0.0.1:80', '10.0.0:80', '1.2.3.4.5:80', `10.0.0.1:${'9'.repeat(30)}`]
    const changes = [{ slots: 9e15 }, { slots: 1e300 }, { born: 1e300 }, { born: -1 }, { version: 'v'.repeat(300) }, { zone: [] }, ...addresses.map(address => ({ address }))]
    for (const change of changes) expect([change, decode({ ...registration, ...change })]).toEqual([change, undefined])
  })

  it('should skip ids that no header can name', () => {
    for (const key of ['', ' ', 'a b', 'line\nbreak', '\u0000', 'ünï']) {
      expect(decodeTarget({ table: 'servers', part: '', key, value: toBytes(registration), version: 1 })).toEqual(undefined)
    }
  })
})

describe('the decoders of rows', () => {
  const decoders: ReadonlyArray<(row: StoredRow) => unknown> = [
    decodeTarget, row => decodeConfig(row.value), decodePeer, fromOriginRow, decodeHandover, row => decodeHolders([row])
  ]
  const texts = fc.oneof(
    fc.json({ maxDepth: 4 }),
    fc.string(),
    fc.nat(30_000).map(depth => '['.repeat(depth) + ']'.repeat(depth)),
    fc.constantFrom('1e400', '{"granted":{"a":1e400}}', '{"type":"left","state":{"p":{"spent":-1,"isClosed":0}}}', '["s"]', '{"__proto__":{"granted":{}}}')
  )
  const values = fc.oneof(texts.map(text => Buffer.from(text)), fc.uint8Array({ maxLength: 300 }).map(bytes => Buffer.from(bytes)))

  it('should never throw, whatever another writer has left', () => {
    fc.assert(fc.property(fc.string(), values, (key, value) => {
      for (const decode of decoders) decode({ table: 't', part: '', key, value, version: 1 })
    }), { seed: 31, numRuns: 1_000 })
  })

  it('should report a budget that they cannot decode as unreadable, and not as empty', () => {
    fc.assert(fc.property(values, value => {
      try {
        const { granted } = decodeBudgetRow({ table: 't', part: '', key: 'p', value, version: 1 })
        expect(Object.values(granted).every(tokens => Number.isSafeInteger(tokens) && tokens >= 0)).toEqual(true)
      } catch (err) {
        expect(err instanceof RowDecodeError).toEqual(true)
      }
    }), { seed: 31, numRuns: 1_000 })
  })
})

describe('decodeConfig', () => {
  it('should decode routes with one service and with several services', () => {
    const route = { name: 'r', host: 'Desk.Example', pathPrefix: '/a/', kind: 'non_idempotent', timeoutMs: 5, targetLatencyMs: 3, priority: 1 }
    const backends = [{ service: 's', weight: 90 }, { service: 't', weight: 0 }]
    const config = decodeConfig(toBytes({
      version: 7,
      routes: [
        { ...route, service: 's' },
        { ...route, kind: 'streaming', retained: true, retentionS: 60, backends }
      ],
      services: [{ name: 's', maxConns: 10, engine: { tokensPerEvent: 3 } }]
    })).unsafeCoerce()
    expect(config.routes.map(decoded => [decoded.host, decoded.kind, decoded.backends, decoded.isRetained, decoded.retentionMs])).toEqual([
      ['desk.example', 'non-idempotent', [{ service: 's', weight: 1 }], false, 60_000],
      ['desk.example', 'streaming', [{ service: 's', weight: 90 }], true, 60_000]
    ])
    expect(config.services.get('s')?.tokensPerEvent).toEqual(3)
  })

  // An engine memory that is no number must not reject the whole configuration.
  it('should decode the tokens that engines have memory for, and ignore what is no number of tokens', () => {
    const getMemory = (kvCapacity: unknown): number | undefined => {
      return decodeConfig(toBytes({ version: 1, routes: [], services: [{ name: 's', engine: { kvCapacity } }] })).unsafeCoerce().services.get('s')!.memoryTokens
    }
    expect(getMemory(113_600)).toEqual(113_600)
    expect([0, -1, 1.5, '113600', null, []].map(getMemory)).toEqual(Array(6).fill(undefined))
  })

  it('should describe the errors in a configuration', () => {
    expect(decodeConfig(toBytes('{')).isLeft()).toEqual(true)
    expect(decodeConfig(toBytes({ version: 1, routes: [{ name: 'r' }] })).extract()).toEqual(expect.includes('routes'))
  })

  const workspace = { name: 'a', apiKeys: ['secret-1', 'secret-2'] }
  const decode = (tenants: unknown) => decodeConfig(toBytes(typeof tenants === 'string' ? `{"version":1,"routes":[],"tenants":${tenants}}` : { version: 1, routes: [], tenants }))

  it('should decode workspaces with their priority and quota, and keep no key', () => {
    const config = decode([{ ...workspace, priority: 0, ratePerS: 2.5, burst: 8 }, { name: 'ü b', apiKeys: [], ratePerS: 0, burst: 4 }, { name: 'c', ratePerS: 3 }]).unsafeCoerce()
    expect(config.workspaces!.map(({ workspace }) => workspace)).toEqual([
      { name: 'a', priority: 0, quota: { perSecond: 2.5, burst: 8 } },
      { name: 'ü b', priority: undefined, quota: undefined },
      { name: 'c', priority: undefined, quota: { perSecond: 3, burst: 0 } }
    ])
    expect(JSON.stringify(config)).not.toEqual(expect.includes('secret'))
    expect([decode([]), decode(undefined)].map(config => config.unsafeCoerce().workspaces)).toEqual([[], undefined])
    const route = { name: 'r', host: 'h', pathPrefix: '/', timeoutMs: 5 }
    const routes = decodeConfig(toBytes({ version: 1, routes: [route, { ...route, public: true }] })).unsafeCoerce().routes
    expect(routes.map(({ isPublic }) => isPublic)).toEqual([false, true])
  })

  // A configuration with one of these errors must not replace the one in force, and the log must name no key.
  it('should describe one error of the workspaces without their keys', () => {
    const long = 'x'.repeat(201)
    const errors: Array<[unknown, string]> = [
      [[workspace, { name: 'b', apiKeys: ['secret-2'] }], 'tenants[1].apiKeys[0]: "b" holds a key of "a"'],
      [[workspace, { name: 'a', apiKeys: ['secret-3'] }], 'tenants[1]: the name "a" is used twice'],
      [[{ name: 'a', apiKeys: [''] }], 'tenants[0].apiKeys[0]: the key is empty'],
      [[{ name: 'a', apiKeys: [' '] }], 'tenants[0].apiKeys[0]: the key is empty'],
      [[{ name: 'a', apiKeys: [`secret${long}`] }], 'tenants[0].apiKeys[0]: the key is longer than 200 bytes'],
      [[{ name: long }], 'tenants[0]: the name is longer than 200 bytes'],
      [[{ name: '' }], 'tenants[0]: the name is empty'],
      [[{ name: 'a\r\nX-Evil: 1' }], 'tenants[0]: the name has control characters, or spaces at its start or end'],
      [[{ ...workspace, ratePerS: -1 }], 'tenants[0]: ratePerS: Too small: expected number to be >=0'],
      [[{ ...workspace, burst: 1e12 }], 'tenants[0]: burst: Too big: expected number to be <=1000000'],
      [[{ ...workspace, priority: -1 }], 'tenants[0]: priority: Too small: expected number to be >=0'],
      [[{ ...workspace, ratePerS: 'secret' }], 'tenants[0]: ratePerS: Invalid input: expected number, received string'],
      ['[{"name":"a","ratePerS":1e999}]', 'tenants[0]: ratePerS: Invalid input: expected number, received Infinity'],
      [Array.from({ length: 3_000 }, () => null), 'tenants: 3000 workspaces exceed the limit of 1000'],
      [[null], 'tenants[0]: Invalid input: expected object, received null'],
      [{ a: workspace }, '✖ Invalid input: expected array, received object\n  → at tenants']
    ]
    expect(errors.map(([tenants]) => decode(tenants).extract())).toEqual(errors.map(([, problem]) => problem))
  })

  it('should never throw, whatever the workspaces are', () => {
    const value = fc.oneof(fc.string(), fc.integer(), fc.double(), fc.constant(null), fc.array(fc.string(), { maxLength: 2 }))
    const members = { name: value, apiKeys: value, priority: value, ratePerS: value, burst: value }
    const entry = fc.oneof(value, fc.record(members, { requiredKeys: [] }))
    fc.assert(fc.property(fc.oneof(value, fc.array(entry, { maxLength: 4 })), tenants => {
      const decoded = decode(JSON.stringify(tenants))
      if (decoded.isLeft()) expect(typeof decoded.extract()).toEqual('string')
    }), { seed: 44, numRuns: 1_000 })
  })
})
