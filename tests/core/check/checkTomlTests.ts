import { readFileSync } from 'node:fs'
import { expect } from 'earl'
import { checkToml, TomlCheckError, type TomlCheckResult } from '../../../src/core/check/index.js'
import { formatFinding, type DocumentTexts } from '../../../src/core/config/index.js'

const SERVICES = readFileSync('examples/workshop/services.toml', 'utf8')
const PROGRAMS = readFileSync('examples/workshop/programs.toml', 'utf8')
const WORKSHOP = { 'services.toml': SERVICES, 'programs.toml': PROGRAMS }
const HASH = 'sha256:5a17:1c563f43dfaac08812308d49be52e1271c7cbc1d98a1ef770bf58c710316bb90'
const SETTINGS = `id = "g"
failure_domain = "a"
[regions]
a = "r"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
metrics = "10.0.0.1:3"
peers = "10.0.0.1:4"
[store]
address = "10.0.0.9:1"
row_bytes = 65536
[stop]
grace_ms = 8000
`

function check (texts: DocumentTexts, inForce?: DocumentTexts): TomlCheckResult {
  return checkToml({ texts, inForce, heapBytes: 120_000_000 })
}

/** Gets the findings by place and problem, without what is expected. */
function getProblems (texts: DocumentTexts): string[] {
  return check(texts).findings.map(finding => formatFinding(finding).replace(/; expected .*/, ''))
}

function replace (text: string, ...pairs: ReadonlyArray<readonly [string, string]>): string {
  return pairs.reduce((result, [from, to]) => {
    expect(result.includes(from)).toEqual(true)
    return result.replace(from, to)
  }, text)
}

