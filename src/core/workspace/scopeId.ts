import { createHash } from 'node:crypto'
import type { Workspace } from './Workspace.js'

/** Start of every scoped id. */
const PREFIX = 'w~'

/** Stands for ids without a workspace that begin like a scoped id; no tag of a workspace equals it. */
const NO_WORKSPACE_TAG = '-'

/** Hexadecimal digits of the digest that stands for the name of a workspace. */
const TAG_DIGITS = 16

/** Longest scoped id in bytes; the store accepts row keys of 200 bytes, and the row of a turn adds `/` and four digits. */
export const MAX_SCOPED_BYTES = 195

/** A scoped id that holds the caller's id. */
const SCOPED = /^w~(?:-|[0-9a-f]{16})~(.*)$/s

/** Tags by workspace, so that each name is hashed once for each configuration. */
const tags = new WeakMap<Workspace, string>()

/**
 * Gets the id under which the state of a request is kept: callers' ids of different workspaces never give the same one.
 *
 * Ids without a workspace stay as they are, except those that begin like a scoped id, so that no caller can name a scoped id of another.
 * Ids that would be too long for a row key are hashed.
 */
export function scopeId (workspace: Workspace | undefined, id: string): string {
  if (workspace === undefined && !id.startsWith(PREFIX)) return id
  const tag = workspace === undefined ? NO_WORKSPACE_TAG : getTag(workspace)
  const scoped = `${PREFIX}${tag}~${id}`
  return Buffer.byteLength(scoped) <= MAX_SCOPED_BYTES ? scoped : `${PREFIX}${tag}#${createHash('sha256').update(id).digest('hex')}`
}

function getTag (workspace: Workspace): string {
  const known = tags.get(workspace)
  if (known !== undefined) return known
  const tag = createHash('sha256').update(workspace.name).digest('hex').slice(0, TAG_DIGITS)
  tags.set(workspace, tag)
  return tag
}

/** Gets the id that a caller sent from a scoped one, for logs; a hashed id stays as it is. */
export function unscopeId (id: string): string {
  return SCOPED.exec(id)?.[1] ?? id
}
