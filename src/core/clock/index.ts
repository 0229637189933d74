export * from './Clock.js'
