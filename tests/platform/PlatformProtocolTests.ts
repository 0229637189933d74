import { expect } from 'earl'
import { PlatformProtocol } from '../../platform/PlatformProtocol.js'

describe('PlatformProtocol', () => {
  const protocol = new PlatformProtocol()
  const decode = (rawHeaders: string[], url = '/a/b?c=1') => protocol.decodeRequest({ method: 'POST', url, rawHeaders })
  const minimal = ['Host', 'Desk.Example:80', 'X-Request-Id', 'r1']

  it('should decode the headers that the gateway uses', () => {
    const call = decode([
      ...minimal, 'X-Timeout-Ms', '4000', 'X-Token-Usage', '1460,80', 'X-Prompt-Prefix', '5c:800,91:410', 'X-Program-Id', 'p', 'X-Session-Id', 's',
      'X-Program-Deadline-Ms', '5200', 'X-Token-Budget', '1088', 'X-Previous-Turn', 't0', 'Last-Event-Id', '7', 'Resumes', 'r0', 'X-Custom', 'x'
    ]).unsafeCoerce()
    expect(call).toEqual({
      id: 'r1',
      method: 'POST',
      requestTarget: '/a/b?c=1',
      path: '/a/b',
      host: 'desk.example',
      headers: call.headers,
      timeoutMs: 4_000,
      affinityKey: undefined,
      program: { id: 'p', session: 's', remainingMs: 5_200, tokenBudget: 1_088 },
      promptTokens: 1_460,
      maxOutputTokens: 80,
      promptSegments: [{ id: '5c', tokens: 800 }, { id: '91', tokens: 410 }],
      apiKey: undefined,
      previousTurn: 't0',
      lastEventId: '7',
      resumedStream: 'r0'
    })
  })

  it('should forward neither hop-by-hop headers nor those that only the gateway may set', () => {
    const call = decode([
      ...minimal, 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'Keep-Alive', '5', 'TE', 'trailers', 'Transfer-Encoding', 'chunked', 'X-Hold', 'h',
      'X-Pin-Ms', '9', 'X-Kv-Backup', '10.0.0.1:1', 'Kv-From', '10.0.0.1:1/x', 'Kv-Fetch', '10.0.0.1:1', 'X-Target-Instance', 'i-9',
      'X-Request-Priority', '0', 'X-Keep', 'yes', 'X-Keep', 'twice'
    ]).unsafeCoerce()
    expect(call.headers).toEqual([...minimal, 'X-Keep', 'yes', 'X-Keep', 'twice'])
  })

  it('should refuse a request with ambiguous headers or without a path', () => {
    for (const headers of [['Host', 'a'], [...minimal, 'X-Request-Id', 'r2'], [...minimal, 'Host', 'b'], [...minimal, 'X-Token-Budget', '1', 'X-Token-Budget', '9']]) {
      expect(decode(headers).isLeft()).toEqual(true)
    }
    expect(decode(minimal, 'http://other/').isLeft()).toEqual(true)
  })

  it('should send the id of the only target that may run the request and the remaining time', () => {
    const call = decode([...minimal, 'X-Timeout-Ms', '4000']).unsafeCoerce()
    const target = { id: 'i-1', bornAt: 1, service: 's', softwareVersion: 'v1', address: '10.0.0.1:1', failureDomain: 'z', isLeaving: false, slots: 1 }
    expect(protocol.getTargetHeaders(call, { target, timeoutMs: 1_234.9, lastEventId: '7' })).toEqual([
      ...minimal, 'x-timeout-ms', '1234', 'x-target-instance', 'i-1', 'last-event-id', '7'
    ])
  })

  // A target trusts the name, and the key would be known to it.
  it('should send the name of the workspace to the target, but neither its key nor a name that the caller sent', () => {
    const call = decode([...minimal, 'api-key', 'secret', 'X-Tenant', 'b', 'x-tenant', 'c']).unsafeCoerce()
    const target = { id: 'i-1', bornAt: 1, service: 's', softwareVersion: 'v1', address: '10.0.0.1:1', failureDomain: 'z', isLeaving: false, slots: 1 }
    const own = [...minimal, 'x-timeout-ms', '1', 'x-target-instance', 'i-1']
    expect(call.apiKey).toEqual('secret')
    expect(protocol.getTargetHeaders(call, { target, timeoutMs: 1 })).toEqual(own)
    expect(protocol.getTargetHeaders(call, { target, timeoutMs: 1, workspace: 'ü' })).toEqual([...own, 'x-tenant', 'Ã¼'])
    expect(decode([...minimal, 'Api-Key', 'k1', 'Api-Key', 'k2']).unsafeCoerce().apiKey).toEqual(undefined)
    expect(decode([...minimal, 'Api-Key', 'Ã¼']).unsafeCoerce().apiKey).toEqual('ü')
  })

  it('should treat a request as not run only when the target states it', () => {
    expect(protocol.decodeResponse(503, ['X-Not-Executed', '1']).isNotRun).toEqual(true)
    expect(protocol.decodeResponse(421, []).isNotRun).toEqual(true)
    expect(protocol.decodeResponse(503, []).isNotRun).toEqual(false)
    expect(protocol.decodeResponse(200, ['Content-Encoding', 'gzip']).isEncoded).toEqual(true)
  })

  it('should read the request rate that a target states, and no other value', () => {
    const rates = ['2.5', '0', '', 'many', '-1'].map(value => protocol.decodeResponse(200, ['Server-Limit', value]).requestsPerSecond)
    expect(rates).toEqual([2.5, 0, undefined, undefined, undefined])
    expect(protocol.decodeResponse(200, []).requestsPerSecond).toEqual(undefined)
    expect(protocol.decodeResponse(421, []).isMisdirected).toEqual(true)
    expect(protocol.decodeResponse(500, ['Server-Leaving', '1']).isLeaving).toEqual(true)
    expect([[], ['Server-Leaving', '0']].map(headers => protocol.decodeResponse(200, headers).isLeaving)).toEqual([false, false])
  })
})
