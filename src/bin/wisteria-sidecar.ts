#!/usr/bin/env node
/** The sidecar: the process beside one target that admits, orders and limits its requests and keeps their results. */
import { mergeArray, periodic } from 'most'
import { SIDECAR_SETTINGS } from '../core/config/index.js'
import { TicketSigner } from '../core/ticket/index.js'
import { stopServer } from '../io/http/index.js'
import { announceListening, createLogger, getOrExit, handleShutdownSignals, readSecrets, readSettings } from '../io/process/index.js'
import { RECONCILE_INTERVAL_MS, SidecarServer, SidecarService, TICK_INTERVAL_MS } from '../io/sidecar/index.js'

/** Milliseconds for which the sidecar announces that it is draining before it may exit, so that entries detect it. */
const NOTICE_MS = 2_500

const settingsFile = process.argv[2] ?? 'wisteria-sidecar.toml'
const settings = getOrExit(readSettings(settingsFile, SIDECAR_SETTINGS))
const ticketKeys = getOrExit(readSecrets(settingsFile, 'ticket_keys', settings.ticketKeys))
const logger = createLogger('wisteria-sidecar', settings.id)
const service = new SidecarService(settings, logger)
const server = await new SidecarServer(service, new TicketSigner({ keys: ticketKeys })).start(settings)

const ticks = periodic(TICK_INTERVAL_MS).tap(() => { service.tick() })
const reconciliations = periodic(RECONCILE_INTERVAL_MS).tap(() => { void service.reconcile() })
void mergeArray<unknown>([ticks, reconciliations]).drain()

handleShutdownSignals(logger, {
  announce: () => { service.drain() },
  isIdle: () => service.isDrained(),
  close: async () => {
    await stopServer(server)
    await service.close()
  },
  stopMs: settings.limits.stopMs,
  noticeMs: NOTICE_MS
})
logger.info('listening', { url: server.url, incarnation: service.incarnation })
announceListening('sidecar', settings.id, server.url)
