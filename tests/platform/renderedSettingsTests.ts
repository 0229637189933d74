import { readFileSync } from 'node:fs'
import { expect } from 'earl'
import { formatFinding, GATEWAY_SETTINGS_FORMAT, parseSettings } from '../../src/core/config/index.js'
import { parseFields, renderTemplate, TemplateError } from '../../platform/template/index.js'

const TEMPLATE = readFileSync('deploy/settings.toml', 'utf8')

/** Fields of the platform for one machine, as its pages print them. */
const FIELDS = {
  nodeName: 'edge-1',
  ip: '10.1.0.38',
  zone: 'luzern',
  zones: { luzern: 'zentral', neuenburg: 'west' },
  listenAddrs: { front: '10.1.0.38:8149', readyAddr: '10.1.0.38:8141' },
  portRange: [7_380, 7_395],
  limits: { memoryMb: 210, maxFds: 8_200 },
  bounds: { drainTimeoutMs: 2_500, graceS: 8, quotaWindowS: 5, quotaOvershoot: 0.1, quotaSlack: 20 },
  provider: { address: '10.200.1.7:8142', rowBytes: 65_536, writesPerS: 800 }
}

/** Every field that the template uses. */
const USED_FIELDS = [
  'nodeName', 'ip', 'zone', 'zones', 'zones.luzern', 'listenAddrs.front', 'listenAddrs.readyAddr', 'portRange', 'portRange.0', 'portRange.1',
  'limits.memoryMb', 'limits.maxFds', 'bounds.drainTimeoutMs', 'bounds.graceS', 'bounds.quotaWindowS', 'bounds.quotaOvershoot',
  'bounds.quotaSlack', 'provider.address', 'provider.rowBytes', 'provider.writesPerS'
]

/** JSON of values that the platform may state for a field; undefined leaves the field out. */
const VALUES = [
  undefined, 'null', 'true', 'false', '0', '7', '9000', '8.5', '2500.25', '9000.0', '1e4', '-3', '1e400', '9007199254740993', '""', '"8.5"', '"a # b"', '"\\ud83d\\ude00"',
  '[]', '[8]', '{}', '{"a":1,"b":2}'
]

/** Replaces a field of the platform's JSON; undefined leaves it out. */
function change (path: string, json: string | undefined): string {
  const mark = '"CHANGED"'
  const fields = structuredClone(FIELDS) as unknown as Record<string, unknown>
  const names = path.split('.')
  const parent = names.slice(0, -1).reduce<Record<string, unknown>>((table, name) => table[name] as Record<string, unknown>, fields)
  if (json === undefined) Reflect.deleteProperty(parent, names.at(-1)!)
  else parent[names.at(-1)!] = 'CHANGED'
  return JSON.stringify(fields).replace(mark, () => json ?? mark)
}

const render = (json: string): string => renderTemplate(TEMPLATE, parseFields(json))
const parse = (json: string): ReturnType<typeof parseSettings<unknown>> => parseSettings('s.toml', render(json), GATEWAY_SETTINGS_FORMAT)

/** Describes what a start does with a value: uses it, starts with others in its place, or refuses. */
function getOutcome (json: string): string {
  return parse(json).caseOf({
    Left: findings => `refused: ${findings.map(formatFinding).join('; ')}`,
    Right: ({ replaced }) => replaced.length === 0 ? 'starts' : `starts without: ${replaced.map(formatFinding).join('; ')}`
  })
}

