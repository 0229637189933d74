import { Builtins, Cli, type CommandClass } from 'clipanion'
import { ApplyCommand, DiffCommand, HashKeyCommand, ValidateCommand } from './configCommands.js'
import { DrainCommand, ExplainRequestCommand, ExplainSessionCommand, StatusCommand } from './fleetCommands.js'
import { ExplainLogsCommand, LossesCommand } from './logCommands.js'

/** Creates the command line of wisteriactl, with further commands of a platform. */
export function createCli (platformCommands: readonly CommandClass[] = []): Cli {
  return Cli.from([
    ValidateCommand, DiffCommand, ApplyCommand, StatusCommand, ExplainSessionCommand, ExplainRequestCommand, DrainCommand, HashKeyCommand,
    ExplainLogsCommand, LossesCommand, Builtins.HelpCommand, Builtins.VersionCommand, ...platformCommands
  ], { binaryName: 'wisteriactl', binaryLabel: 'wisteriabridge', binaryVersion: '0.1.0' })
}
