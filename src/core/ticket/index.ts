export * from './Ticket.js'
