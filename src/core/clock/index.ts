export * from './Clock.js'
export * from './RunningClock.js'
