export * from './AgeClock.js'
export * from './Clock.js'
export * from './PauseDetector.js'
export * from './RunningClock.js'
