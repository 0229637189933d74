export * from './Explanation.js'
export * from './RequestLog.js'
export * from './Trace.js'
