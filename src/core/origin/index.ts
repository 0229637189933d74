export * from './OriginLedger.js'
export * from './OriginQueue.js'
export * from './OriginRows.js'
export * from './StreamOrigin.js'
