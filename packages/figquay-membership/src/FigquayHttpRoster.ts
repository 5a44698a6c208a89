/** Reads the roster over HTTP with `GET /vms`. */
import { JsonClient, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { Roster, type RosterSnapshot } from './FigquayRoster.js'

/** Options of the HTTP roster. */
export interface HttpRosterOptions {
  /** Base URL of the roster service. */
  readonly url: string
}

const READ_TIMEOUT_MS = 800
const OK = 200

/** Roster client over HTTP and JSON. */
export class HttpRoster extends Roster {
  private readonly client = JsonClient.create()

  private constructor (private readonly options: HttpRosterOptions) {
    super()
  }

  /**
   * @example
   * const roster = HttpRoster.create({ url: 'http://127.0.0.1:7101' })
   */
  static create (options: HttpRosterOptions): HttpRoster {
    return new HttpRoster(options)
  }

  override async readSnapshot (): Promise<Outcome<RosterSnapshot, CallFailure>> {
    const reply = await this.client.requestJson('GET', `${this.options.url}/vms`, undefined, READ_TIMEOUT_MS)
    if (!reply.ok) return reply
    if (reply.value.status === OK) return makeSuccess(reply.value.body as RosterSnapshot)
    return makeFailure({ sent: 'maybe', reason: 'reset', message: `roster returned HTTP status ${reply.value.status}` })
  }

  override close (): void {
    this.client.close()
  }
}

/**
 * Registers the HTTP roster as plug-in `http`.
 *
 * @example
 * const unregister = registerHttpRoster(registry)
 */
export function registerHttpRoster (registry: PluginRegistry): () => void {
  return registry.registerPlugin('roster', 'http', HttpRoster.create)
}
