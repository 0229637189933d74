#!/usr/bin/env node
/** Stand-ins for the systems around wisteriabridge, for development and tests only. */
import { Builtins, Cli, Command, Option } from 'clipanion'
import { announceListening } from '../io/process/index.js'
import { EngineStandin } from '../standin/EngineStandin.js'
import { PlainStandin } from '../standin/PlainStandin.js'
import { PlatformStandin } from '../standin/PlatformStandin.js'
import { startStandin } from '../standin/standinServer.js'

abstract class StandinCommand extends Command {
  id = Option.String('--id', 'standin', { description: 'Id in the listening line.' })
  port = Option.String('--port', '0', { description: 'Port; 0 takes a free one.' })

  protected async listen (role: string, standin: { handle: Parameters<typeof startStandin>[0] }): Promise<void> {
    const { url } = await startStandin(async (req, res, body) => { await standin.handle(req, res, body) }, Number(this.port))
    announceListening(role, this.id, url)
    process.on('SIGTERM', () => { process.exit(0) })
    await new Promise(() => {})
  }
}

class PlatformCommand extends StandinCommand {
  static override paths = [['platform']]
  static override usage = Command.Usage({ description: 'Table, object store and instance list.' })

  async execute (): Promise<void> {
    await this.listen('platform', new PlatformStandin())
  }
}

class EngineCommand extends StandinCommand {
  static override paths = [['engine']]
  static override usage = Command.Usage({ description: 'Model engine with the chat completions interface.' })
  msPerToken = Option.String('--ms-per-token', '8')
  prefillMs = Option.String('--prefill-ms', '0.1')
  slots = Option.String('--slots', '8')
  checksOrders = Option.Boolean('--checks-orders', true)

  async execute (): Promise<void> {
    await this.listen('engine', new EngineStandin({
      msPerToken: Number(this.msPerToken),
      prefillMs: Number(this.prefillMs),
      slots: Number(this.slots),
      capacityTokens: 200_000,
      checksOrders: this.checksOrders
    }))
  }
}

class PlainCommand extends StandinCommand {
  static override paths = [['plain']]
  static override usage = Command.Usage({ description: 'Plain service that keeps a ledger of what it ran.' })

  async execute (): Promise<void> {
    await this.listen('plain', new PlainStandin())
  }
}

const cli = new Cli({ binaryName: 'wisteria-standin', binaryLabel: 'Stand-ins for development', binaryVersion: '0.1.0' })
cli.register(PlatformCommand)
cli.register(EngineCommand)
cli.register(PlainCommand)
cli.register(Builtins.HelpCommand)
await cli.runExit(process.argv.slice(2))
