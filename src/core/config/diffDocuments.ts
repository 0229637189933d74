import type { Documents } from './Documents.js'

/** Kind of a difference. */
export type DifferenceKind = 'added' | 'removed' | 'changed'

/** One difference between two configurations. */
export interface Difference {
  readonly kind: DifferenceKind
  /** Section and name, such as `service assistant`. */
  readonly item: string
  /** Keys whose values differ; empty unless the item was changed. */
  readonly keys: readonly string[]
}

const SECTIONS = { region: 'regions', service: 'services', program: 'programs', workspace: 'workspaces' } as const satisfies Record<string, keyof Documents>

/** Lists the differences between two configurations, by section and name. */
export function diffDocuments (before: Documents, after: Documents): Difference[] {
  return Object.entries(SECTIONS).flatMap(([section, key]) => diffSection(section, before[key], after[key]))
}

/** Formats a difference as one line. */
export function formatDifference (difference: Difference): string {
  const sign = { added: '+', removed: '-', changed: '~' }[difference.kind]
  const keys = difference.keys.length === 0 ? '' : ` (${difference.keys.join(', ')})`
  return `${sign} ${difference.item}${keys}`
}

interface Named {
  readonly name: string
}

function diffSection (section: string, before: readonly Named[], after: readonly Named[]): Difference[] {
  const names = [...new Set([...before, ...after].map(item => item.name))].sort()
  return names.flatMap(name => diffItem(`${section} ${name}`, before.find(item => item.name === name), after.find(item => item.name === name)))
}

function diffItem (item: string, before: Named | undefined, after: Named | undefined): Difference[] {
  if (before === undefined) return [{ kind: 'added', item, keys: [] }]
  if (after === undefined) return [{ kind: 'removed', item, keys: [] }]
  const [previous, current] = [before as unknown as Record<string, unknown>, after as unknown as Record<string, unknown>]
  const keys = Object.keys({ ...previous, ...current }).filter(key => JSON.stringify(previous[key]) !== JSON.stringify(current[key]))
  return keys.length === 0 ? [] : [{ kind: 'changed', item, keys }]
}
