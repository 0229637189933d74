import { expect } from 'earl'
import { SIDECAR_SETTINGS } from '../../../src/core/config/index.js'
import { createLogger } from '../../../src/io/process/index.js'
import { SidecarService } from '../../../src/io/sidecar/index.js'

describe('SidecarService', () => {
  function createService (): SidecarService {
    const settings = SIDECAR_SETTINGS.parse({
      id: 't', region: 'r', failure_domain: 'd', service: 's', kind: 'plain', listen: { port: 0 }, target: 'http://127.0.0.1:1', ticket_keys: ['env:X']
    })
    const logger = createLogger('test', 't')
    logger.settings.minLevel = 7
    return new SidecarService(settings, logger)
  }

  it('should report the version of its documents separately from the highest announced version', () => {
    const service = createService()
    expect(service.heartbeat(3)).toEqual(expect.subset({ load: expect.subset({ configVersion: 3 }), documentsVersion: 0 }))
    service.setConfig({ version: 3, texts: {}, operator: 'o', appliedAt: 0, applyId: 'a' })
    expect(service.heartbeat(3)).toEqual(expect.subset({ documentsVersion: 3 }))
  })

  it('should ignore documents of an earlier version', () => {
    const service = createService()
    for (const version of [3, 2]) service.setConfig({ version, texts: {}, operator: 'o', appliedAt: 0, applyId: 'a' })
    expect(service.getConfig()?.version).toEqual(3)
  })
})
