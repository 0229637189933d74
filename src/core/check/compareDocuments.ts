import { diffDocuments, type Documents, type OperationStructure } from '../config/index.js'
import type { ConfigDifference } from './ConfigDifference.js'

type Effects = Readonly<Record<ConfigDifference['change'], string>>

const COMPLETED = 'calls in progress are completed'
const FORMER = 'calls in progress keep the former value; later calls, also of open sessions, use the new one'
const CONFLICT = 'a caller that sends an earlier call of a session again gets 409 (call-conflict)'
const NO_EFFECT = 'no effect on calls in progress'
const SIDECAR = `${NO_EFFECT}; a sidecar uses its own settings, which have to be changed as well`

const EFFECTS: Readonly<Record<string, Effects>> = {
  region: { added: NO_EFFECT, removed: NO_EFFECT, changed: NO_EFFECT },
  service: {
    added: NO_EFFECT,
    removed: `${COMPLETED}; later requests to a plain service get 404 (service-unknown)`,
    changed: SIDECAR
  },
  operation: {
    added: NO_EFFECT,
    removed: `${COMPLETED}; later ones, also of open sessions, get 404 (service-unknown)`,
    changed: FORMER
  },
  program: {
    added: 'no effect on open sessions; workspaces that name it may open sessions from then on',
    removed: `${COMPLETED}; later ones, also of open sessions, get 404 (program-unknown)`,
    changed: FORMER
  },
  workspace: {
    added: 'its keys are accepted from then on',
    removed: `${COMPLETED}; later requests with its keys, also those of open sessions, get 401 (key-wrong)`,
    changed: FORMER
  }
}

/** Effects of keys that differ from those of other keys of their section. */
const KEY_EFFECTS: Readonly<Record<string, string>> = {
  'service.kind': `${COMPLETED}; later requests are handled as the new kind`,
  'service.model': 'targets are ordered to load the new model; calls in progress are neither stopped nor resent for it',
  'service.placement': `${NO_EFFECT}; no target is started or stopped by it`,
  'operation.repeatable': 'calls in progress are resent, or not, as before; later calls follow the new value',
  'program.service': `calls in progress stay at the former service; ${CONFLICT}`,
  'program.tools': `${COMPLETED}; later calls, also of open sessions, may name the listed services only`,
  'program.budget': 'open sessions keep their budget; sessions that are opened from then on get the new one',
  'program.max_tokens_per_call': `${FORMER}; if the call states no number of tokens, ${CONFLICT}`,
  'program.max_children': 'open sub-agents remain; applies to those that are opened from then on',
  'workspace.share': 'applies at once, also to further attempts of calls in progress',
  'workspace.programs': `${COMPLETED}; later calls of programs that are no longer listed, also of open sessions, get 404 (program-unknown)`,
  'workspace.services': `${COMPLETED}; later requests to services that are no longer listed get 404 (service-unknown)`,
  'workspace.key_hashes': `${COMPLETED}; later requests with a key whose hash was removed get 401 (key-wrong)`
}

/** Compares documents with those in force and states what each difference means for calls in progress. */
export function compareDocuments (inForce: Documents, next: Documents): ConfigDifference[] {
  return diffDocuments(sortPlacements(inForce), sortPlacements(next)).flatMap<ConfigDifference>(({ kind, item, keys }) => {
    const space = item.indexOf(' ')
    const [section, name] = [item.slice(0, space), item.slice(space + 1)]
    const subject = `${section} "${name}"`
    if (kind !== 'changed') return [{ subject, change: kind, effect: EFFECTS[section]![kind] }]
    return keys.flatMap(key => key === 'operations'
      ? compareOperations(subject, getOperations(inForce, name), getOperations(next, name))
      : [toChange(subject, section, toTomlKey(key))])
  })
}

/** Sorts the failure domains of placements, whose order means nothing. */
function sortPlacements (documents: Documents): Documents {
  const services = documents.services.map(service => {
    return { ...service, placement: Object.fromEntries(Object.entries(service.placement).sort()) }
  })
  return { ...documents, services }
}

function compareOperations (
  subject: string, before: ReadonlyMap<string, OperationStructure>, after: ReadonlyMap<string, OperationStructure>
): ConfigDifference[] {
  return [...new Set([...before.keys(), ...after.keys()])].flatMap<ConfigDifference>(name => {
    const operation = `${subject}: operation "${name}"`
    const [old, current] = [before.get(name), after.get(name)]
    if (old === undefined) return [{ subject: operation, change: 'added', effect: EFFECTS.operation!.added }]
    if (current === undefined) return [{ subject: operation, change: 'removed', effect: EFFECTS.operation!.removed }]
    const keys = ['repeatable', 'timeoutSeconds'] as const
    return keys.filter(key => old[key] !== current[key]).map(key => toChange(operation, 'operation', toTomlKey(key)))
  })
}

function getOperations ({ services }: Documents, name: string): Map<string, OperationStructure> {
  return new Map(services.find(service => service.name === name)?.operations.map(operation => [operation.name, operation]))
}

function toChange (subject: string, section: string, key: string): ConfigDifference {
  return { subject: `${subject}: ${key}`, change: 'changed', effect: KEY_EFFECTS[`${section}.${key}`] ?? EFFECTS[section]!.changed }
}

/** Gets the name of a key in documents, such as `max_children` for `maxChildren`. */
function toTomlKey (key: string): string {
  return key.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`)
}
