import type { z } from 'zod'
import { ACCEPT_ALL_MS, StopSchedule } from '../connection/index.js'
import { formatPath, GATEWAY_SETTINGS, parseToml, TomlLocator, type Finding } from '../config/index.js'
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

const MAX_PORT = 65_535

/** Host that listens on all addresses of the machine. */
const ANY_HOST = '0.0.0.0'

/** Finds errors and contradictions in the settings of a gateway. */
export function checkGatewaySettings (text: string, { file, heapBytes }: GatewayCheckOptions): GatewaySettingsResult {
  const findings: Finding[] = parseToml(file, text, GATEWAY_SETTINGS).swap().orDefault([])
  if (findings.length > 0) return { findings, content: undefined }
  const settings = parseToml(file, text, GATEWAY_SETTINGS.in).unsafeCoerce()
  const locator = new TomlLocator(text)
  const add = (path: readonly PropertyKey[], problem: string, expected: string): void => {
    findings.push({ file, line: locator.getLine(path), key: formatPath(path), problem, expected })
  }
  const { failure_domain: domain, regions, stop, limits } = settings
  if (!Object.hasOwn(regions, domain)) add(['failure_domain'], `no region is stated for "${domain}"`, 'a key of [regions]')
  checkAddresses(settings, add)
  const servingMs = new StopSchedule({ startedAt: 0, graceMs: stop.grace_ms }).getServingEnd()
  if (servingMs < ACCEPT_ALL_MS) {
    const problem = `requests are accepted for ${ACCEPT_ALL_MS} ms after the signal to stop, but have to end within ${servingMs} ms`
    add(['stop', 'grace_ms'], problem, `at least ${ACCEPT_ALL_MS + stop.grace_ms - servingMs}`)
  }
  if (limits.memory_mb !== undefined && limits.memory_mb * MEGABYTE < heapBytes) {
    const problem = `${limits.memory_mb * MEGABYTE} bytes is less than the heap limit of a gateway, ${Math.floor(heapBytes)} bytes`
    add(['limits', 'memory_mb'], problem, 'more memory, or gateways with a lower heap limit (--heap-mb)')
  }
  return { findings, content: settings }
}

/** Checks that each address can be used, and that no two servers need the same one. */
function checkAddresses (
  { listen, store }: RawGatewaySettings, add: (path: readonly PropertyKey[], problem: string, expected: string) => void
): void {
  const addresses = [
    ...Object.entries(listen).map(([name, address]) => ({ path: ['listen', name], address })), { path: ['store', 'address'], address: store.address }
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
