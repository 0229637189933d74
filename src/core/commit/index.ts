export * from './GroupCommitter.js'
