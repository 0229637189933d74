/** What callers and targets may rely on, whatever fails. */
export const PROMISES = {
  once: 'a booking runs at most once',
  notRun: 'a request that was refused as not run has not run',
  whole: 'a success is the whole response of a target to this very request',
  order: 'a stream has each event once, in order, over all tries, and ends after its last one',
  version: 'a stream holds events of one software version',
  history: 'a turn goes on from the whole history of its program',
  kept: 'a turn that was answered whole is found again',
  budget: 'the tokens of a program stay within its budget and the maximum of one turn',
  answered: 'a request gets a whole response around planned work',
  ended: 'a request ends within its time limit',
  retries: 'a request that crashes targets does not reach more and more of them',
  served: 'nobody is refused for good',
  leaving: 'a target that leaves gets nothing new',
  config: 'a configuration is in force soon after it was written, and stays so',
  key: 'no request runs with a key that no configuration held, or that was removed 4 s ago',
  known: 'a key that is held is not answered with 401',
  named: 'a target gets the name of the workspace, and never the key',
  quota: 'the requests of a workspace stay within its quota, over all gateways',
  within: 'a workspace below its quota is served while gateways reach each other',
  alive: 'a gateway does not end by itself',
  memory: 'the memory of a gateway is bounded'
} as const
export type PromiseName = keyof typeof PROMISES

/** Number of broken cases that are kept of each promise. */
const KEPT_CASES = 25

/** Counts how often each promise was checked and broken. */
export class PromiseChecks {
  private readonly _counts = new Map<PromiseName, { checked: number, readonly broken: string[], brokenCount: number }>()

  /** Checks a promise; the detail is kept if it is broken. */
  check (name: PromiseName, isKept: boolean, detail: () => string): void {
    const count = this._counts.get(name) ?? { checked: 0, broken: [], brokenCount: 0 }
    this._counts.set(name, count)
    count.checked++
    if (isKept) return
    count.brokenCount++
    if (count.broken.length < KEPT_CASES) count.broken.push(detail())
  }

  /** Gets how often a promise was checked. */
  getChecked (name: PromiseName): number {
    return this._counts.get(name)?.checked ?? 0
  }

  /** Gets the details of broken promises. */
  getBroken (): string[] {
    return [...this._counts].flatMap(([name, { broken }]) => broken.map(detail => `${name}: ${detail}`))
  }

  /** Formats one line for each promise. */
  format (): string[] {
    return Object.entries(PROMISES).map(([name, text]) => {
      const count = this._counts.get(name as PromiseName)
      return `${String(count?.checked ?? 0).padStart(6)} checked ${String(count?.brokenCount ?? 0).padStart(4)} broken  ${text}`
    })
  }
}
