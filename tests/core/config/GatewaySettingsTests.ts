import { expect } from 'earl'
import { GATEWAY_SETTINGS } from '../../../src/core/config/index.js'

const SETTINGS = {
  id: 'g',
  failure_domain: 'a',
  regions: { a: 'r' },
  listen: { callers: 'h:1', readiness: 'h:2', metrics: 'h:3', peers: 'h:4' },
  store: { address: 'h:5', row_bytes: 65_536 },
  stop: { grace_ms: 8_000 }
}

describe('GATEWAY_SETTINGS', () => {
  // Files that were rendered for earlier versions have no section for overload.
  it('should use priorities and admission unless the settings say otherwise, each for itself', () => {
    const parse = (section: object): unknown => GATEWAY_SETTINGS.parse({ ...SETTINGS, ...section }).overload
    expect(parse({})).toEqual({ targetPriorities: true, admission: true })
    expect(parse({ overload: { admission: false } })).toEqual({ targetPriorities: true, admission: false })
    expect(parse({ overload: { target_priorities: false } })).toEqual({ targetPriorities: false, admission: true })
  })
})
