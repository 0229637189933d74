/** One thing wrong in a document or in settings, with its place. */
export interface Finding {
  readonly file: string
  /** Line counted from 1; 0 when the finding concerns the whole file. */
  readonly line: number
  /** Dotted key, such as `service[1].slots`. */
  readonly key: string
  /** What is wrong. */
  readonly problem: string
  /** What would be right. */
  readonly expected: string
}

/** Formats a finding as one line: `file:line: key: problem; expected …`. */
export function formatFinding (finding: Finding): string {
  const location = finding.line === 0 ? finding.file : `${finding.file}:${finding.line}`
  const key = finding.key === '' ? '' : ` ${finding.key}:`
  return `${location}:${key} ${finding.problem}; expected ${finding.expected}`
}
