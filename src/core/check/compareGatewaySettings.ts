import type { RawGatewaySettings } from './checkGatewaySettings.js'
import type { ConfigDifference } from './ConfigDifference.js'

const AT_NEXT_START = 'used from the next start of the gateway; requests in progress are not affected before'

const GRACE_EFFECT = 'applied within 2 s; requests in progress end, or not, within the new time when the gateway stops'

/** Effects of the settings that a gateway applies while it runs; `Gateway.setSettings` and `StoreClient.setAddress` apply them. */
const RUNNING_EFFECTS: Readonly<Record<string, string>> = {
  'stop.grace_s': GRACE_EFFECT,
  'stop.grace_ms': GRACE_EFFECT,
  'store.address': 'applied within 2 s, also to the reads and writes of requests in progress from then on'
}

/** Compares the settings of a gateway with those in force, defaults included. */
export function compareGatewaySettings (inForce: RawGatewaySettings, next: RawGatewaySettings): ConfigDifference[] {
  const before = flatten(inForce)
  const after = flatten(next)
  return [...new Set([...before.keys(), ...after.keys()])].flatMap<ConfigDifference>(subject => {
    if (before.get(subject) === after.get(subject)) return []
    const change = !before.has(subject) ? 'added' : after.has(subject) ? 'changed' : 'removed'
    return [{ subject, change, effect: RUNNING_EFFECTS[subject] ?? AT_NEXT_START }]
  })
}

/** Gets the settings by their dotted keys; all tables have one level. */
function flatten (settings: RawGatewaySettings): Map<string, unknown> {
  const content = new Map<string, unknown>()
  for (const [key, value] of Object.entries(settings)) {
    if (typeof value !== 'object') content.set(key, value)
    else for (const [member, item] of Object.entries(value)) content.set(`${key}.${member}`, item)
  }
  return content
}
