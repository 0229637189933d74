export * from './PeerRanking.js'
export * from './PeerRow.js'
