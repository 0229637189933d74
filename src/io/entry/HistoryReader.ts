import type { CallEvent } from '../../core/call/index.js'
import { getFirstHead, getHeadAfter, toMessages, type TurnRow } from '../../core/history/index.js'
import type { Rows } from '../../core/platform/index.js'
import { getTurnKey, type SessionRow } from '../../core/session/index.js'

/** Capacity of an entry's history cache, in characters. */
export const HISTORY_CACHE_CHARS = 32_000_000

interface CachedHistory {
  readonly head: string
  readonly turns: readonly TurnRow[]
  readonly chars: number
}

/** Reads the histories of sessions, verifies them by their digest chains and caches them. */
export class HistoryReader {
  private readonly _read: (keys: readonly string[]) => Promise<Rows>
  private readonly _cache = new Map<string, CachedHistory>()
  private _chars = 0

  constructor (read: (keys: readonly string[]) => Promise<Rows>) {
    this._read = read
  }

  /** Gets the messages of a session's history; reads only the turns that the cache lacks. */
  async get (session: SessionRow): Promise<CallEvent> {
    const cached = this._cache.get(session.id)
    const cachedPrefix = cached !== undefined && cached.turns.length < session.nextCall
      ? cached
      : { head: getFirstHead(session.id), turns: [] }
    const newTurns = await this._readFrom(session, cachedPrefix.turns.length)
    if (newTurns === undefined) return { type: 'unavailable' }
    const turns = [...cachedPrefix.turns, ...newTurns]
    if (turns.length !== session.nextCall - 1 || getHeadAfter(cachedPrefix.head, newTurns) !== session.head) {
      this._remove(session.id)
      return { type: 'history-damaged' }
    }
    this._set(session, turns)
    return { type: 'history', messages: toMessages(turns) }
  }

  private async _readFrom (session: SessionRow, cachedCount: number): Promise<readonly TurnRow[] | undefined> {
    const keys: string[] = []
    for (let call = cachedCount + 1; call < session.nextCall; call++) keys.push(getTurnKey(session.id, call))
    if (keys.length === 0) return []
    const rows = await this._read(keys).catch(() => undefined)
    if (rows === undefined) return undefined
    return keys.flatMap(key => rows.has(key) ? [rows.get(key)!.value as TurnRow] : [])
  }

  private _set (session: SessionRow, turns: readonly TurnRow[]): void {
    this._remove(session.id)
    this._cache.set(session.id, { head: session.head, turns, chars: session.historyChars })
    this._chars += session.historyChars
    for (const [id] of this._cache) {
      if (this._chars <= HISTORY_CACHE_CHARS) break
      this._remove(id)
    }
  }

  private _remove (id: string): void {
    this._chars -= this._cache.get(id)?.chars ?? 0
    this._cache.delete(id)
  }
}
