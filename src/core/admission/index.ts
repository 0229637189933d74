export * from './PriorityBands.js'
export * from './Prospect.js'
export * from './TargetPriority.js'
