/** HTTP client of model engines: OpenAI completions as server-sent events, `/engine/state` and `/engine/orders`. */
import { Agent, request as sendRequest, type Dispatcher } from 'undici'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { classifyCallError, JsonClient, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { EngineClient, type CompletionEvent, type CompletionRequest, type CompletionFailure, type EngineOrder, type EngineState, type OrderReply } from './FigquayEngineClient.js'

const STATE_TIMEOUT_MS = 800
const ORDER_TIMEOUT_MS = 1_000
const CONNECT_TIMEOUT_MS = 500
/** Closes idle connections before a device on the network path drops their state. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000
/** Time within which an engine must accept or refuse a request. */
const ACCEPTANCE_TIMEOUT_MS = 500
/** Maximum time between chunks or keep-alive comments while an engine works on a request. */
const INACTIVITY_TIMEOUT_MS = 1_200
const OK = 200
const ACCEPTED = 202
const CONFLICT = 409
const INSUFFICIENT_STORAGE = 507
const SERVER_ERROR = 500

const ORDER_REPLIES: Readonly<Record<number, OrderReply>> = {
  [ACCEPTED]: 'accepted',
  [CONFLICT]: 'stale-fence',
  [INSUFFICIENT_STORAGE]: 'no-memory'
}

/** Buffers the events of one response body and ignores anything after the final event. */
class EventQueue {
  private readonly events: CompletionEvent[] = []
  private ended = false

  constructor (private readonly requestId: string, private readonly skippedChunks: number) {}

  /** Adds a server-sent event; a chunk must carry the id of its request. */
  handleMessage (message: EventSourceMessage): void {
    if (this.ended) return
    if (message.data === '[DONE]') {
      this.push({ type: 'done' })
      return
    }
    const data = JSON.parse(message.data) as Record<string, unknown>
    if (data['id'] !== this.requestId) this.pushFailure('crossed', `received a chunk of request ${String(data['id'])} in the response to ${this.requestId}`)
    else this.push({ type: 'chunk', data })
  }

  push (event: CompletionEvent): void {
    if (this.ended) return
    this.events.push(event)
    this.ended = event.type === 'done' || event.type === 'failed'
  }

  pushFailure (reason: CompletionFailure['reason'], message: string): void {
    this.push({ type: 'failed', failure: { sent: 'maybe', reason, message: `${message} (after ${this.skippedChunks} chunks)` } })
  }

  drainEvents (): CompletionEvent[] {
    return this.events.splice(0)
  }

  get isEnded (): boolean {
    return this.ended
  }
}

/** Engine client over HTTP. */
export class HttpEngineClient extends EngineClient {
  private readonly stateClient = JsonClient.create()
  private readonly orderClient = JsonClient.create()
  private agent = HttpEngineClient.makeAgent()

  /**
   * @example
   * const client = HttpEngineClient.create()
   */
  static create (): HttpEngineClient {
    return new HttpEngineClient()
  }

  private static makeAgent (): Agent {
    return new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, pipelining: 1 })
  }

  override async readState (url: string): Promise<Outcome<EngineState, CallFailure>> {
    const reply = await this.stateClient.requestJson('GET', `${url}/engine/state`, undefined, STATE_TIMEOUT_MS)
    if (!reply.ok) return reply
    if (reply.value.status === OK) return makeSuccess(reply.value.body as EngineState)
    return makeFailure({ sent: 'maybe', reason: 'reset', message: `the engine responded with status ${reply.value.status}` })
  }

  override async sendOrder (url: string, order: EngineOrder): Promise<Outcome<OrderReply, CallFailure>> {
    const reply = await this.orderClient.requestJson('POST', `${url}/engine/orders`, order, ORDER_TIMEOUT_MS)
    return reply.ok ? makeSuccess(ORDER_REPLIES[reply.value.status] ?? 'rejected') : reply
  }

  override async * streamCompletion (url: string, request: CompletionRequest, signal: AbortSignal): AsyncGenerator<CompletionEvent, void, void> {
    // Every way of ending the exchange aborts this controller, which destroys the connection.
    const abortController = new AbortController()
    const abortExchange = (): void => abortController.abort()
    signal.addEventListener('abort', abortExchange, { once: true })
    try {
      yield * this.runExchange(url, request, abortController)
    } finally {
      signal.removeEventListener('abort', abortExchange)
      abortController.abort()
    }
  }

  override close (): void {
    this.stateClient.close()
    this.orderClient.close()
    this.agent.destroy()
  }

  private async * runExchange (url: string, request: CompletionRequest, abortController: AbortController): AsyncGenerator<CompletionEvent, void, void> {
    const watchdog = InactivityWatchdog.create(abortController)
    const agent = this.agent
    try {
      const response = await this.openResponse(url, request, abortController.signal)
      if (response.statusCode !== OK) {
        yield { type: 'failed', failure: await readErrorResponse(response) }
        return
      }
      yield * this.readEvents(response, request, watchdog)
    } catch (error) {
      if (watchdog.hasExpired) this.replaceAgent(agent)
      yield { type: 'failed', failure: watchdog.hasExpired ? { sent: 'maybe', reason: 'silent', message: 'timed out waiting for data from the engine' } : classifyCallError(error) }
    } finally {
      watchdog.stop()
    }
  }

  /** After an inactivity timeout other pooled connections may be dead as well, so later requests open new ones. */
  private replaceAgent (staleAgent: Agent): void {
    if (this.agent !== staleAgent) return
    this.agent = HttpEngineClient.makeAgent()
    staleAgent.close()
  }

  private openResponse (url: string, request: CompletionRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    return sendRequest(`${url}${request.path}`, {
      method: 'POST',
      dispatcher: this.agent,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
      headers: {
        'content-type': 'application/json',
        'x-request-id': request.requestId,
        'x-priority': String(request.priority)
      },
      body: JSON.stringify({ ...request.body, model: request.model, stream: true, resume_from: request.resumeFrom })
    })
  }

  private async * readEvents (response: Dispatcher.ResponseData, request: CompletionRequest, watchdog: InactivityWatchdog): AsyncGenerator<CompletionEvent, void, void> {
    const queue = new EventQueue(request.requestId, request.resumeFrom)
    if (response.headers['x-request-id'] !== request.requestId) queue.pushFailure('crossed', 'the response carries the id of another request')
    else queue.push({ type: 'alive' })
    const parser = createParser({ onEvent: (message) => queue.handleMessage(message), onComment: () => queue.push({ type: 'alive' }) })
    const decoder = new TextDecoder()
    watchdog.recordActivity()
    yield * queue.drainEvents()
    for await (const bytes of response.body) {
      watchdog.recordActivity()
      parser.feed(decoder.decode(bytes as Buffer, { stream: true }))
      yield * queue.drainEvents()
      if (queue.isEnded) return
    }
    queue.pushFailure('truncated', 'the stream ended without [DONE]')
    yield * queue.drainEvents()
  }
}

