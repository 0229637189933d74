import { expect } from 'earl'
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

  it('should skip rows that are not valid registrations', () => {
    const changes = [{ slots: '8' }, { state: 'sleeping' }, { address: 'elsewhere' }, { service: undefined }, { born: 'today' }, { version: undefined }, { version: 2 }]
    const broken = ['no JSON', '[]', {}, ...changes.map(change => ({ ...registration, ...change }))]
    for (const value of broken) expect(decode(value)).toEqual(undefined)
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

  it('should describe the errors in a configuration', () => {
    expect(decodeConfig(toBytes('{')).isLeft()).toEqual(true)
    expect(decodeConfig(toBytes({ version: 1, routes: [{ name: 'r' }] })).extract()).toEqual(expect.includes('routes'))
  })
})
