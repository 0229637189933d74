import { expect } from 'earl'
import fc from 'fast-check'
import { decodeWorkspaces } from '../../../platform/decodeWorkspaces.js'
import { getKeyDigest, MAX_NAME_BYTES, MAX_SCOPED_BYTES, scopeId, unscopeId, WorkspaceIndex, type Workspace } from '../../../src/core/workspace/index.js'

const toWorkspace = (name: string): Workspace => ({ name, priority: undefined, quota: undefined })

describe('WorkspaceIndex', () => {
  const keys = fc.constantFrom('k1', 'k2', 'k3', 'k4', 'K1', 'ключ', 'constructor', '__proto__', '', 'k'.repeat(MAX_NAME_BYTES + 1))

  // Guards against keys that are served without a workspace that holds them.
  it('should find a key exactly at the workspace that holds it, in every configuration that is accepted', () => {
    const raw = fc.array(fc.record({ name: fc.constantFrom('a', 'b', 'c'), apiKeys: fc.array(keys, { maxLength: 3 }) }), { maxLength: 4 })
    fc.assert(fc.property(raw, keys, (tenants, key) => {
      const holder = tenants.find(tenant => tenant.apiKeys.includes(key))?.name
      decodeWorkspaces(tenants).caseOf({
        Left: problem => { expect(problem).toEqual(expect.regex(/^tenants\[\d\]/)) },
        Right: workspaces => { expect(new WorkspaceIndex(workspaces).find(key)?.name).toEqual(holder) }
      })
    }), { seed: 41, numRuns: 2_000 })
  })

  it('should hold no key that is empty or longer than the limit', () => {
    expect(['', 'k'.repeat(MAX_NAME_BYTES + 1), 'é'.repeat(MAX_NAME_BYTES / 2 + 1)].map(getKeyDigest)).toEqual([undefined, undefined, undefined])
    expect(getKeyDigest('é'.repeat(MAX_NAME_BYTES / 2))?.length).toEqual(44)
  })
})

describe('scopeId', () => {
  const names = fc.oneof(fc.constantFrom('a', 'b', 'a~b', '-'), fc.string({ unit: 'grapheme', maxLength: 220 }))
  const workspaces = fc.option(names.map(toWorkspace), { nil: undefined })
  const texts = fc.oneof(fc.constantFrom('t1', 'b~t1', '~t1', '-~t1', 'w~-~t1', scopeId(toWorkspace('a'), 't1')), fc.string({ maxLength: 220 }))
  /** Ids of callers, among them scoped ones and digests that a caller knows. */
  const ids = fc.oneof(texts, fc.tuple(workspaces, texts).map(([workspace, id]) => scopeId(workspace, id)))

  // Guards against a caller that names the turn, budget or stream of another workspace, or of none.
  it('should never give one id to two workspaces or to two ids', () => {
    fc.assert(fc.property(workspaces, ids, workspaces, ids, (first, id, second, other) => {
      const isSame = first?.name === second?.name && id === other
      expect(scopeId(first, id) === scopeId(second, other)).toEqual(isSame)
    }), { seed: 42, numRuns: 5_000 })
  })

  it('should give ids that fit a row key, and from which a log shows the id of the caller', () => {
    fc.assert(fc.property(names.map(toWorkspace), ids, (workspace, id) => {
      const scoped = scopeId(workspace, id)
      expect(Buffer.byteLength(scoped) <= MAX_SCOPED_BYTES).toEqual(true)
      expect([id, scoped].includes(unscopeId(scoped))).toEqual(true)
    }), { seed: 43, numRuns: 2_000 })
    expect(unscopeId(scopeId(toWorkspace('a'), 'p1'))).toEqual('p1')
  })

  it('should keep ids without a workspace, under which rows are stored already', () => {
    expect(['p1', 'w-~p', 'a'.repeat(300), ''].map(id => scopeId(undefined, id))).toEqual(['p1', 'w-~p', 'a'.repeat(300), ''])
  })
})
