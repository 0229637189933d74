export * from './BudgetAccount.js'
export * from './BudgetRow.js'
export * from './GrantPlan.js'
export * from './BudgetSplit.js'
