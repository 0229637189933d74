export * from './Clock.js'
export * from './PauseDetector.js'
