import { expect } from 'earl'
import { ConfigHolder, RouteKind, RouteTable, type Route, type RouteConfig } from '../../../src/core/route/index.js'

describe('RouteTable', () => {
  const table = new RouteTable(createConfig(1, [createRoute('a', '/shop/'), createRoute('b', '/shop/books/'), createRoute('c', '/', 'other.example')]))

  it('should select the longest prefix that matches the path', () => {
    expect(table.getRoute('desk.example', '/shop/books/1')?.name).toEqual('b')
    expect(table.getRoute('desk.example', '/shop/bookshelf')?.name).toEqual('a')
  })

  it('should find no route for an unknown host or a path outside the prefixes', () => {
    expect(table.getRoute('desk.example', '/shop')).toEqual(undefined)
    expect(table.getRoute('nobody.example', '/shop/')).toEqual(undefined)
    expect(table.getRoute('other.example', '/anything')?.name).toEqual('c')
  })
})

describe('ConfigHolder', () => {
  it('should not apply an older version', () => {
    const holder = new ConfigHolder()
    expect(holder.applyIfNewer(createConfig(7, []), 0)).toEqual(true)
    expect(holder.applyIfNewer(createConfig(4, []), 0)).toEqual(false)
    expect(holder.applyIfNewer(createConfig(7, []), 0)).toEqual(false)
    expect(holder.get()?.config.version).toEqual(7)
  })
})

function createRoute (name: string, pathPrefix: string, host = 'desk.example'): Route {
  return {
    name,
    host,
    pathPrefix,
    kind: RouteKind.Idempotent,
    backends: [],
    timeoutMs: 1,
    objectiveMs: 1,
    priority: 0,
    maxAttempts: 1,
    isPublic: false,
    isRetained: false,
    retentionMs: 0,
    isResumable: false,
    maxGapMs: 1
  }
}

function createConfig (version: number, routes: Route[]): RouteConfig {
  return { version, routes, services: new Map(), limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } }
}
