import { expect } from 'earl'
import { ParseTurns, TURN_BYTES } from '../../../src/core/connection/index.js'

const PIECE_BYTES = 4_096

/** Connections that parse bodies in chunks, piece by piece, on an event loop without real time. */
class TurnsWorld {
  /** Names of the connections whose pieces were parsed, by turn of the event loop. */
  readonly turns: string[][] = [[]]
  readonly parse = new ParseTurns(run => { this._deferred.push(run) })
  private readonly _deferred: Array<() => void> = []

  /** Adds a connection with a number of pieces that were read. */
  add (name: string, pieces: number): { remove: () => void } {
    let left = pieces
    const takePiece = (): void => {
      left--
      this.turns.at(-1)!.push(name)
      this.parse.record(PIECE_BYTES)
    }
    const waiter = {
      feed: () => {
        takePiece()
        if (left > 0) this.parse.wait(waiter)
      }
    }
    for (let at = 0; at < pieces && this.parse.isOpen(); at++) takePiece()
    if (left > 0) this.parse.wait(waiter)
    return { remove: () => { this.parse.remove(waiter) } }
  }

  /** Runs the event loop until nothing waits, or for a number of turns. */
  run (turns = Infinity): void {
    for (let at = 0; at < turns && this._deferred.length > 0; at++) {
      this.turns.push([])
      this._deferred.shift()!()
    }
  }
}

// Chunks of one byte on 300 connections: no other request was answered within a minute.
describe('ParseTurns', () => {
  it('should parse a bounded number of bytes between two turns of the event loop, and everything in the end', () => {
    const world = new TurnsWorld()
    for (let at = 0; at < 300; at++) world.add(`c${at}`, 16)
    world.run()
    for (const pieces of world.turns) expect(pieces.length * PIECE_BYTES <= TURN_BYTES).toEqual(true)
    expect(world.turns.flat().length).toEqual(300 * 16)
  })

  it('should let connections take turns, so that a late one with little waits for one piece of each other', () => {
    const world = new TurnsWorld()
    for (const name of ['a', 'b', 'c']) world.add(name, 100)
    world.run(3)
    world.add('late', 1)
    const before = world.turns.flat().length
    world.run()
    expect(world.turns.flat().indexOf('late') - before <= 3).toEqual(true)
  })

  it('should give a single connection all of each turn', () => {
    const world = new TurnsWorld()
    world.add('only', 16)
    world.run()
    expect(world.turns.map(pieces => pieces.length)).toEqual([8, 8, 0])
  })

  it('should not parse what a closed connection has left', () => {
    const world = new TurnsWorld()
    world.add('open', 10)
    world.add('closed', 10).remove()
    world.run()
    expect(world.turns.flat().includes('closed')).toEqual(false)
  })
})
