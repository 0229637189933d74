#!/usr/bin/env node
/** The command line tool for operators, without the commands of a platform. */
import { createCli } from '../io/ctl/index.js'

await createCli().runExit(process.argv.slice(2))
