import { fileURLToPath } from 'node:url'
import { Fleet } from './Fleet.js'

/** Folder with the documents of the workshop example. */
export const WORKSHOP_DOCUMENTS = fileURLToPath(new URL('../../examples/workshop', import.meta.url))

/** Key of the workspace in the documents of the workshop example. */
export const WORKSHOP_KEY = 'werkstatt.sample-key'

/** Options of {@link startWorkshop}. */
export interface WorkshopOptions {
  readonly engines?: number
  readonly desks?: number
  readonly entries?: number
  readonly engineArgs?: readonly string[]
  readonly slots?: number
  readonly maxQueued?: number
  /** Called before the instance list is published, for example to change addresses. */
  readonly beforePublish?: (fleet: Fleet) => Promise<void>
}

const ENGINE_DOMAINS = ['luzern', 'zug', 'luzern', 'zug', 'luzern', 'neuenburg'] as const
const DESK_DOMAINS = ['luzern', 'zug', 'neuenburg'] as const

/** Starts the deployment of the workshop example, in full or with fewer processes, and applies its documents. */
export async function startWorkshop (options: WorkshopOptions = {}): Promise<Fleet> {
  const fleet = new Fleet()
  const { engines = 6, desks = 3, entries = 2 } = options
  try {
    await fleet.startPlatform()
    const starts: Array<Promise<void>> = []
    for (let index = 0; index < engines; index++) starts.push(fleet.startTarget(createTargetOptions('ratgeber', 'engine', index, options)))
    for (let index = 0; index < desks; index++) starts.push(fleet.startTarget(createTargetOptions('kanzlei', 'plain', index, options)))
    for (let index = 1; index <= entries; index++) starts.push(fleet.startEntry(`entry-${index}`, { region: 'zentral', failureDomain: DESK_DOMAINS[index - 1]! }))
    await Promise.all(starts)
    await options.beforePublish?.(fleet)
    await fleet.publish()
    const applied = fleet.runCtl(['apply', '--base-version', '0', WORKSHOP_DOCUMENTS])
    if (applied.exitCode !== 0) throw new Error(applied.output)
    for (let index = 1; index <= entries; index++) await fleet.waitForReady(`entry-${index}`, engines + desks)
    return fleet
  } catch (err) {
    await fleet.stop()
    throw err
  }
}

function createTargetOptions (service: string, kind: 'engine' | 'plain', index: number, options: WorkshopOptions): Parameters<Fleet['startTarget']>[0] {
  const domains = kind === 'engine' ? ENGINE_DOMAINS : DESK_DOMAINS
  const failureDomain = domains[index % domains.length]!
  return {
    id: `${service}-${index + 1}`,
    service,
    kind,
    failureDomain,
    region: failureDomain === 'neuenburg' ? 'west' : 'zentral',
    ...(kind === 'engine' && options.engineArgs !== undefined ? { standinArgs: options.engineArgs } : {}),
    ...(options.slots === undefined ? {} : { slots: options.slots }),
    ...(options.maxQueued === undefined ? {} : { maxQueued: options.maxQueued })
  }
}
