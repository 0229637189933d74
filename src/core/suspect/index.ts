export * from './SuspectList.js'
