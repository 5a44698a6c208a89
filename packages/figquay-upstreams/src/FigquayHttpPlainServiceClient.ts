/** Plain services over HTTP. */
import { Agent, Client, request as sendRequest, type Dispatcher } from 'undici'
import { classifyCallError, JsonClient, Deadline, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { PlainServiceClient, type ServiceCall, type ServiceReply } from './FigquayPlainServiceClient.js'

const CONNECT_TIMEOUT_MS = 500
const IDLE_CONNECTION_MS = 3_000
const HEALTH_TIMEOUT_MS = 800
const NO_CONTENT_TYPE = 'application/octet-stream'

/** Plain-service client that speaks HTTP. */
export class HttpPlainServiceClient extends PlainServiceClient {
  private readonly health = JsonClient.create()
  private agent = HttpPlainServiceClient.makeAgent()

  /**
   * @example
   * const client = HttpPlainServiceClient.create()
   */
  static create (): HttpPlainServiceClient {
    return new HttpPlainServiceClient()
  }

  private static makeAgent (): Agent {
    return new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: IDLE_CONNECTION_MS, pipelining: 1 })
  }

  override async sendCall (url: string, call: ServiceCall, signal?: AbortSignal): Promise<Outcome<ServiceReply, CallFailure>> {
    if (call.idempotencyKey === undefined) return this.exchange(url, call, this.agent, signal)
    // A pooled connection may have gone silent; what must not repeat gets a new one.
    const client = new Client(url, { connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 0 })
    try {
      return await this.exchange(url, call, client, signal)
    } finally {
      client.destroy()
    }
  }

  override async readHealth (url: string): Promise<Outcome<{ readonly leaving: boolean }, CallFailure>> {
    const reply = await this.health.requestJson('GET', `${url}/health`, undefined, HEALTH_TIMEOUT_MS)
    return reply.ok ? makeSuccess({ leaving: (reply.value.body as { leaving?: boolean })?.leaving === true }) : reply
  }

  override close (): void {
    this.health.close()
    this.agent.destroy()
  }

  private async exchange (url: string, call: ServiceCall, dispatcher: Dispatcher, signal?: AbortSignal): Promise<Outcome<ServiceReply, CallFailure>> {
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

  /** After a timeout every pooled connection is suspect: later calls open new ones. */
  private replaceAgent (suspect: Dispatcher): void {
    if (this.agent !== suspect) return
    const old = this.agent
    this.agent = HttpPlainServiceClient.makeAgent()
    old.close()
  }
}

function makeHeaders (call: ServiceCall): Record<string, string> {
  return {
    'x-request-id': call.requestId,
    ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }),
    ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey })
  }
}

/** Reads the whole body; the answer must bear the id of its request. */
async function readReply (response: Dispatcher.ResponseData, call: ServiceCall): Promise<Outcome<ServiceReply, CallFailure>> {
  const body = Buffer.from(await response.body.arrayBuffer())
  if (response.headers['x-request-id'] !== call.requestId) return makeFailure({ sent: 'maybe', reason: 'malformed', message: 'answer to another request' })
  return makeSuccess({
    status: response.statusCode,
    contentType: String(response.headers['content-type'] ?? NO_CONTENT_TYPE),
    body,
    notRun: response.headers['service-outcome'] === 'not-run'
  })
}

/**
 * Makes the HTTP plain-service client available as `http`.
 *
 * @example
 * const undo = registerHttpPlainServiceClient(registry)
 */
export function registerHttpPlainServiceClient (registry: PluginRegistry): () => void {
  return registry.registerPlugin('plain-service-client', 'http', HttpPlainServiceClient.create)
}