describe('checkToml', () => {
  it('should find nothing in clean documents and settings', () => {
    expect([getProblems(WORKSHOP), getProblems({ 's.toml': SETTINGS })]).toEqual([[], []])
  })

  // Errors that are reported one by one cost an operator one run for each.
  it('should find the errors of all documents at once', () => {
    const services = replace(SERVICES, ['slots = 8', 'slots = "8"'], ['kind = "plain"', 'kind = "plane"'])
    const programs = replace(PROGRAMS, ['share = 2', 'shares = 2'], ['max_children = 4', 'max_children = 101'])
    expect(getProblems({ 's.toml': services, 'p.toml': programs })).toEqual([
      's.toml:14: service[0].slots: wrong type',
      's.toml:25: service[1].kind: wrong value',
      'p.toml:9: program[0].max_children: 101 is never reached with budget.calls = 100',
      'p.toml:22: workspace[0].shares: unknown key'
    ])
    const settings = replace(SETTINGS, ['row_bytes = 65536', 'row_bytes = 1'], ['grace_ms = 8000', 'grace_ms = 2000'])
    expect(getProblems({ 's.toml': settings }).map(problem => problem.split(': ')[1])).toEqual(['store.row_bytes', 'stop.grace_ms'])
  })

  // Documents with such entries were applied, and requests failed for them afterwards.
  it('should find entries that never match and limits that contradict each other, without showing a hash', () => {
    const services = replace(SERVICES, ['["neuenburg"]', '["neuenburg", "zug"]']) + `
[[service]]
name = "unused"
kind = "engine"
model = "m"
placement = {}
operation = [{ name = "o", repeatable = true }]
`
    const programs = replace(PROGRAMS,
      ['calls = 100, seconds = 7200', 'calls = 3, seconds = 59'], ['max_children = 4', 'max_children = 3'], ['["consultation", "guidance"]', '["consultation"]']
    ) + `\n[[workspace]]\nname = "second"\nkey_hashes = ["${HASH}"]\n`
    const problems = getProblems({ 's.toml': services, 'p.toml': programs })
    expect(problems).toEqual([
      's.toml:7: region[1].failure_domains: region zentral has failure domain zug as well',
      's.toml:46: service[2]: no program or workspace uses service unused',
      's.toml:50: service[2].placement: no failure domain has targets',
      's.toml:51: service[2].operation: never matches: callers name operations of plain services only',
      'p.toml:7: program[0].call_timeout_seconds: 60 is never reached with budget.seconds = 59',
      'p.toml:8: program[0].max_repeats: 3 is never reached with budget.calls = 3',
      'p.toml:11: program[1]: no workspace may run program guidance',
      'p.toml:27: workspace[1]: its keys permit no request',
      'p.toml:29: workspace[1].key_hashes[0]: never matches: workspace werkstatt holds the same hash'
    ])
    expect(problems.join().includes('1c563f43')).toEqual(false)
  })

  it('should find settings with which a gateway would not serve', () => {
    const settings = replace(SETTINGS,
      ['failure_domain = "a"', 'failure_domain = "b"'], ['10.0.0.1:2', '0.0.0.0:1'], ['10.0.0.1:3', '10.0.0.1:70000'],
      ['10.0.0.9:1', '10.0.0.1:4'], ['grace_ms = 8000', 'grace_ms = 3499']) + '[limits]\nmemory_mb = 100\n'
    expect(getProblems({ 's.toml': settings })).toEqual([
      's.toml:2: failure_domain: no region is stated for "b"',
      's.toml:7: listen.readiness: listen.callers uses the same address',
      's.toml:8: listen.metrics: port 70000',
      's.toml:11: store.address: listen.peers uses the same address',
      's.toml:14: stop.grace_ms: requests are accepted for 2500 ms after the signal to stop, but have to end within 2499 ms',
      's.toml:16: limits.memory_mb: 100000000 bytes is less than the heap limit of a gateway, 120000000 bytes'
    ])
  })

  it('should state what differences mean for calls in progress', () => {
    const next = {
      's.toml': replace(SERVICES,
        ['repeatable = false', 'repeatable = true'], ['slots = 8', 'slots = 9'], ['luzern = 3\nzug = 2', 'zug = 2\nluzern = 3'], ['name = "dispatch"', 'name = "send"']
      ),
      'p.toml': replace(PROGRAMS, ['max_tokens_per_call = 512', 'max_tokens_per_call = 513'], ['tokens = 20000', 'tokens = 20001'])
    }
    const { findings, differences } = check(next, WORKSHOP)
    expect([findings, differences?.map(({ subject, change, effect }) => `${subject} ${change}: ${effect.split(';')[0]}`)]).toEqual([[], [
      'service "kanzlei": operation "booking": repeatable changed: calls in progress are resent, or not, as before',
      'service "kanzlei": operation "dispatch" removed: calls in progress are completed',
      'service "kanzlei": operation "send" added: no effect on calls in progress',
      'service "ratgeber": slots changed: no effect on calls in progress',
      'program "consultation": budget changed: open sessions keep their budget',
      'program "consultation": max_tokens_per_call changed: calls in progress keep the former value'
    ]])
    const settings = replace(SETTINGS, ['grace_ms = 8000', 'grace_ms = 9000'], ['a = "r"', 'a = "r"\nb = "r"']) + '[quotas]\nwindow_s = 1\n'
    expect(check({ 'n.toml': settings }, { 's.toml': SETTINGS }).differences?.map(({ subject, change, effect }) => [subject, change, effect.split(';')[0]])).toEqual([
      ['stop.grace_ms', 'changed', 'applied within 2 s'],
      ['regions.b', 'added', 'used from the next start of the gateway'],
      ...['window_s', 'overshoot', 'slack'].map(key => [`quotas.${key}`, 'added', 'used from the next start of the gateway'])
    ])
  })

  // A version that was not compared must not look like one without differences.
  it('should compare nothing with errors, and throw for no TOML, a wrong version in force or another kind', () => {
    expect(check({ 's.toml': 'region = 1' }, WORKSHOP).differences).toEqual(undefined)
    expect(() => check({ 's.toml': 'a = ' })).toThrow(TomlCheckError, 's.toml:1')
    expect(() => check(WORKSHOP, { 's.toml': 'region = 1' })).toThrow(TomlCheckError, 's.toml:1: region')
    expect(() => check(WORKSHOP, { 's.toml': SETTINGS })).toThrow(TomlCheckError, 'not both')
  })
})
