/** Bytes of a megabyte, as the platform states the memory of a machine. */
export const MEGABYTE = 1_000_000

/**
 * Share of the smaller of the heap limit and the machine's memory that requests and connections may hold together.
 *
 * Buffers are outside the heap, which leaves about this much of a machine's memory beside the limit that is set for it.
 */
export const HELD_SHARE = 0.2

/** Share of the held bytes that the callers of one address may hold; all callers of a deployment may come from a few addresses. */
const ADDRESS_SHARE = 0.9

/** Bytes of memory that an open connection takes beside what it holds: socket, parser and state. Measured: 14 MB for 1,660 connections. */
export const CONNECTION_COST_BYTES = 8_192

/**
 * Bytes of memory that a request in progress takes beside its head, body and response: its state, and a connection to a target.
 * Measured: 37 MB for about 880 requests that wait for a target, garbage included.
 */
export const REQUEST_COST_BYTES = 32_768

/** Share of the heap limit that requests in progress may take beside what they hold. */
const REQUEST_HEAP_SHARE = 0.25

/** Shares of the descriptors; what is left is for the store, the files and the connections that this process opens to peers. */
const CALLER_FDS_SHARE = 0.45
const REQUEST_FDS_SHARE = 0.3
const PEER_FDS_SHARE = 0.12

/** Largest share and number of descriptors of the readiness server and of the metrics server each; a balancer uses a few connections. */
const STATUS_FDS_SHARE = 0.03
const MAX_STATUS_CONNECTIONS = 64

/** Share of the descriptors for connections that are open only to be refused. */
const REFUSED_FDS_SHARE = 0.02

/** What the machine and the runtime give a process. */
export interface ProcessResources {
  /** Memory of the machine in units of 1,000,000 bytes; undefined if it is not known. */
  readonly memoryMb: number | undefined
  /** Limit of the heap, in bytes. */
  readonly heapBytes: number
  /** Largest number of open descriptors. */
  readonly maxFds: number
}

/** Bounds of what callers, peers and checks may make a process hold. */
export interface ProcessLimits {
  /** Bytes that requests and connections may hold together. */
  readonly heldBytes: number
  /** Bytes that the callers of one address may hold. */
  readonly heldBytesPerAddress: number
  /** Connections of callers. */
  readonly connections: number
  /** Connections of the callers of one address. */
  readonly connectionsPerAddress: number
  /** Connections of callers that are kept open for a refusal. */
  readonly refusedConnections: number
  /** Requests in progress, each of which may open a connection to a target. */
  readonly requests: number
  /** Connections of peers. */
  readonly peerConnections: number
  /** Connections of the readiness server and of the metrics server each. */
  readonly statusConnections: number
}

/** Derives the bounds of a process from its resources. */
export function getProcessLimits ({ memoryMb, heapBytes, maxFds }: ProcessResources): ProcessLimits {
  const getShare = (share: number): number => Math.max(1, Math.floor(maxFds * share))
  const heldBytes = Math.floor(HELD_SHARE * Math.min(heapBytes, memoryMb === undefined ? Infinity : memoryMb * MEGABYTE))
  const connections = getShare(CALLER_FDS_SHARE)
  return {
    heldBytes,
    heldBytesPerAddress: Math.floor(heldBytes * ADDRESS_SHARE),
    connections,
    connectionsPerAddress: Math.max(1, Math.floor(connections * ADDRESS_SHARE)),
    refusedConnections: getShare(REFUSED_FDS_SHARE),
    requests: Math.min(getShare(REQUEST_FDS_SHARE), Math.max(1, Math.floor(heapBytes * REQUEST_HEAP_SHARE / REQUEST_COST_BYTES))),
    peerConnections: getShare(PEER_FDS_SHARE),
    statusConnections: Math.min(MAX_STATUS_CONNECTIONS, getShare(STATUS_FDS_SHARE))
  }
}
