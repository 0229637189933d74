export * from './scopeId.js'
export * from './Workspace.js'
export * from './WorkspaceIndex.js'
