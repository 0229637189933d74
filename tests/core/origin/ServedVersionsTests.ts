import { expect } from 'earl'
import { findOnlyVersion, getVersionRange, RETIRE_MS, ServedVersions, toVersionRow, type StreamOrigin } from '../../../src/core/origin/index.js'
import type { StoredRow } from '../../../src/core/platform/index.js'

const V1: StreamOrigin = { service: 'model', softwareVersion: 'v1' }
const V2: StreamOrigin = { service: 'model', softwareVersion: 'v2' }
const DESK: StreamOrigin = { service: 'desk', softwareVersion: 'v7' }

describe('findOnlyVersion', () => {
  it('should find the version if the store and the list of targets have no other one of the service', () => {
    expect(findOnlyVersion('model', toRows(V1, DESK), [V1, DESK])).toEqual(V1)
  })

  it('should find the version of a service whose targets are all missing in the list', () => {
    expect(findOnlyVersion('model', toRows(V1), [])).toEqual(V1)
  })

  it('should find none while two versions serve, after one has left, and before the other one is stored', () => {
    expect(findOnlyVersion('model', toRows(V1, V2), [V1, V2])).toEqual(undefined)
    expect(findOnlyVersion('model', toRows(V1, V2), [V2])).toEqual(undefined)
    expect(findOnlyVersion('model', toRows(V1), [V1, V2])).toEqual(undefined)
    expect(findOnlyVersion('model', toRows(V1), [V2])).toEqual(undefined)
  })

  it('should find none if the store has none, because a version may have served that was not written', () => {
    expect(findOnlyVersion('model', [], [V1])).toEqual(undefined)
  })
})

describe('ServedVersions', () => {
  let now: number
  let versions: ServedVersions

  beforeEach(() => {
    now = 0
    versions = new ServedVersions({ now: () => now })
  })

  it('should return a version once when its first target is listed, and again when it returns', () => {
    expect(versions.setListed([V1, V1])).toEqual([V1])
    expect(versions.setListed([V1, V2])).toEqual([V2])
    expect(versions.setListed([V1])).toEqual([])
    expect(versions.setListed([V2, V1])).toEqual([V2])
  })

  it('should retire the row of a version that was not listed for the retirement time', () => {
    versions.setListed([V2])
    expect(versions.getRetired(toRows(V1, V2))).toEqual([])
    now = RETIRE_MS
    expect(versions.getRetired(toRows(V1, V2)).map(({ key }) => key)).toEqual([toVersionRow(V1).key])
  })

  it('should not retire a version that was listed meanwhile', () => {
    versions.getRetired(toRows(V1))
    now = RETIRE_MS / 2
    versions.setListed([V1])
    versions.getRetired(toRows(V1))
    versions.setListed([])
    now = RETIRE_MS
    expect(versions.getRetired(toRows(V1))).toEqual([])
  })

  it('should keep the rows of a service in a range of its own', () => {
    const { from, to } = getVersionRange('model')
    const isInRange = (origin: StreamOrigin): boolean => toVersionRow(origin).key >= from! && toVersionRow(origin).key < to!
    expect([V1, V2, DESK].map(isInRange)).toEqual([true, true, false])
  })
})

function toRows (...origins: StreamOrigin[]): StoredRow[] {
  return origins.map((origin, at) => ({ ...toVersionRow(origin), version: at + 1 }))
}
