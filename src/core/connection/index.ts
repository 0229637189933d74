export * from './ConnectionAge.js'
