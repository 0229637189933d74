import { formatPath } from '../config/index.js'

/** Depth of the deepest keys whose lines are kept; the operator's configuration has keys to a depth of five. */
const MAX_DEPTH = 6

/** An object or array that the scan is in. */
interface Container {
  readonly path: readonly PropertyKey[]
  /** Index of the present element of an array; undefined for an object. */
  index: number | undefined
  /** Key of the present member of an object; undefined before its colon. */
  key: string | undefined
}

/** Finds the line number of a key in a JSON text, which `JSON.parse` does not report. */
export class JsonLocator {
  private readonly _lines = new Map<string, number>()
  private _depth = 0

  /** @param text - Valid JSON (RFC 8259). */
  constructor (text: string) {
    const stack: Container[] = []
    let line = 1
    let latest = ''
    for (let at = 0; at < text.length; at++) {
      const char = text[at]!
      const container = stack.at(-1)
      if (char === '\n') line++
      else if (char === '"') {
        const end = findEnd(text, at)
        latest = text.slice(at, end + 1)
        this._add(container, line)
        at = end
      } else if (char === ':') {
        container!.key = JSON.parse(latest) as string
        this._add(container, line)
      } else if (char === ',') {
        if (container!.index !== undefined) container!.index++
        container!.key = undefined
      } else if (char === '{' || char === '[') {
        this._add(container, line)
        this._depth = Math.max(this._depth, stack.length + 1)
        stack.push({ path: getPath(container), index: char === '[' ? 0 : undefined, key: undefined })
      } else if (char === '}' || char === ']') stack.pop()
      else if (char.trim() !== '') this._add(container, line)
    }
  }

  /** Gets the line of a key or of its closest ancestor with a line, counted from 1; 0 if there is none. */
  getLine (path: readonly PropertyKey[]): number {
    for (let length = path.length; length > 0; length--) {
      const line = this._lines.get(formatPath(path.slice(0, length)))
      if (line !== undefined) return line
    }
    return 0
  }

  /** Gets the number of objects and arrays that are nested in each other at most. */
  getDepth (): number {
    return this._depth
  }

  private _add (container: Container | undefined, line: number): void {
    if (container === undefined) return
    const path = getPath(container)
    if (path.length === container.path.length) return
    const key = formatPath(path)
    if (!this._lines.has(key)) this._lines.set(key, line)
  }
}

function getPath (container: Container | undefined): readonly PropertyKey[] {
  if (container === undefined) return []
  // Paths that are too deep to be kept do not grow.
  if (container.path.length >= MAX_DEPTH) return container.path
  const last = container.index ?? container.key
  return last === undefined ? container.path : [...container.path, last]
}

/** Gets the position of the quote that ends a string. */
function findEnd (text: string, start: number): number {
  let at = start + 1
  while (at < text.length && text[at] !== '"') at += text[at] === '\\' ? 2 : 1
  return at
}
