export * from './Workspace.js'
