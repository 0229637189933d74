export * from './httpServer.js'
