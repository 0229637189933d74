import type { Target } from './Target.js'

/** Asks targets whether they are alive. */
export abstract class LivenessProbe {
  /** Checks whether a target responds on a path; false also if another target has its address. */
  abstract isAlive (target: Target, path: string): Promise<boolean>
}