// Guards against values of the platform that keep every gateway from starting (review/9: graceS 8.5).
describe('settings rendered from the fields of the platform', () => {
  it('should be complete with the fields that the pages print', () => {
    expect(parse(JSON.stringify(FIELDS)).map(({ settings, replaced }) => [settings, replaced]).extract()).toEqual([{
      id: 'edge-1',
      failureDomain: 'luzern',
      regions: { luzern: 'zentral', neuenburg: 'west' },
      listen: { callers: '10.1.0.38:8149', readiness: '10.1.0.38:8141', metrics: '10.1.0.38:7380', peers: '10.1.0.38:7395' },
      store: { address: '10.200.1.7:8142', rowBytes: 65_536, writesPerSecond: 800 },
      graceMs: 8_000,
      drainMs: 2_500,
      limits: { memoryMb: 210, maxFds: 8_200 },
      overload: { targetPriorities: true, admission: true },
      quotaTolerance: { windowMs: 5_000, overshoot: 0.1, slack: 20 },
      placement: 'cost'
    }, []])
  })

  it('should use a grace period in fractions of a second, and a whole one that is written with a point', () => {
    const getGraceMs = (json: string): unknown => parse(change('bounds.graceS', json)).map(({ settings }) => (settings as { graceMs: number }).graceMs).extract()
    expect(['8', '8.0', '8.5', '7.25', '12.125'].map(getGraceMs)).toEqual([8_000, 8_000, 8_500, 7_250, 12_125])
  })

  it('should start with any number that a figure may have, whole, fraction or written with a point', () => {
    const figures = [
      'limits.memoryMb', 'limits.maxFds', 'bounds.drainTimeoutMs', 'bounds.graceS', 'bounds.quotaWindowS', 'bounds.quotaOvershoot', 'bounds.quotaSlack',
      'provider.rowBytes', 'provider.writesPerS'
    ]
    const outcomes = figures.flatMap(field => ['9000', '9000.0', '2500.25', '1e4'].map(json => [field, json, getOutcome(change(field, json))]))
    expect(outcomes.filter(([, , outcome]) => outcome !== 'starts')).toEqual([])
  })

  it('should refuse a start only for an id or an address, and name the field of the platform', () => {
    const needed = ['nodeName', 'ip', 'listenAddrs.front', 'listenAddrs.readyAddr', 'portRange', 'portRange.1', 'provider.address']
    for (const field of USED_FIELDS) {
      for (const json of VALUES) {
        const outcome = getOutcome(change(field, json))
        if (!outcome.startsWith('refused')) continue
        expect([field, json, needed.includes(field)]).toEqual([field, json, true])
        expect([field, json, outcome.includes(`(from ${field.split('.')[0]!}`) || outcome.includes(', portRange)')]).toEqual([field, json, true])
      }
    }
  })

  // The whole table, so that a change of what a value leads to is read before it is committed.
  it('should do with each value of each field what is written down', function () {
    const table = USED_FIELDS.map(field => [field, Object.fromEntries(VALUES.map(json => [json ?? 'absent', getOutcome(change(field, json))]))])
    expect(Object.fromEntries(table)).toMatchSnapshot(this)
  })
})

describe('renderTemplate', () => {
  const fields = parseFields('{"a":{"b":1.0,"c":"x"},"list":[1,{"name":"n"}],"no":false,"nil":null,"zero":0,"text":"a\\"b"}')

  it('should render values, JSON and what is missing', () => {
    expect(renderTemplate('{{a.b}}|{{a}}|{{list.0}}|{{a.b|json}}|{{text}}|{{text|json}}|{{nil}}|{{none}}|{{none|json}}|{{no}}', fields))
      .toEqual('1.0|{"b":1.0,"c":"x"}|1|1.0|a"b|"a\\"b"|||null|false')
  })

  it('should render sections for entries, for values that are present, and for missing ones', () => {
    expect(renderTemplate('{{#a}}{{@}}={{.}}{{,}}{{/a}} {{#list}}[{{@}}{{name}}]{{/list}} {{#zero}}zero{{/zero}}{{#no}}no{{/no}}{{^nil}}nil{{/nil}}', fields))
      .toEqual('b=1.0,c=x [0][1n] zeronil')
  })

  it('should report a section without its end or beginning, and fields that are no object', () => {
    expect(() => renderTemplate('{{#a}}', fields)).toThrow(TemplateError, 'does not end')
    expect(() => renderTemplate('{{/a}}', fields)).toThrow(TemplateError, 'not begun')
    expect(() => parseFields('[1]')).toThrow(TemplateError, 'no JSON object')
  })
})
