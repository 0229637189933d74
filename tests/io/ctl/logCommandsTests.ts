import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { Cli } from 'clipanion'
import { expect } from 'earl'
import { ExitCode, ExplainLogsCommand, LossesCommand } from '../../../src/io/ctl/index.js'

const REFUSED = '{"time":"2026-01-15T16:29:40.000Z","level":"INFO","process":"edge-1","event":"refused","req":"r","reason":"overloaded","tookMs":3}'

describe('wisteriactl logs', () => {
  let folder: string
  let log: string

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'wisteria-logs-'))
    log = join(folder, 'edge-1.log')
    writeFileSync(log, `${REFUSED}\n${REFUSED.slice(0, 40)}\n`)
  })

  afterEach(() => { rmSync(folder, { recursive: true }) })

  it('should explain a request, and tell how many lines were passed over', async () => {
    const { code, out, err } = await run(['logs', 'explain', 'r', log])
    expect([code, out.split('\n')[0]]).toEqual([ExitCode.Done, 'request r: refused with overloaded (503, not-run) after 3 ms at edge-1'])
    expect(err).toEqual('lines passed over, incomplete or not of a gateway: 1\n')
  })

  it('should tell that no line names an id', async () => {
    const { code, out } = await run(['logs', 'explain', 'other', log])
    expect([code, out]).toEqual([ExitCode.NotFound, 'no line names other; lines of gateways that were read: 1\n'])
  })

  it('should name a file that cannot be read once, and read the others', async () => {
    const { code, err } = await run(['logs', 'explain', 'r', join(folder, 'none.log'), folder, log])
    expect(code).toEqual(ExitCode.Done)
    expect(err.split('\n').filter(text => text.includes('cannot be read')).length).toEqual(2)
    expect(err.includes('none.log cannot be read: ENOENT')).toEqual(true)
  })

  it('should count losses by reason, as JSON too', async () => {
    expect((await run(['logs', 'losses', log])).out).toEqual('      1 requests      0 programs  refused: overloaded (r)\n')
    expect(JSON.parse((await run(['logs', 'losses', '--json', log])).out)).toEqual([{ reason: 'refused: overloaded', requests: 1, programs: 0, example: 'r' }])
  })
})

async function run (args: string[]): Promise<{ code: number, out: string, err: string }> {
  const cli = new Cli()
  cli.register(ExplainLogsCommand)
  cli.register(LossesCommand)
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const code = await cli.run(args, { stdin: process.stdin, stdout, stderr, env: {}, colorDepth: 1 })
  return { code, out: String(stdout.read() ?? ''), err: String(stderr.read() ?? '') }
}
