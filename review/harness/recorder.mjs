// Writes record.txt of a case.
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

export class Recorder {
  constructor (folder) {
    this._file = join(folder, 'record.txt')
    this._lines = []
    this._startedAt = performance.now()
  }

  line (text, at = performance.now()) {
    const line = `${((at - this._startedAt) / 1_000).toFixed(3).padStart(8)} ${text}`
    this._lines.push(line)
    if (process.env.VERBOSE !== undefined) console.log(line)
  }

  save () { writeFileSync(this._file, `${this._lines.join('\n')}\n`) }
}
