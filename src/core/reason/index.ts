export * from './Problem.js'
export * from './Reasons.js'
