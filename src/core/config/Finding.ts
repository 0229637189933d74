/** A problem in a document or settings file, with its location. */
export interface Finding {
  readonly file: string
  /** Line, counted from 1; 0 if the finding concerns the whole file. */
  readonly line: number
  /** Dotted key, such as `service[1].slots`. */
  readonly key: string
  /** Description of the problem. */
  readonly problem: string
  /** Description of a valid value. */
  readonly expected: string
  /** Source of a rendered value, as the comment of its line names it. */
  readonly source?: string
}

/** Formats a finding as one line: `file:line: key: problem; expected … (from …)`. */
export function formatFinding (finding: Finding): string {
  const location = finding.line === 0 ? finding.file : `${finding.file}:${finding.line}`
  const key = finding.key === '' ? '' : ` ${finding.key}:`
  const source = finding.source === undefined ? '' : ` (from ${finding.source})`
  return `${location}:${key} ${finding.problem}; expected ${finding.expected}${source}`
}
