export * from './CallProtocol.js'
export * from './CallRequest.js'
export * from './finalStatus.js'
export * from './RetryPolicy.js'
