export * from './HandoverRow.js'
export * from './ReserveLedger.js'
export * from './ReserveLender.js'
export * from './ReserveSlots.js'
