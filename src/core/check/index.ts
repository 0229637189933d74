export * from './ConfigDifference.js'
export * from './JsonLocator.js'
