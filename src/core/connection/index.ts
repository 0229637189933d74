export * from './ConnectionAge.js'
export * from './StopSchedule.js'
