/** Limit on the requests of a workspace over all gateways together. */
export interface Quota { readonly perSecond: number; readonly burst: number }

/** Callers that hold the same keys, with their own turns, budgets and limits. */
export interface Workspace { readonly name: string; readonly priority: number | undefined; readonly quota: Quota | undefined }
