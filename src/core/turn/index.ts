export * from './EventSplitter.js'
export * from './Transcript.js'
export * from './TurnRows.js'
export * from './OutageAdmission.js'
