import { expect } from 'earl'
import { decodeConfig } from '../../platform/decodeConfig.js'
import { PlatformProtocol } from '../../platform/PlatformProtocol.js'
import { Header } from '../../platform/headers.js'
import type { CallRequest } from '../../src/core/forward/index.js'

/** JSON of values that the operator or a caller may state; undefined leaves the member out. */
const VALUES = [undefined, 'null', 'true', '"5"', '0', '-1', '2.5', '8.0', '1e300', '[]']

const ROUTE = {
  name: 'r',
  host: 'h',
  pathPrefix: '/a/',
  kind: 'streaming',
  service: 's',
  timeoutMs: 4_000,
  targetLatencyMs: 300,
  priority: 1,
  maxAttempts: 2,
  retained: true,
  retentionS: 60,
  targetGapMs: 400
}
const CONFIG = {
  version: 7,
  routes: [ROUTE],
  services: [{ name: 's', maxConns: 10, healthPath: '/', engine: { tokensPerEvent: 3, kvCapacity: 100 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
}

/** Every figure of the configuration, as the path to it. */
const CONFIG_FIGURES = [
  'version', 'routes.0.timeoutMs', 'routes.0.targetLatencyMs', 'routes.0.priority', 'routes.0.maxAttempts', 'routes.0.retained', 'routes.0.retentionS',
  'routes.0.targetGapMs', 'services.0.maxConns', 'services.0.engine', 'services.0.engine.tokensPerEvent', 'services.0.engine.kvCapacity', 'limits',
  'limits.maxHeaderBytes', 'limits.maxBodyBytes', 'limits.headerTimeoutMs', 'limits.idleTimeoutMs'
]

function change (path: string, json: string | undefined): Uint8Array {
  const config = structuredClone(CONFIG) as unknown as Record<string, unknown>
  const names = path.split('.')
  const parent = names.slice(0, -1).reduce<Record<string, unknown>>((value, name) => value[name] as Record<string, unknown>, config)
  if (json === undefined) Reflect.deleteProperty(parent, names.at(-1)!)
  else parent[names.at(-1)!] = 'CHANGED'
  return Buffer.from(JSON.stringify(config).replace('"CHANGED"', () => json!))
}

/** Gets the figures of a decoded configuration that differ from those of the unchanged one, or why it was rejected. */
function getOutcome (value: Uint8Array): string {
  const flatten = (config: Uint8Array) => decodeConfig(config).map(({ version, routes, services, limits, replaced }) => {
    return { version, ...routes[0]!, backends: undefined, ...services.get('s')!, ...limits, replaced }
  })
  const usual = flatten(Buffer.from(JSON.stringify(CONFIG))).unsafeCoerce()
  return flatten(value).caseOf({
    Left: problem => `rejected: ${problem.split('\n').at(-1)!.trim()}`,
    Right: figures => {
      const isSame = (key: string, figure: unknown): boolean => JSON.stringify(figure) === JSON.stringify(Reflect.get(usual, key))
      const changed = Object.entries(figures).filter(([key, figure]) => key !== 'replaced' && !isSame(key, figure))
      return [...changed.map(([key, figure]) => `${key} ${String(figure)}`), ...figures.replaced ?? []].join('; ')
    }
  })
}

// Guards against figures that make gateways reject a whole configuration, so that none that starts serves (the class of review/9).
describe('figures of the configuration', () => {
  it('should reject a version only for figures without which a promise can not be kept', () => {
    const needed = ['version', 'routes.0.timeoutMs', 'services.0.engine', 'services.0.engine.tokensPerEvent', 'routes.0.retained']
    for (const path of CONFIG_FIGURES) {
      for (const json of VALUES) {
        if (getOutcome(change(path, json)).startsWith('rejected')) expect([path, json, needed.includes(path)]).toEqual([path, json, true])
      }
    }
  })

  it('should do with each value what is written down', function () {
    const table = CONFIG_FIGURES.map(path => [path, Object.fromEntries(VALUES.map(json => [json ?? 'absent', getOutcome(change(path, json))]))])
    expect(Object.fromEntries(table)).toMatchSnapshot(this)
  })
})

describe('figures of headers', () => {
  const protocol = new PlatformProtocol()
  const texts = ['', '5', '2.5', '8.0', '0', '-1', '5,-6', '1e3', '1e400', 'NaN', '0x10', 'true', '5,6', ' 7 ', 'a:b', 'a:-1']

  const decode = (name: string, text: string): CallRequest => protocol.decodeRequest({
    method: 'GET', url: '/a/', rawHeaders: ['Host', 'h', 'X-Request-Id', 'r', 'X-Program-Id', 'p', name, text]
  }).unsafeCoerce()

  /** Figures of a request, by the header that states them. */
  const figures: Readonly<Record<string, (req: CallRequest) => unknown>> = {
    [Header.TimeoutMs]: req => req.timeoutMs,
    [Header.TokenUsage]: req => [req.promptTokens, req.maxOutputTokens],
    [Header.PromptPrefix]: req => req.promptSegments.map(({ id, tokens }) => `${id}:${tokens}`),
    [Header.ProgramDeadlineMs]: req => req.program?.remainingMs,
    [Header.TokenBudget]: req => req.program?.tokenBudget
  }

  it('should do with each value of a request what is written down', function () {
    const table = Object.entries(figures).map(([name, get]) => {
      return [name, Object.fromEntries(texts.map(text => [`"${text}"`, JSON.stringify(get(decode(name, text))) ?? 'none']))]
    })
    expect(Object.fromEntries(table)).toMatchSnapshot(this)
  })

  it('should do with each value of a response what is written down', function () {
    const limit = (text: string): string => String(protocol.decodeResponse(200, [Header.ServerLimit, text]).requestsPerSecond ?? 'none')
    const leaving = (text: string): boolean => protocol.decodeResponse(200, [Header.ServerLeaving, text]).isLeaving
    expect(Object.fromEntries(texts.map(text => [`"${text}"`, `limit ${limit(text)}, leaving ${leaving(text)}`]))).toMatchSnapshot(this)
  })
})
