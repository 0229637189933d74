export * from './CrashEvidence.js'
export * from './SuspectList.js'
