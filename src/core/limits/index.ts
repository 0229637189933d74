export * from './CircuitBreaker.js'
export * from './RetryBudget.js'
export * from './WorkspaceShares.js'
