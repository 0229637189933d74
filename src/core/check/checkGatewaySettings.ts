import { z } from 'zod'
import { ACCEPT_ALL_MS, StopSchedule } from '../connection/index.js'
import {
  formatPath, GATEWAY_SETTINGS, GATEWAY_SETTINGS_FORMAT, getGraceMs, parseSettings, parseToml, readSettingsTables, TomlLocator, type Finding
} from '../config/index.js'
import { MEGABYTE } from '../limits/index.js'

/** Settings of a gateway by the names of their file, with defaults. */
export type RawGatewaySettings = z.output<typeof GATEWAY_SETTINGS.in>

/** Options of {@link checkGatewaySettings}. */
export interface GatewayCheckOptions {
  /** Name under which findings are reported. */
  readonly file: string
  /** Heap limit of the gateway in bytes. */
  readonly heapBytes: number
}

/** Result of {@link checkGatewaySettings}. */
export interface GatewaySettingsResult {
  readonly findings: Finding[]
  /** Undefined if the text has errors against the schema. */
  readonly content: RawGatewaySettings | undefined
}

/** Records a finding at a key. */
type AddFinding = (path: readonly PropertyKey[], problem: string, expected: string) => void

const MAX_PORT = 65_535

/** Host that listens on all addresses of the machine. */
const ANY_HOST = '0.0.0.0'

/** Finds errors and contradictions in the settings of a gateway; a table with errors does not hide what is wrong in others. */
export function checkGatewaySettings (text: string, { file, heapBytes }: GatewayCheckOptions): GatewaySettingsResult {
  const findings: Finding[] = parseSettings(file, text, GATEWAY_SETTINGS_FORMAT).caseOf({
    Left: errors => errors,
    Right: ({ replaced }) => replaced.map(finding => ({ ...finding, problem: `${finding.problem}, gateways use the default` }))
  })
  const content = parseToml(file, text, GATEWAY_SETTINGS.in).toMaybe().extract()
  const locator = new TomlLocator(text)
  const add: AddFinding = (path, problem, expected) => {
    findings.push({ file, line: locator.getLine(path), key: formatPath(path), problem, expected })
  }
  const { failure_domain: domain, regions, listen, store, stop, limits } = decodeTables(readSettingsTables(file, text).orDefault({}))
  if (domain !== undefined && regions !== undefined && !Object.hasOwn(regions, domain)) {
    add(['failure_domain'], `no region is stated for "${domain}"`, 'a key of [regions]')
  }
  checkAddresses({ ...listen }, store?.address, add)
  if (stop !== undefined) {
    const graceMs = getGraceMs(stop)
    const servingMs = new StopSchedule({ startedAt: 0, graceMs }).getServingEnd()
    const problem = `requests are accepted for ${ACCEPT_ALL_MS} ms after the signal to stop, but have to end within ${servingMs} ms`
    const key = stop.grace_s === undefined ? 'grace_ms' : 'grace_s'
    if (servingMs < ACCEPT_ALL_MS) add(['stop', key], problem, `at least ${ACCEPT_ALL_MS + graceMs - servingMs} ms`)
  }
  if (limits?.memory_mb !== undefined && limits.memory_mb * MEGABYTE < heapBytes) {
    const problem = `${limits.memory_mb * MEGABYTE} bytes is less than the heap limit of a gateway, ${Math.floor(heapBytes)} bytes`
    add(['limits', 'memory_mb'], problem, 'more memory, or gateways with a lower heap limit (--heap-mb)')
  }
  return { findings, content }
}

/** Decodes the tables and root keys that have no errors. */
function decodeTables (raw: Readonly<Record<string, unknown>>): Partial<RawGatewaySettings> {
  return Object.fromEntries(Object.entries(GATEWAY_SETTINGS.in.shape).flatMap(([key, schema]) => {
    const { success, data } = schema.safeParse(raw[key])
    return success ? [[key, data]] : []
  }))
}

/** Checks that each address can be used, and that no two servers need the same one. */
function checkAddresses (listen: Readonly<Record<string, string | undefined>>, store: string | undefined, add: AddFinding): void {
  const addresses = [
    ...Object.entries(listen).flatMap(([name, address]) => address === undefined ? [] : [{ path: ['listen', name], address }]),
    ...(store === undefined ? [] : [{ path: ['store', 'address'], address: store }])
  ].map(({ path, address }) => {
    const [host, port] = address.split(':') as [string, string]
    return { path, host, port: Number(port), isListener: path[0] === 'listen' }
  })
  for (const [at, { path, host, port, isListener }] of addresses.entries()) {
    if (port > MAX_PORT) add(path, `port ${port}`, `a port up to ${MAX_PORT}`)
    // With port 0 the operating system chooses a free one.
    if (port === 0 && !isListener) add(path, 'port 0', 'the port of the store')
    const other = port === 0
      ? undefined
      : addresses.slice(0, at).find(earlier => earlier.port === port &&
        (earlier.host === host || (isListener && (earlier.host === ANY_HOST || host === ANY_HOST))))
    if (other !== undefined) add(path, `${formatPath(other.path)} uses the same address`, 'an address used once')
  }
}
