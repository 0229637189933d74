export * from './applyChange.js'
export * from './commands.js'
export * from './documentsOnDisk.js'
