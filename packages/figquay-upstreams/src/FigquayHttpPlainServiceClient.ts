/** HTTP client of plain services. */
import { Agent, Client, request as sendRequest, type Dispatcher } from 'undici'
import { classifyCallError, JsonClient, Deadline, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { PlainServiceClient, type ServiceCall, type ServiceReply } from './FigquayPlainServiceClient.js'

const CONNECT_TIMEOUT_MS = 500
const KEEP_ALIVE_TIMEOUT_MS = 3_000
const HEALTH_TIMEOUT_MS = 800
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'

/** Plain-service client over HTTP. */
export class HttpPlainServiceClient extends PlainServiceClient {
  private readonly healthClient = JsonClient.create()
  private agent = HttpPlainServiceClient.makeAgent()

  /**
   * @example
   * const client = HttpPlainServiceClient.create()
   */
  static create (): HttpPlainServiceClient {
    return new HttpPlainServiceClient()
  }

  private static makeAgent (): Agent {
    return new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, pipelining: 1 })
  }

  override async sendCall (url: string, call: ServiceCall, signal?: AbortSignal): Promise<Outcome<ServiceReply, CallFailure>> {
    if (call.idempotencyKey === undefined) return this.runExchange(url, call, this.agent, signal)
    // A pooled connection may be dead without notice, so a call that must not be repeated gets a new one.
    const client = new Client(url, { connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 0 })
    try {
      return await this.runExchange(url, call, client, signal)
    } finally {
      client.destroy()
    }
  }

  override async readHealth (url: string): Promise<Outcome<{ readonly leaving: boolean }, CallFailure>> {
    const reply = await this.healthClient.requestJson('GET', `${url}/health`, undefined, HEALTH_TIMEOUT_MS)
    return reply.ok ? makeSuccess({ leaving: (reply.value.body as { leaving?: boolean })?.leaving === true }) : reply
  }

  override close (): void {
    this.healthClient.close()
    this.agent.destroy()
  }

  private async runExchange (url: string, call: ServiceCall, dispatcher: Dispatcher, signal?: AbortSignal): Promise<Outcome<ServiceReply, CallFailure>> {
    const deadline = Deadline.create(call.timeoutMs, signal)
    try {
      const response = await sendRequest(`${url}${call.path}`, {
        method: call.method as Dispatcher.HttpMethod,
        dispatcher,
        signal: deadline.signal,
        headers: makeHeaders(call),
        body: call.body.length === 0 ? null : call.body
      })
      return await readReply(response, call)
    } catch (error) {
      const failure = classifyCallError(error)
      if (deadline.hasExpired) this.replaceAgent(dispatcher)
      return makeFailure(deadline.hasExpired ? { ...failure, sent: 'maybe', reason: 'timeout' } : failure)
    } finally {
      deadline.dispose()
    }
  }

  /** After a timeout other pooled connections may be dead as well, so later calls open new ones. */
  private replaceAgent (staleAgent: Dispatcher): void {
    if (this.agent !== staleAgent) return
    const oldAgent = this.agent
    this.agent = HttpPlainServiceClient.makeAgent()
    oldAgent.close()
  }
}

function makeHeaders (call: ServiceCall): Record<string, string> {
  return {
    'x-request-id': call.requestId,
    ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
    ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey })
  }
}

/** Reads the complete reply, which must carry the id of its request. */
async function readReply (response: Dispatcher.ResponseData, call: ServiceCall): Promise<Outcome<ServiceReply, CallFailure>> {
  const body = Buffer.from(await response.body.arrayBuffer())
  if (response.headers['x-request-id'] !== call.requestId) return makeFailure({ sent: 'maybe', reason: 'malformed', message: 'the reply carries the id of another request' })
  return makeSuccess({
    status: response.statusCode,
    contentType: String(response.headers['content-type'] ?? DEFAULT_CONTENT_TYPE),
    body,
    isNotRun: response.headers['service-outcome'] === 'not-run'
  })
}

/**
 * Registers the HTTP plain-service client as plug-in `http`.
 *
 * @example
 * const unregister = registerHttpPlainServiceClient(registry)
 */
export function registerHttpPlainServiceClient (registry: PluginRegistry): () => void {
  return registry.registerPlugin('plain-service-client', 'http', HttpPlainServiceClient.create)
}