/** Aborts an exchange when nothing arrives for too long. */
class InactivityWatchdog {
  private expired = false
  private timer: NodeJS.Timeout
  private isAccepted = false

  private constructor (private readonly abortController: AbortController) {
    this.timer = this.startTimer(ACCEPTANCE_TIMEOUT_MS)
  }

  static create (abortController: AbortController): InactivityWatchdog {
    return new InactivityWatchdog(abortController)
  }

  get hasExpired (): boolean {
    return this.expired
  }

  /** Restarts the timer. The first activity marks the acceptance; after it the longer timeout applies. */
  recordActivity (): void {
    if (this.isAccepted) {
      this.timer.refresh()
      return
    }
    this.isAccepted = true
    clearTimeout(this.timer)
    this.timer = this.startTimer(INACTIVITY_TIMEOUT_MS)
  }

  private startTimer (timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.expired = true
      this.abortController.abort()
    }, timeoutMs)
  }

  stop (): void {
    clearTimeout(this.timer)
  }
}

/** Reads an error response. One with a complete body means that the engine has not run the request. */
async function readErrorResponse (response: Dispatcher.ResponseData): Promise<CompletionFailure> {
  const message = await response.body.text()
  const status = response.statusCode
  return { sent: 'never', reason: status >= SERVER_ERROR || status === CONFLICT ? 'refused' : 'invalid', status, message: message.slice(0, 200) }
}

/**
 * Registers the HTTP engine client as plug-in `http`.
 *
 * @example
 * const unregister = registerHttpEngineClient(registry)
 */
export function registerHttpEngineClient (registry: PluginRegistry): () => void {
  return registry.registerPlugin('engine-client', 'http', HttpEngineClient.create)
}
