/** Stand-in of a plain service: counts what it has executed under each idempotency key. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, readText, startServer, type JsonAnswer } from './FigquayStandinsHttp.js'

/** Options of a service. */
export interface StandinServiceOptions {
  readonly id: string
  /** Time of one call, in milliseconds. */
  readonly serviceMs: number
}

/** How the service behaves; changed over `POST /standin/control`. */
export interface ServiceBehaviour {
  leaving: boolean
  /** `refuse`: says that it did not run the call. `hang`: takes the call and does not answer. `slow`: takes its time. `lose`: runs it, then drops the connection. */
  mode: 'up' | 'refuse' | 'hang' | 'slow' | 'lose'
}

/** An answer of a slow service takes this long, in milliseconds. */
const SLOW_MS = 1_200

/** One service. */
export class StandinService {
  private readonly executions = new Map<string, number>()
  private lastStartedAt = 0
  private calls = 0
  private readonly behaviour: ServiceBehaviour = { leaving: false, mode: 'up' }

  private constructor (private readonly options: StandinServiceOptions, private readonly clock: Clock) {}

  /**
   * @example
   * const service = StandinService.create({ id: 'ledger-1', serviceMs: 5 }, clock)
   */
  static create (options: StandinServiceOptions, clock: Clock): StandinService {
    return new StandinService(options, clock)
  }

  /** Listens on loopback. */
  start (port: number): Promise<Server> {
    return startServer(port, (request, response, url) => this.serve(request, response, url))
  }

  private async serve (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonAnswer | undefined> {
    if (url.pathname === '/health') return { status: 200, body: { leaving: this.behaviour.leaving } }
    if (url.pathname === '/standin/facts') return { status: 200, body: { id: this.options.id, calls: this.calls, lastStartedAt: this.lastStartedAt, executions: Object.fromEntries(this.executions) } }
    if (url.pathname === '/standin/control') {
      Object.assign(this.behaviour, await readJson<Partial<ServiceBehaviour>>(request))
      return { status: 200, body: this.behaviour }
    }
    return await this.call(request, response, url)
  }

  private async call (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonAnswer | undefined> {
    const text = await readText(request)
    const headers = { 'x-request-id': String(request.headers['x-request-id'] ?? '') }
    if (this.behaviour.mode === 'refuse') return { status: 503, body: { error: 'not taken' }, headers: { ...headers, 'service-outcome': 'not-run' } }
    this.calls += 1
    this.lastStartedAt = this.clock.now().getTime()
    const key = request.headers['idempotency-key']
    if (typeof key === 'string') this.executions.set(key, (this.executions.get(key) ?? 0) + 1)
    if (this.behaviour.mode === 'hang') return undefined
    await this.clock.waitFor(this.behaviour.mode === 'slow' ? SLOW_MS : this.options.serviceMs)
    if (this.behaviour.mode === 'lose') {
      response.destroy()
      return undefined
    }
    return { status: request.method === 'POST' ? 201 : 200, body: { service: this.options.id, path: url.pathname, echo: text.slice(0, 200) }, headers }
  }
}
