/** Engines over HTTP: OpenAI's completions as server-sent events, `/engine/state`, `/engine/orders`. */
import { Agent, request as sendRequest, type Dispatcher } from 'undici'
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { classifyCallError, JsonClient, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { EngineClient, type CompletionEvent, type CompletionRequest, type EngineFailure, type EngineOrder, type EngineState, type OrderReply } from './FigquayEngineClient.js'

const STATE_TIMEOUT_MS = 800
const ORDER_TIMEOUT_MS = 1_000
const CONNECT_TIMEOUT_MS = 500
/** Idle connections are closed before anything between the ends forgets them, in milliseconds. */
const IDLE_CONNECTION_MS = 3_000
/** An engine takes or refuses a request within this time, in milliseconds. */
const ACCEPTANCE_LIMIT_MS = 500
/** An engine says at least this often that it works on a request, in milliseconds. */
const SILENCE_LIMIT_MS = 1_200
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

/** Events of one response body, in order, with an end for silence. */
class EventQueue {
  private readonly events: CompletionEvent[] = []
  private ended = false

  constructor (private readonly requestId: string, private readonly skipped: number) {}

  /** Chunks must bear the id of their request and follow each other without a gap. */
  takeMessage (message: EventSourceMessage): void {
    if (this.ended) return
    if (message.data === '[DONE]') {
      this.push({ type: 'done' })
      return
    }
    const data = JSON.parse(message.data) as Record<string, unknown>
    if (data['id'] !== this.requestId) this.pushFailure('crossed', `chunk of ${String(data['id'])} in the answer to ${this.requestId}`)
    else this.push({ type: 'chunk', data })
  }

  push (event: CompletionEvent): void {
    if (this.ended) return
    this.events.push(event)
    this.ended = event.type === 'done' || event.type === 'failed'
  }

  pushFailure (reason: EngineFailure['reason'], message: string): void {
    this.push({ type: 'failed', failure: { sent: 'maybe', reason, message: `${message} (after ${this.skipped} chunks)` } })
  }

  takeAll (): CompletionEvent[] {
    return this.events.splice(0)
  }

  get isEnded (): boolean {
    return this.ended
  }
}

/** Engine client that speaks HTTP. */
export class HttpEngineClient extends EngineClient {
  private readonly states = JsonClient.create()
  private readonly orders = JsonClient.create()
  private agent = HttpEngineClient.makeAgent()

  /**
   * @example
   * const client = HttpEngineClient.create()
   */
  static create (): HttpEngineClient {
    return new HttpEngineClient()
  }

  private static makeAgent (): Agent {
    return new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: IDLE_CONNECTION_MS, pipelining: 1 })
  }

  override async readState (url: string): Promise<Outcome<EngineState, CallFailure>> {
    const reply = await this.states.requestJson('GET', `${url}/engine/state`, undefined, STATE_TIMEOUT_MS)
    if (!reply.ok) return reply
    if (reply.value.status === OK) return makeSuccess(reply.value.body as EngineState)
    return makeFailure({ sent: 'maybe', reason: 'reset', message: `the engine answered with status ${reply.value.status}` })
  }

  override async sendOrder (url: string, order: EngineOrder): Promise<Outcome<OrderReply, CallFailure>> {
    const reply = await this.orders.requestJson('POST', `${url}/engine/orders`, order, ORDER_TIMEOUT_MS)
    return reply.ok ? makeSuccess(ORDER_REPLIES[reply.value.status] ?? 'rejected') : reply
  }

  override async * streamCompletion (url: string, request: CompletionRequest, signal: AbortSignal): AsyncGenerator<CompletionEvent, void, void> {
    // One controller ends the exchange for every reason, which destroys its connection.
    const exchange = new AbortController()
    const stop = (): void => exchange.abort()
    signal.addEventListener('abort', stop, { once: true })
    try {
      yield * this.runExchange(url, request, exchange)
    } finally {
      signal.removeEventListener('abort', stop)
      exchange.abort()
    }
  }

  override close (): void {
    this.states.close()
    this.orders.close()
    this.agent.destroy()
  }

  private async * runExchange (url: string, request: CompletionRequest, exchange: AbortController): AsyncGenerator<CompletionEvent, void, void> {
    const watch = SilenceWatch.create(exchange)
    const agent = this.agent
    try {
      const response = await this.openResponse(url, request, exchange.signal)
      if (response.statusCode !== OK) {
        yield { type: 'failed', failure: await readRefusal(response) }
        return
      }
      yield * this.readEvents(response, request, watch)
    } catch (error) {
      if (watch.isSilent) this.replaceAgent(agent)
      yield { type: 'failed', failure: watch.isSilent ? { sent: 'maybe', reason: 'silent', message: 'the connection went silent' } : classifyCallError(error) }
    } finally {
      watch.stop()
    }
  }

  /** After a silence every pooled connection is suspect: later requests open new ones. */
  private replaceAgent (suspect: Agent): void {
    if (this.agent !== suspect) return
    this.agent = HttpEngineClient.makeAgent()
    suspect.close()
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

  private async * readEvents (response: Dispatcher.ResponseData, request: CompletionRequest, watch: SilenceWatch): AsyncGenerator<CompletionEvent, void, void> {
    const queue = new EventQueue(request.requestId, request.resumeFrom)
    if (response.headers['x-request-id'] !== request.requestId) queue.pushFailure('crossed', 'response to another request')
    else queue.push({ type: 'alive' })
    const parser = createParser({ onEvent: (message) => queue.takeMessage(message), onComment: () => queue.push({ type: 'alive' }) })
    const decoder = new TextDecoder()
    watch.noteActivity()
    yield * queue.takeAll()
    for await (const bytes of response.body) {
      watch.noteActivity()
      parser.feed(decoder.decode(bytes as Buffer, { stream: true }))
      yield * queue.takeAll()
      if (queue.isEnded) return
    }
    queue.pushFailure('truncated', 'the stream ended without its terminator')
    yield * queue.takeAll()
  }
}

/** Aborts an exchange on which nothing is heard. */
class SilenceWatch {
  private silent = false
  private timer: NodeJS.Timeout
  private isAccepted = false

  private constructor (private readonly exchange: AbortController) {
    this.timer = this.startTimer(ACCEPTANCE_LIMIT_MS)
  }

  static create (exchange: AbortController): SilenceWatch {
    return new SilenceWatch(exchange)
  }

  get isSilent (): boolean {
    return this.silent
  }

  /** The first activity is the acceptance; from then on the longer limit holds. */
  noteActivity (): void {
    if (this.isAccepted) {
      this.timer.refresh()
      return
    }
    this.isAccepted = true
    clearTimeout(this.timer)
    this.timer = this.startTimer(SILENCE_LIMIT_MS)
  }

  private startTimer (limitMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.silent = true
      this.exchange.abort()
    }, limitMs)
  }

  stop (): void {
    clearTimeout(this.timer)
  }
}

/** An error status with a whole body: the engine has not run the request. */
async function readRefusal (response: Dispatcher.ResponseData): Promise<EngineFailure> {
  const message = await response.body.text()
  const status = response.statusCode
  return { sent: 'never', reason: status >= SERVER_ERROR || status === CONFLICT ? 'refused' : 'invalid', status, message: message.slice(0, 200) }
}

/**
 * Makes the HTTP engine client available as `http`.
 *
 * @example
 * const undo = registerHttpEngineClient(registry)
 */
export function registerHttpEngineClient (registry: PluginRegistry): () => void {
  return registry.registerPlugin('engine-client', 'http', HttpEngineClient.create)
}
