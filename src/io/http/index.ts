export * from './httpServer.js'
export * from './listen.js'
