export * from './ConnectionAge.js'
export * from './ParseTurns.js'
export * from './RequestPieces.js'
export * from './StopSchedule.js'
