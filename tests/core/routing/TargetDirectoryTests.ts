import { expect } from 'earl'
import type { Instance, InstanceState } from '../../../src/core/platform/index.js'
import { EJECT_AFTER_FAILURES, EJECTION_MS, MAX_EJECTED_SHARE, SILENCE_LIMIT_MS, TargetDirectory } from '../../../src/core/routing/index.js'
import type { LoadSample } from '../../../src/core/sidecar/index.js'

const LOAD: LoadSample = {
  incarnation: 'i', isLeaving: false, configVersion: 1, slots: 4, running: 0, queued: 0, queuedTokens: 0, msPerToken: 0, runMs: 0
}

function createInstance (id: string, state: InstanceState = 'live'): Instance {
  return { id, role: 'target', service: 's', region: 'r', failureDomain: 'd', url: id, state }
}

function createDirectory (count: number): TargetDirectory {
  const directory = new TargetDirectory()
  const ids = [...Array(count).keys()].map(index => `t-${index}`)
  directory.setInstances(ids.map(id => createInstance(id)))
  for (const id of ids) directory.recordLoad(id, LOAD, 0)
  return directory
}

function getUsableIds (directory: TargetDirectory, now: number): string[] {
  return directory.getUsable('s', now).map(view => view.instance.id)
}

describe('TargetDirectory', () => {
  it('should exclude a target without a load sample', () => {
    const directory = new TargetDirectory()
    directory.setInstances([createInstance('t')])
    expect(getUsableIds(directory, 0)).toEqual([])
  })

  it('should exclude a target whose sidecar reports that it is draining, though the instance list has it as live', () => {
    const directory = createDirectory(2)
    directory.recordLoad('t-0', { ...LOAD, isLeaving: true }, 0)
    directory.setInstances([createInstance('t-0'), createInstance('t-1')])
    expect(getUsableIds(directory, 0)).toEqual(['t-1'])
  })

  it('should exclude a target that the instance list has as draining', () => {
    const directory = createDirectory(2)
    directory.setInstances([createInstance('t-0', 'leaving'), createInstance('t-1')])
    expect(getUsableIds(directory, 0)).toEqual(['t-1'])
  })

  it('should exclude a silent target until its next load sample', () => {
    const directory = createDirectory(1)
    expect(getUsableIds(directory, SILENCE_LIMIT_MS + 1)).toEqual([])
    directory.recordLoad('t-0', LOAD, SILENCE_LIMIT_MS + 1)
    expect(getUsableIds(directory, SILENCE_LIMIT_MS + 1)).toEqual(['t-0'])
  })

  it('should eject a failing target until its ejection ends', () => {
    const directory = createDirectory(3)
    for (let failure = 0; failure < EJECT_AFTER_FAILURES; failure++) directory.recordFailure('t-0', 0)
    expect(getUsableIds(directory, 0)).toEqual(['t-1', 't-2'])
    directory.recordLoad('t-0', LOAD, EJECTION_MS)
    expect(getUsableIds(directory, EJECTION_MS)).toInclude('t-0')
  })

  it('should not eject more than the largest share of a service', () => {
    const directory = createDirectory(9)
    for (const view of directory.getAll()) {
      for (let failure = 0; failure < EJECT_AFTER_FAILURES; failure++) directory.recordFailure(view.instance.id, 0)
    }
    expect(9 - getUsableIds(directory, 0).length <= 9 * MAX_EJECTED_SHARE).toEqual(true)
  })
})
