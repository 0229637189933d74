#!/usr/bin/env node
/** The command line tool for operators. */
import { Builtins, Cli } from 'clipanion'
import {
  ApplyCommand, DiffCommand, DrainCommand, ExplainLogsCommand, ExplainRequestCommand, ExplainSessionCommand, HashKeyCommand, LossesCommand,
  StatusCommand, ValidateCommand
} from '../io/ctl/index.js'

const cli = new Cli({ binaryName: 'wisteriactl', binaryLabel: 'wisteriabridge', binaryVersion: '0.1.0' })
for (const command of [
  ValidateCommand, DiffCommand, ApplyCommand, StatusCommand, ExplainSessionCommand, ExplainRequestCommand, DrainCommand, HashKeyCommand,
  ExplainLogsCommand, LossesCommand, Builtins.HelpCommand, Builtins.VersionCommand
]) cli.register(command)
await cli.runExit(process.argv.slice(2))
