export * from './ConfigHolder.js'
export * from './Route.js'
export * from './RouteConfig.js'
export * from './RouteTable.js'
