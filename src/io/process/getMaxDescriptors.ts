import { readFileSync } from 'node:fs'

/** Descriptors that are assumed where the operating system does not state its limit: the usual default of Linux. */
const DEFAULT_MAX_DESCRIPTORS = 1_024

/** Gets the largest number of descriptors that this process may open, as `/proc/self/limits` states it. */
export function getMaxDescriptors (): number {
  try {
    const match = /^Max open files +(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))
    return match === null ? DEFAULT_MAX_DESCRIPTORS : Number(match[1])
  } catch {
    return DEFAULT_MAX_DESCRIPTORS
  }
}
