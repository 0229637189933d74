import { readdirSync, readFileSync } from 'node:fs'

/** Resident bytes at which the platform ends a gateway on the smallest machine of the sites. */
export const MEMORY_BYTES = 178_000_000

/** Ticks a second of the processor time in /proc. */
const TICKS_PER_S = 100

/** Milliseconds between two looks at the resident memory. */
const POLL_INTERVAL_MS = 20

/** Gets the user and system time of a process. */
export function getProcessorSeconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ')
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S
}

/** Runs an action and gets the largest memory of a process meanwhile, resident unless measured otherwise. */
export async function measurePeakBytes (pid: number, action: () => Promise<void>, getBytes = getResidentBytes): Promise<number> {
  let peakBytes = 0
  const timer = setInterval(() => { peakBytes = Math.max(peakBytes, getBytes(pid)) }, POLL_INTERVAL_MS)
  try {
    await action()
  } finally {
    clearInterval(timer)
  }
  return peakBytes
}

/** Gets the number of open descriptors of a process; infinite when it has ended. */
export function getDescriptors (pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length
  } catch {
    return Infinity
  }
}

/** Gets the resident memory of a process in bytes; infinite when it has ended. */
export function getResidentBytes (pid: number): number {
  return getStatusBytes(pid, ['VmRSS'])
}

/** Gets the resident memory of a process without the pages of files, in bytes; infinite when it has ended. */
export function getOwnBytes (pid: number): number {
  return getStatusBytes(pid, ['RssAnon', 'RssShmem'])
}

function getStatusBytes (pid: number, names: readonly string[]): number {
  try {
    const lines = readFileSync(`/proc/${pid}/status`, 'utf8').split('\n')
    return names.reduce((sum, name) => {
      const line = lines.find(text => text.startsWith(`${name}:`))
      return sum + (line === undefined ? Infinity : Number(line.replace(/\D/g, '')) * 1_024)
    }, 0)
  } catch {
    return Infinity
  }
}
