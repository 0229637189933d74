export * from './InstanceList.js'
export * from './ObjectStore.js'
export * from './Table.js'
export * from './RowStore.js'
