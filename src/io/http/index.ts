export * from './createTimeoutSignal.js'
export * from './httpServer.js'
export * from './listen.js'
