import { readFileSync } from 'node:fs'

/** Clock ticks per second in /proc; the value is the same on every Linux that Node.js supports. */
const TICKS_PER_SECOND = 100

/** Processor time and memory of a process. */
export interface ProcessUsage {
  /** User and system time since the start of the process, in milliseconds. */
  readonly cpuMs: number
  /** Resident memory in kilobytes. */
  readonly rssKb: number
}

/** Reads the processor time and memory of a process by its process id. */
export function readUsage (pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The process name in parentheses can contain spaces, so the fields are counted from the closing parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs: (Number(fields[11]) + Number(fields[12])) * 1000 / TICKS_PER_SECOND,
    rssKb: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
  }
}
