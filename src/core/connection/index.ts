export * from './ConnectionAge.js'
export * from './RequestPieces.js'
export * from './StopSchedule.js'
