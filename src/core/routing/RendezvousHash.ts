import { createHash } from 'node:crypto'

/** Gets the weight of a node for a key by highest-random-weight hashing, in [0, 1). */
export function getRendezvousWeight (key: string, node: string): number {
  const bytes = createHash('sha1').update(key).update('\u0000').update(node).digest()
  return bytes.readUInt32BE(0) / 2 ** 32
}

/** Gets the nodes sorted by their weights for a key, highest first. */
export function rankByRendezvous (key: string, nodes: readonly string[]): string[] {
  const weighed = nodes.map(node => ({ node, weight: getRendezvousWeight(key, node) }))
  return weighed.sort((a, b) => b.weight - a.weight).map(entry => entry.node)
}
