export * from './HistoryChain.js'
export * from './Message.js'
export * from './TurnRow.js'
