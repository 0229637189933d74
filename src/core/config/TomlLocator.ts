const TABLE = /^\s*\[([^[\]]+)\]\s*(?:#.*)?$/
const TABLE_ARRAY = /^\s*\[\[([^[\]]+)\]\]\s*(?:#.*)?$/
const KEY = /^\s*("[^"]*"|'[^']*'|[\w.-]+)\s*=/

/** Finds the line number of a key in a TOML text, which the TOML parser doesn't report. */
export class TomlLocator {
  private readonly _lines = new Map<string, number>()
  private readonly _counts = new Map<string, number>()
  /** Table of each line, from the first one. */
  private readonly _tables: string[] = []

  constructor (text: string) {
    let prefix = ''
    text.split('\n').forEach((content, index) => {
      const array = TABLE_ARRAY.exec(content)
      const table = array === null ? TABLE.exec(content) : null
      if (array !== null) prefix = this._startElement(array[1]!.trim(), index + 1)
      else if (table !== null) prefix = this._startTable(table[1]!.trim(), index + 1)
      else this._addKey(prefix, content, index + 1)
      this._tables.push(prefix)
    })
  }

  /** Gets the line of a key or of its closest ancestor with a line; 0 if there is none. */
  getLine (path: readonly PropertyKey[]): number {
    for (let length = path.length; length > 0; length--) {
      const line = this._lines.get(formatPath(path.slice(0, length)))
      if (line !== undefined) return line
    }
    return 0
  }

  /** Gets the dotted name of the table that a line belongs to; empty for the root. */
  getTable (line: number): string {
    return this._tables[line - 1] ?? ''
  }

  private _startElement (name: string, line: number): string {
    const path = this._resolve(name.split('.').slice(0, -1), name.split('.').at(-1)!)
    const index = this._counts.get(path) ?? 0
    this._counts.set(path, index + 1)
    const element = `${path}[${index}]`
    this._lines.set(element, line)
    return element
  }

  private _startTable (name: string, line: number): string {
    const segments = name.split('.')
    const path = this._resolve(segments.slice(0, -1), segments.at(-1)!)
    this._lines.set(path, line)
    return path
  }

  /** Builds the path of a name, inserting the index of the latest element for each parent that is an array of tables. */
  private _resolve (parents: readonly string[], name: string): string {
    let path = ''
    for (const parent of parents) {
      path = path === '' ? parent : `${path}.${parent}`
      const count = this._counts.get(path)
      if (count !== undefined) path = `${path}[${count - 1}]`
    }
    return path === '' ? name : `${path}.${name}`
  }

  private _addKey (prefix: string, content: string, line: number): void {
    const match = KEY.exec(content)
    if (match === null) return
    const key = match[1]!.replace(/^["']|["']$/g, '')
    this._lines.set(prefix === '' ? key : `${prefix}.${key}`, line)
  }
}

/** Formats a path as a dotted key with indexes in brackets. */
export function formatPath (path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, segment) => {
    if (typeof segment === 'number') return `${text}[${segment}]`
    return text === '' ? String(segment) : `${text}.${String(segment)}`
  }, '')
}
