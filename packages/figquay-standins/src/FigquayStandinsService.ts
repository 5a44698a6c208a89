/** Stand-in for a plain service: counts the executions under each idempotency key. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, readText, startServer, type JsonResponse } from './FigquayStandinsHttp.js'

/** Options of one service upstream. */
export interface StandinServiceOptions {
  readonly id: string
  /** Service time of a call, in milliseconds. */
  readonly serviceMs: number
}

/** Fault settings of the service, changed through `POST /standin/control`. */
export interface ServiceBehaviour {
  /** Reported by `GET /health`. */
  leaving: boolean
  /**
   * `refuse`: responds with status 503 and says that the call was not run. `hang`: runs the call and never responds.
   * `slow`: responds after a long service time. `lose`: runs the call, then closes the connection without a response.
   */
  mode: 'up' | 'refuse' | 'hang' | 'slow' | 'lose'
}

/** Service time in `slow` mode. */
const SLOW_SERVICE_MS = 1_200

/** One service upstream. */
export class StandinService {
  private readonly executions = new Map<string, number>()
  private lastStartedAt = 0
  private callCount = 0
  private readonly behaviour: ServiceBehaviour = { leaving: false, mode: 'up' }

  private constructor (private readonly options: StandinServiceOptions, private readonly clock: Clock) {}

  /**
   * @example
   * const service = StandinService.create({ id: 'ledger-1', serviceMs: 5 }, clock)
   */
  static create (options: StandinServiceOptions, clock: Clock): StandinService {
    return new StandinService(options, clock)
  }

  /** Starts the HTTP server on the loopback interface. */
  start (port: number): Promise<Server> {
    return startServer(port, (request, response, url) => this.handleRequest(request, response, url))
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonResponse | undefined> {
    if (url.pathname === '/health') return { status: 200, body: { leaving: this.behaviour.leaving } }
    if (url.pathname === '/standin/facts') return { status: 200, body: { id: this.options.id, calls: this.callCount, lastStartedAt: this.lastStartedAt, executions: Object.fromEntries(this.executions) } }
    if (url.pathname === '/standin/control') {
      Object.assign(this.behaviour, await readJson<Partial<ServiceBehaviour>>(request))
      return { status: 200, body: this.behaviour }
    }
    return await this.handleCall(request, response, url)
  }

  private async handleCall (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonResponse | undefined> {
    const requestBody = await readText(request)
    const headers = { 'x-request-id': String(request.headers['x-request-id'] ?? '') }
    if (this.behaviour.mode === 'refuse') return { status: 503, body: { error: 'not taken' }, headers: { ...headers, 'service-outcome': 'not-run' } }
    this.callCount += 1
    this.lastStartedAt = this.clock.now().getTime()
    const key = request.headers['idempotency-key']
    if (typeof key === 'string') this.executions.set(key, (this.executions.get(key) ?? 0) + 1)
    if (this.behaviour.mode === 'hang') return undefined
    await this.clock.waitFor(this.behaviour.mode === 'slow' ? SLOW_SERVICE_MS : this.options.serviceMs)
    if (this.behaviour.mode === 'lose') {
      response.destroy()
      return undefined
    }
    return { status: request.method === 'POST' ? 201 : 200, body: { service: this.options.id, path: url.pathname, echo: requestBody.slice(0, 200) }, headers }
  }
}
