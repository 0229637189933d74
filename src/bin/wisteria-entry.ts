#!/usr/bin/env node
/** The entry: the process that serves callers and operators. */
import { ENTRY_SETTINGS } from '../core/config/index.js'
import { TicketSigner } from '../core/ticket/index.js'
import { EntryLoops, EntryServer, EntryState } from '../io/entry/index.js'
import { stopServer } from '../io/http/index.js'
import { announceListening, createLogger, getOrExit, handleShutdownSignals, readSecrets, readSettings } from '../io/process/index.js'

/** Milliseconds for which the readiness check fails before the entry may exit, so that the load balancer detects the failure. */
const NOTICE_MS = 2_500

const settingsFile = process.argv[2] ?? 'wisteria-entry.toml'
const settings = getOrExit(readSettings(settingsFile, ENTRY_SETTINGS))
const ticketKeys = getOrExit(readSecrets(settingsFile, 'ticket_keys', settings.ticketKeys))
const operatorKeys = getOrExit(readSecrets(settingsFile, 'operator_keys', settings.operatorKeys))
const logger = createLogger('wisteria-entry', settings.id)
const state = new EntryState(settings, new TicketSigner({ keys: ticketKeys }))
const loops = new EntryLoops(state, logger)
const entryServer = new EntryServer(state, operatorKeys, logger, () => loops.isReady())
const server = await entryServer.start()
loops.start()

handleShutdownSignals(logger, {
  announce: () => { entryServer.setStopping() },
  isIdle: () => state.getInProgress() === 0,
  close: async () => {
    await stopServer(server)
    await state.close()
  },
  stopMs: settings.limits.stopMs,
  noticeMs: NOTICE_MS
})
logger.info('listening', { url: server.url })
announceListening('entry', settings.id, server.url)
