import { expect } from 'earl'
import {
  BYTES_PER_TRANSACTION, getPieces, getValueBytes, ROWS_PER_TRANSACTION, type LargeRowPut, type StoredRow
} from '../../../src/core/platform/index.js'
import {
  ByteBuffer, EventSplitter, fromTurnRows, getTurnPartitions, getTurnRange, MAX_EVENT_BYTES, MAX_STREAM_BYTES, MAX_TURN_BYTES,
  PARTITIONS_PER_TURN, StreamLimit, StreamRate, STREAM_BURST_BYTES, STREAM_BYTES_PER_SECOND, toTurnRows, toTurnTransactions, Transcript,
  type CountedEvent
} from '../../../src/core/turn/index.js'

describe('EventSplitter', () => {
  it('should return complete events wherever the bytes are split', () => {
    const bytes = Buffer.from('x-weight-versions: 2\nid: 1\ndata: a\ndata: b\n\nid: 2\r\ndata: \u00e9\r\n\r\n')
    for (let cut = 0; cut <= bytes.length; cut++) {
      const splitter = new EventSplitter()
      const events = [...splitter.add(bytes.subarray(0, cut)), ...splitter.add(bytes.subarray(cut))]
      expect(events.map(event => event.id)).toEqual(['1', '2'])
      expect(Buffer.concat(events.map(event => event.bytes))).toEqual(bytes)
      expect(splitter.getRemainder().length).toEqual(0)
    }
  })

  it('should decode ids and data as the event stream format states', () => {
    const bytes = Buffer.from('id:1\ndata\ndata:  b\r\ndata:\n: comment\nidx: 9\ndatax: c\ndata: \u00e9\n\nevent: end\nid: 2\nid\n\n\n')
    const events = [...new EventSplitter().add(bytes)].map(({ id, data }) => ({ id, data: data?.toString() }))
    expect(events).toEqual([{ id: '1', data: '\n b\n\n\u00e9' }, { id: '', data: undefined }])
  })

  it('should scan bytes that are no event once and keep a bounded number of them', () => {
    for (const chunkBytes of [1, 65_536]) {
      const splitter = new EventSplitter()
      const chunk = Buffer.alloc(chunkBytes, 'x\n')
      const startedAt = performance.now()
      let received = 0
      let events = 0
      while (!splitter.isTooLong()) {
        events += [...splitter.add(chunk)].length
        received += chunkBytes
      }
      // A scan of all kept bytes for each chunk takes minutes for single bytes.
      expect([events, received <= MAX_EVENT_BYTES + chunkBytes, performance.now() - startedAt < 2_000]).toEqual([0, true, true])
      expect([...splitter.add(chunk)].length).toEqual(0)
      expect(splitter.getRemainder().length).toEqual(0)
    }
  })

  it('should return the events before one that is too long, and none after it', () => {
    const splitter = new EventSplitter({ maxEventBytes: 20 })
    expect([...splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: too long for it\n\nid: 3\n\n'))].map(event => event.id)).toEqual(['1'])
    expect([splitter.isTooLong(), [...splitter.add(Buffer.from('id: 4\n\n'))]]).toEqual([true, []])
  })

  it('should hold back an incomplete event', () => {
    const splitter = new EventSplitter()
    expect([...splitter.add(Buffer.from('id: 1\ndata: a\n'))].length).toEqual(0)
    expect(splitter.getRemainder().length).toEqual(14)
  })
})

describe('StreamLimit', () => {
  it('should allow the last event to have fewer tokens, and no event with data after the maximum', () => {
    const limit = new StreamLimit({ maxTokens: 10 })
    const add = (tokens: number) => limit.add({ bytes: 30, tokens })
    expect([add(4), add(4), add(0), add(4), add(0), add(4)])
      .toEqual([undefined, undefined, undefined, undefined, undefined, 'the stream exceeds 10 tokens'])
  })

  it('should limit the bytes and the events of a stream without a maximum of tokens, and events without data', () => {
    const count = (maxTokens: number, event: CountedEvent): string => {
      const limit = new StreamLimit({ maxTokens })
      for (let events = 0; ; events++) {
        const excess = limit.add(event)
        if (excess !== undefined) return `${events}: ${excess}`
      }
    }
    expect([
      count(0, { bytes: 9, tokens: 4 }), count(0, { bytes: MAX_STREAM_BYTES / 2, tokens: 4 }), count(10, { bytes: 9, tokens: 0 }),
      count(16_384, { bytes: MAX_STREAM_BYTES / 2, tokens: 1 })
    ]).toEqual([
      '8192: the stream exceeds 8192 events', '2: the stream exceeds 8388608 bytes', '8192: the stream exceeds 8192 events',
      '4: the stream exceeds 16777216 bytes'
    ])
  })
})

// Fails when targets that send without end take the processor from all other requests.
describe('StreamRate', () => {
  it('should pause a stream that is sent faster than its rate, and none that is slower', () => {
    const rate = new StreamRate()
    const chunkBytes = 1_024
    const slow = Array.from({ length: 400 }, (_, at) => rate.add(chunkBytes, at * 2))
    expect(slow.every(pauseMs => pauseMs === 0)).toEqual(true)
    let now = 10_000
    let received = 0
    while (now < 20_000) {
      now += rate.add(chunkBytes, now)
      received += chunkBytes
    }
    expect(received <= 10 * STREAM_BYTES_PER_SECOND + STREAM_BURST_BYTES + chunkBytes).toEqual(true)
    expect(received >= 10 * STREAM_BYTES_PER_SECOND).toEqual(true)
  })
})

describe('ByteBuffer', () => {
  it('should return the appended bytes, also after they were taken', () => {
    const buffer = new ByteBuffer()
    for (let at = 0; at < 3_000; at++) buffer.append(Buffer.of(at % 256))
    expect(buffer.take()).toEqual(Buffer.from(Array.from({ length: 3_000 }, (_, at) => at % 256)))
    buffer.append(Buffer.from('x'))
    expect([buffer.length, buffer.getView().toString()]).toEqual([1, 'x'])
  })
})

describe('Transcript', () => {
  it('should append the data of each event and a line feed to the prompt, byte for byte', () => {
    const transcript = new Transcript(Buffer.from('input'))
    for (const event of new EventSplitter().add(Buffer.from('id: 1\ndata: \u00e9\n\nid: 2\ndata: b\n\nid: 3\n\n'))) transcript.addEvent(event)
    expect(transcript.toBuffer().toString()).toEqual('input\u00e9\nb\n')
  })
})

describe('a transcript without end', () => {
  it('should not grow beyond its limit', () => {
    const transcript = new Transcript(Buffer.alloc(0))
    const [event] = [...new EventSplitter().add(Buffer.from(`data: ${'x'.repeat(1_023)}\n\n`))]
    const added = Array.from({ length: MAX_TURN_BYTES / 1_024 + 2 }, () => transcript.addEvent(event!))
    expect([added.filter(isAdded => isAdded).length, added.at(-1), transcript.toBuffer().length]).toEqual([512, false, MAX_TURN_BYTES])
  })
})

/** Gets the rows that the store holds after a write. */
function toStored (puts: readonly LargeRowPut[]): StoredRow[] {
  return puts.map(put => ({ ...put, value: Buffer.concat(getPieces(put)), version: 1 }))
}

describe('turn rows', () => {
  const store = (transcript: Buffer, rowBytes: number): StoredRow[] => toStored(toTurnRows('t1', '7', [transcript], { rowBytes }))

  it('should restore a transcript of any length', () => {
    for (const length of [0, 1, 98, 99, 100, 250]) {
      const transcript = Buffer.alloc(length, 'x')
      const rows = store(transcript, 100)
      expect(rows.every(row => row.value.length <= 100)).toEqual(true)
      expect(fromTurnRows(rows)).toEqual(transcript)
    }
  })

  it('should restore a transcript from pieces of any length', () => {
    for (const lengths of [[0, 0], [0, 5], [5, 0], [98, 1], [99, 1], [100, 99], [250, 30, 0, 1]]) {
      const pieces = lengths.map((length, at) => Buffer.alloc(length, String(at)))
      const rows = toStored(toTurnRows('t1', '7', pieces, { rowBytes: 100 }))
      expect(rows.length).toEqual(Math.max(1, Math.ceil(Buffer.concat(pieces).length / 99)))
      expect(fromTurnRows(rows)).toEqual(Buffer.concat(pieces))
    }
  })

  it('should be in the range of keys of the turn, which contains no other turn', () => {
    const { from, to, part } = getTurnRange('t1', '7')
    const rows = store(Buffer.alloc(500), 100)
    expect(rows.every(row => row.key >= from! && row.key < to! && row.part === part)).toEqual(true)
    expect(from! <= 't10/0000' && to! > 't10/0000').toEqual(false)
  })

  it('should have several distinct partitions', () => {
    for (let at = 0; at < 500; at++) expect(new Set(getTurnPartitions(`turn ${at}`)).size).toEqual(PARTITIONS_PER_TURN)
  })

  it('should be written in transactions that the store accepts, with the last chunk in the last one', () => {
    for (const [length, rowBytes] of [[0, 49_152], [760_000, 49_152], [5_000_000, 49_152], [50_000, 100]] as const) {
      const puts = toTurnRows('t1', '7', [Buffer.alloc(length)], { rowBytes })
      const transactions = toTurnTransactions(puts)
      expect(transactions.flat()).toEqual(puts)
      const bytes = transactions.map(rows => rows.reduce((sum, put) => sum + getValueBytes(put), 0))
      expect(Math.max(...bytes) <= BYTES_PER_TRANSACTION).toEqual(true)
      expect(transactions.every(rows => rows.length <= ROWS_PER_TRANSACTION)).toEqual(true)
    }
  })

  it('should not restore a turn of which a chunk is missing', () => {
    const rows = store(Buffer.alloc(250), 100)
    expect(fromTurnRows(rows.slice(1))).toEqual(undefined)
    expect(fromTurnRows([rows[0]!, rows[2]!])).toEqual(undefined)
    expect(fromTurnRows(rows.slice(0, -1))).toEqual(undefined)
    expect(fromTurnRows([])).toEqual(undefined)
  })
})
