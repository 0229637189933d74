import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { Cli } from 'clipanion'
import { expect } from 'earl'
import {
  DiffCommand, DrainCommand, ExitCode, ExplainLogsCommand, ExplainRequestCommand, ExplainSessionCommand, LossesCommand, StatusCommand
} from '../../../src/io/ctl/index.js'

// A script that runs wisteriactl must not take a failure for a success, or for the statement that something does not exist.
describe('exit codes of wisteriactl', () => {
  let folder: string
  let settings: string

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'wisteria-ctl-'))
    settings = join(folder, 'wisteriactl.toml')
    const url = `http://127.0.0.1:${await getClosedPort()}`
    writeFileSync(join(folder, 'operator.key'), 'operator-key-of-this-test-with-enough-bytes')
    writeFileSync(settings, `table = "${url}"\nentries = ["${url}"]\noperator_key = "file:operator.key"\noperator = "test"\n`)
  })

  afterEach(() => { rmSync(folder, { recursive: true }) })

  for (const words of [['diff', 'examples/workshop'], ['status'], ['explain', 'session', 's'], ['explain', 'request', 'r'], ['drain', 'i']]) {
    it(`should state that "${words.join(' ')}" failed when nothing is reachable`, async () => {
      const { code, err } = await run([...words, '--settings', settings])
      expect(code).toEqual(ExitCode.Failed)
      expect(err).not.toEqual('')
    })
  }

  for (const words of [['logs', 'losses'], ['logs', 'explain', 'r']]) {
    it(`should state that "${words.join(' ')}" failed when no file can be read`, async () => {
      expect((await run([...words, join(folder, 'none.log')])).code).toEqual(ExitCode.Failed)
    })
  }
})

async function getClosedPort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

async function run (args: string[]): Promise<{ code: number, err: string }> {
  const cli = Cli.from([
    DiffCommand, StatusCommand, ExplainSessionCommand, ExplainRequestCommand, DrainCommand, ExplainLogsCommand, LossesCommand
  ])
  const stderr = new PassThrough()
  const code = await cli.run(args, { stdin: process.stdin, stdout: new PassThrough(), stderr, env: {}, colorDepth: 1 })
  return { code, err: String(stderr.read() ?? '') }
}
