export * from './CrashEvidence.js'
export * from './InputsInProgress.js'
export * from './SuspectList.js'
