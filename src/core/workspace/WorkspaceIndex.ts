import { createHash } from 'node:crypto'
import type { Workspace } from './Workspace.js'

/** Largest size in bytes of a key and of the name of a workspace. */
export const MAX_NAME_BYTES = 200

/** A workspace of a configuration with its keys, which are kept as digests only. */
export interface KeyedWorkspace {
  readonly workspace: Workspace
  /** SHA-256 digests of the keys, see {@link getKeyDigest}. */
  readonly keyDigests: readonly string[]
}

/** Finds the workspace of a key in one version of the configuration. */
export class WorkspaceIndex {
  private readonly _byDigest = new Map<string, Workspace>()

  /** @param workspaces - Workspaces of which no two hold the same key. */
  constructor (workspaces: readonly KeyedWorkspace[]) {
    for (const { workspace, keyDigests } of workspaces) {
      for (const digest of keyDigests) this._byDigest.set(digest, workspace)
    }
  }

  /** Finds the workspace that holds a key; undefined if none does. */
  find (key: string): Workspace | undefined {
    return this.findByDigest(getKeyDigest(key))
  }

  /** Finds the workspace that holds the key with a digest; undefined if none does or no key was sent. */
  findByDigest (digest: string | undefined): Workspace | undefined {
    return digest === undefined ? undefined : this._byDigest.get(digest)
  }
}

/** Gets the SHA-256 digest of a key; undefined for a key that no workspace can hold, because it is empty or longer than 200 bytes. */
export function getKeyDigest (key: string): string | undefined {
  const bytes = Buffer.from(key)
  return bytes.length === 0 || bytes.length > MAX_NAME_BYTES ? undefined : createHash('sha256').update(bytes).digest('base64')
}
