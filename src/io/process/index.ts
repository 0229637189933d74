export * from './lifecycle.js'
export * from './logging.js'
export * from './settings.js'
export * from './SystemClock.js'
