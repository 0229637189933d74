import { expect } from 'earl'
import { getFirstHead, getHeadAfter, toMessages, type TurnRow } from '../../../src/core/history/index.js'

/** Size of the largest history that the users plan for. */
const TURNS = 570
const TOKENS = 130_000
const CHARS_PER_TURN = Math.ceil(TOKENS * 4 / TURNS)

function createTurn (call: number, text: string): TurnRow {
  return {
    session: 's',
    call,
    kind: 'model',
    requestDigest: `d${call}`,
    messages: [{ role: 'user', content: `question ${call}` }],
    outcome: 'answered',
    answer: { status: 200, contentType: 'text/plain', text, tokens: 1, finish: 'stop' },
    steps: []
  }
}

describe('the hash chain of a history', () => {
  const turns = [...Array(TURNS).keys()].map(index => createTurn(index + 1, 'x'.repeat(CHARS_PER_TURN)))
  const head = getHeadAfter(getFirstHead('s'), turns)

  /** Expects a different history to have a different head. */
  function doTest (session: string, others: readonly TurnRow[]): void {
    expect(getHeadAfter(getFirstHead(session), others)).not.toEqual(head)
  }

  it('should have the same head whether it is computed at once or in two steps', () => {
    expect(getHeadAfter(getHeadAfter(getFirstHead('s'), turns.slice(0, 300)), turns.slice(300))).toEqual(head)
  })

  it('should detect a missing turn', () => { doTest('s', turns.filter(turn => turn.call !== 285)) })
  it('should detect a changed response', () => { doTest('s', turns.map(turn => turn.call === 285 ? createTurn(285, 'y') : turn)) })
  it('should detect turns out of order', () => { doTest('s', [turns[1]!, turns[0]!, ...turns.slice(2)]) })
  it('should detect turns of a session with a similar id', () => { doTest('s1', turns) })

  it('should convert to all messages in order', () => {
    const messages = toMessages(turns)
    expect(messages.length).toEqual(2 * TURNS)
    expect(messages.at(-2)?.content).toEqual(`question ${TURNS}`)
  })
})
