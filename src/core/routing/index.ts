export * from './CostSelector.js'
export * from './RendezvousHash.js'
export * from './TargetDirectory.js'
export * from './WatchSet.js'
