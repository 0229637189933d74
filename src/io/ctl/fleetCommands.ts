import { Command, Option } from 'clipanion'
import { formatRequest, formatSessionExplanation, type SessionExplanation } from '../../core/explain/index.js'
import type { EntryStatus } from '../entry/index.js'
import { ConnectedCommand, ExitCode } from './CtlCommand.js'

/** Shows the state of entries and targets. */
export class StatusCommand extends ConnectedCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({ description: 'Show each entry and the targets that it sees.', examples: [['Show the fleet', 'wisteriactl status']] })

  async execute (): Promise<number> {
    const statuses = await this.callAllEntries(async client => await client.status.query())
    this.print(statuses, statuses.flatMap(formatStatus))
    return ExitCode.Done
  }
}

/** Explains the calls of a session. */
export class ExplainSessionCommand extends ConnectedCommand {
  static override paths = [['explain', 'session']]
  static override usage = Command.Usage({
    description: 'Explain what a session did, call by call: waits, retries, refusals and their causes.',
    examples: [['Explain a session', 'wisteriactl explain session 01KDE...']]
  })

  session = Option.String({ name: 'session' })

  async execute (): Promise<number> {
    const found = await this.callEntry(async client => await client.explainSession.query(this.session)) as SessionExplanation | null
    if (found === null) return this._reportMissing()
    // A refused request without a turn is kept only by the entry that refused it. If no entry answers any more, the first response is used.
    const others = await this.callAllEntries(async client =>
      await client.explainSession.query(this.session) as SessionExplanation | null).catch(() => [found])
    const refused = new Map(others.flatMap(other => other?.refused ?? []).map(record => [record.id, record]))
    const explanation = { ...found, refused: [...refused.values()] }
    this.print(explanation, formatSessionExplanation(explanation))
    return ExitCode.Done
  }

  private _reportMissing (): number {
    this.print(null, [`no session ${this.session}`])
    return ExitCode.NotFound
  }
}

/** Explains one of the latest requests. */
export class ExplainRequestCommand extends ConnectedCommand {
  static override paths = [['explain', 'request']]
  static override usage = Command.Usage({
    description: 'Explain one of the latest requests, by the id in its `wisteria-request-id` header.',
    examples: [['Explain a request', 'wisteriactl explain request 01KDE...']]
  })

  request = Option.String({ name: 'request' })

  async execute (): Promise<number> {
    const records = await this.callAllEntries(async client => await client.explainRequest.query(this.request))
    const record = records.find(candidate => candidate !== null)
    if (record === undefined || record === null) {
      this.print(null, [`no request ${this.request} in the memory of the entries`])
      return ExitCode.NotFound
    }
    this.print(record, formatRequest(record))
    return ExitCode.Done
  }
}

/** Drains a target. */
export class DrainCommand extends ConnectedCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    description: 'Let a target finish its work and give it no more.',
    examples: [['Drain an instance', 'wisteriactl drain assistant-3']]
  })

  instance = Option.String({ name: 'instance' })

  async execute (): Promise<number> {
    const isKnown = await this.callEntry(async client => await client.drain.mutate(this.instance))
    this.print({ instance: this.instance, isKnown }, [isKnown ? `${this.instance} is leaving` : `no instance ${this.instance}`])
    return isKnown ? ExitCode.Done : ExitCode.NotFound
  }
}

function formatStatus (status: EntryStatus): string[] {
  return [
    `entry ${status.entry} (${status.region}/${status.failureDomain}): configuration ${status.configVersion}, ` +
      `confirmed ${Math.round(status.configAgeMs / 1000)} s ago, ${status.inProgress} in progress`,
    ...status.targets.map(target => `  ${target.id.padEnd(24)} ${target.service.padEnd(16)} ${target.failureDomain.padEnd(14)} ` +
      `${target.state.padEnd(8)} running ${target.running}, queued ${target.queued}, configuration ${target.configVersion}`)
  ]
}
