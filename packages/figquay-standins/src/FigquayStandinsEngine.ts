/** Stand-in for a model engine: streamed completions in OpenAI's format, fenced orders, memory accounting, a delayed load report. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { JsonClient, makeId, type Clock } from 'figquay'
import { readJson, startServer, type JsonResponse } from './FigquayStandinsHttp.js'
import { estimateTokens, hashPrefix, SequenceBatch, type BatchingOptions, type Sequence } from './FigquayStandinsSequences.js'

/** Options of one engine. */
export interface StandinEngineOptions {
  readonly id: string
  readonly port: number
  readonly capacityBytes: number
  /** `checked`: rejects orders whose fencing token is lower than the highest seen. `ignored`: accepts every order. */
  readonly fencing: 'checked' | 'ignored'
  readonly storeUrl: string
  readonly batching: BatchingOptions
  /** Age of the reported load, in milliseconds. */
  readonly loadLagMs: number
  /** Time from a crash to the restart, in milliseconds. */
  readonly restartMs: number
}

/** A model or adapter that occupies memory. */
interface ResidentWeights {
  readonly bytes: number
  phase: 'loading' | 'ready' | 'unloading'
}

/** Body of `POST /engine/orders`. */
interface EngineOrder {
  readonly orderId: string
  /** Fencing token of the daemon that sends the order. */
  readonly fence: number
  readonly action: string
  /** Id of a model or adapter. */
  readonly subject: string
  readonly bytes: number
}

/** Request body in OpenAI's format, as far as the engine reads it. */
interface CompletionBody {
  readonly model: string
  readonly messages?: ReadonlyArray<{ readonly content: string }>
  readonly prompt?: string
  readonly max_tokens?: number
  /** Index of the first token to generate, when a completion that broke off is resumed. */
  readonly resume_from?: number
}

/** Load and cache contents at one moment. */
interface BatchSample {
  readonly atMs: number
  readonly load: ReturnType<SequenceBatch['readLoad']>
  readonly cachedPrefixes: readonly string[]
}

/** Observations of one engine for the tests, served by `GET /standin/facts`. */
export interface EngineFacts {
  /** Orders that exceeded the memory capacity. */
  readonly violations: string[]
  /** Orders that passed the fencing check, as `action subject`. */
  readonly orders: string[]
  /** Orders rejected by the fencing check. */
  staleOrders: number
  crashes: number
  /** Completions that arrived for a model that is ready. */
  started: number
  /** Completions whose connection closed before the end of the response. */
  cancelled: number
  /** When the last completion started, in milliseconds since the epoch. */
  lastStartedAt: number
  peakBytes: number
  /** Requests for `GET /engine/state`. */
  stateReads: number
}

/** A prompt that contains this text crashes the engine that runs it. */
export const CRASH_TRIGGER = 'crash-the-engine'
const KEEPALIVE_INTERVAL_MS = 300
const STORE_TIMEOUT_MS = 120_000
const UNLOAD_POLL_INTERVAL_MS = 20
const SAMPLE_INTERVAL_MS = 50
const DEFAULT_OUTPUT_TOKENS = 32

/** One engine, listening on its own port. */
export class StandinEngine {
  private bootId = makeId('boot')
  private readonly models = new Map<string, ResidentWeights>()
  private readonly adapters = new Map<string, ResidentWeights>()
  private highestFencingToken = 0
  private isLeaving = false
  private isDown = false
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()
  private readonly storeClient = JsonClient.create()
  private readonly batch: SequenceBatch
  private batchSamples: BatchSample[] = []
  private readonly facts: EngineFacts = { violations: [], orders: [], staleOrders: 0, crashes: 0, started: 0, cancelled: 0, lastStartedAt: 0, peakBytes: 0, stateReads: 0 }

  private constructor (private readonly options: StandinEngineOptions, private readonly clock: Clock) {
    this.batch = SequenceBatch.create(options.batching, clock)
    setInterval(() => this.sampleBatch(), SAMPLE_INTERVAL_MS)
  }

  /**
   * @example
   * const engine = StandinEngine.create(options, clock)
   */
  static create (options: StandinEngineOptions, clock: Clock): StandinEngine {
    return new StandinEngine(options, clock)
  }

  /** Starts the HTTP server on the loopback interface; a crashed engine restarts with it. */
  async start (): Promise<void> {
    this.server = await startServer(this.options.port, (request, response, url) => this.handleRequest(request, response, url))
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonResponse | undefined> {
    if (url.pathname === '/engine/state') return { status: 200, body: this.readState() }
    if (url.pathname === '/engine/orders' && request.method === 'POST') return await this.handleOrder(request)
    if (url.pathname.startsWith('/v1/') && request.method === 'POST') return await this.handleCompletion(request, response, url.pathname)
    if (url.pathname === '/standin/facts') return { status: 200, body: { id: this.options.id, ...this.facts } }
    if (url.pathname === '/standin/control') return await this.handleControl(request)
    return { status: 404, body: { error: 'not found' } }
  }

  private readState () {
    this.facts.stateReads += 1
    return {
      bootId: this.bootId,
      leaving: this.isLeaving,
      fence: this.highestFencingToken,
      capacityBytes: this.options.capacityBytes,
      models: [...this.models].map(([id, resident]) => ({ id, ...resident })),
      adapters: [...this.adapters].map(([id, resident]) => ({ id, ...resident })),
      load: this.batchSamples[0]?.load ?? this.batch.readLoad(),
      cachedPrefixes: this.batchSamples[0]?.cachedPrefixes ?? []
    }
  }

  private sampleBatch (): void {
    const atMs = this.clock.readMonotonicMs()
    // Leaves out about a tenth of the prefixes, always the same, as if their cache events had been lost.
    const cachedPrefixes = this.batch.listCachedPrefixes().filter((key) => Number.parseInt(key.slice(0, 2), 16) % 10 !== 0)
    this.batchSamples.push({ atMs, load: this.batch.readLoad(), cachedPrefixes })
    while (this.batchSamples.length > 1 && this.batchSamples[1]!.atMs <= atMs - this.options.loadLagMs) this.batchSamples.shift()
  }

  private async handleControl (request: IncomingMessage): Promise<JsonResponse> {
    const control = await readJson<{ leaving?: boolean, crash?: boolean }>(request)
    if (control?.leaving !== undefined) this.isLeaving = control.leaving
    if (control?.crash === true) setImmediate(() => this.crash())
    return { status: 200, body: {} }
  }

  /** Drops all connections and all state but the facts, and restarts empty after `restartMs`. */
  private crash (): void {
    // An engine that is down cannot crash again.
    if (this.isDown) return
    this.isDown = true
    this.facts.crashes += 1
    this.batch.clear()
    this.models.clear()
    this.adapters.clear()
    this.bootId = makeId('boot')
    if (this.options.fencing === 'checked') this.highestFencingToken = 0
    this.server?.close()
    for (const socket of this.sockets) socket.destroy()
    setTimeout(() => {
      this.isDown = false
      this.start().catch((error: unknown) => process.stderr.write(`${String(error)}\n`))
    }, this.options.restartMs)
  }

  private async handleOrder (request: IncomingMessage): Promise<JsonResponse> {
    const order = await readJson<EngineOrder>(request)
    if (order === undefined) return { status: 400, body: { error: 'expected an order' } }
    if (this.options.fencing === 'checked') {
      if (order.fence < this.highestFencingToken) {
        this.facts.staleOrders += 1
        return { status: 409, body: { error: 'older fencing number', fence: this.highestFencingToken } }
      }
      this.highestFencingToken = order.fence
    }
    this.facts.orders.push(`${order.action} ${order.subject}`)
    return this.applyOrder(order)
  }

  private applyOrder (order: EngineOrder): JsonResponse {
    switch (order.action) {
      case 'install-fence': return { status: 202, body: {} }
      case 'load-model': return this.startLoad(this.models, 'models', order)
      case 'load-adapter': return this.startLoad(this.adapters, 'adapters', order)
      case 'unload-model': return this.startUnload(this.models, order.subject)
      case 'unload-adapter': return this.startUnload(this.adapters, order.subject)
      default: return { status: 422, body: { error: 'unknown action' } }
    }
  }

  private startLoad (residents: Map<string, ResidentWeights>, storePath: string, order: EngineOrder): JsonResponse {
    const existing = residents.get(order.subject)
    if (existing !== undefined) return { status: existing.phase === 'unloading' ? 422 : 202, body: {} }
    const entry: ResidentWeights = { bytes: order.bytes, phase: 'loading' }
    residents.set(order.subject, entry)
    this.recordMemoryUse(order)
    this.fetchWeights(residents, storePath, order.subject, entry)
    return { status: 202, body: {} }
  }

  /** Records the peak memory use, and an order that exceeds the capacity as a violation. */
  private recordMemoryUse (order: EngineOrder): void {
    const usedBytes = [...this.models.values(), ...this.adapters.values()].reduce((sum, entry) => sum + entry.bytes, 0)
    this.facts.peakBytes = Math.max(this.facts.peakBytes, usedBytes)
    if (usedBytes > this.options.capacityBytes) this.facts.violations.push(`${order.action} ${order.subject}: ${usedBytes} of ${this.options.capacityBytes} bytes`)
  }

  /** Marks the subject as ready once the weight store has delivered it, or forgets it when the transfer fails. */
  private async fetchWeights (residents: Map<string, ResidentWeights>, storePath: string, subject: string, entry: ResidentWeights): Promise<void> {
    const reply = await this.storeClient.requestJson('GET', `${this.options.storeUrl}/${storePath}/${encodeURIComponent(subject)}`, undefined, STORE_TIMEOUT_MS)
    if (residents.get(subject) !== entry || entry.phase !== 'loading') return
    if (reply.ok) entry.phase = 'ready'
    else residents.delete(subject)
  }

  /** Frees the memory of the subject once its sequences have ended. */
  private startUnload (residents: Map<string, ResidentWeights>, subject: string): JsonResponse {
    const entry = residents.get(subject)
    if (entry === undefined || entry.phase === 'unloading') return { status: 202, body: {} }
    entry.phase = 'unloading'
    this.freeWhenIdle(residents, subject, entry)
    return { status: 202, body: {} }
  }

  private async freeWhenIdle (residents: Map<string, ResidentWeights>, subject: string, entry: ResidentWeights): Promise<void> {
    do await this.clock.waitFor(UNLOAD_POLL_INTERVAL_MS)
    while (this.batch.isBusy(subject) && residents.get(subject) === entry)
    if (residents.get(subject) === entry) residents.delete(subject)
  }

  private async handleCompletion (request: IncomingMessage, response: ServerResponse, path: string): Promise<JsonResponse | undefined> {
    const body = await readJson<CompletionBody>(request)
    if (body === undefined) return { status: 400, body: { error: 'expected JSON' } }
    const [model, adapter] = body.model.split(':')
    if (this.models.get(model!)?.phase !== 'ready') return { status: 409, body: { error: `model ${model} is not ready` } }
    if (adapter !== undefined && this.adapters.get(`${model!.split('@')[0]}:${adapter}`)?.phase !== 'ready') return { status: 409, body: { error: `adapter ${adapter} is not ready` } }
    const prompt = body.messages?.map((message) => message.content).join('\n') ?? body.prompt ?? ''
    if (this.isDown) {
      response.destroy()
      return undefined
    }
    this.facts.started += 1
    this.facts.lastStartedAt = this.clock.now().getTime()
    if (prompt.includes(CRASH_TRIGGER)) {
      this.crash()
      return undefined
    }
    this.streamCompletion(request, response, path, body, model!, prompt)
    return undefined
  }

  private streamCompletion (request: IncomingMessage, response: ServerResponse, path: string, body: CompletionBody, model: string, prompt: string): void {
    const id = String(request.headers['x-request-id'] ?? makeId('completion'))
    // Every token carries the nonce of the prompt, by which a caller recognises the answer to its own request.
    const nonce = /nonce=([\w-]+)/.exec(prompt)?.[1] ?? hashPrefix(model, prompt).slice(0, 8)
    const isChat = path.includes('chat')
    const resumeFrom = body.resume_from ?? 0
    // A resumed completion prefills the tokens that were generated before, too.
    const promptTokens = estimateTokens(prompt) + resumeFrom
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id })
    response.write(': taken\n\n')
    const keepAliveTimer = setInterval(() => response.write(': working\n\n'), KEEPALIVE_INTERVAL_MS)
    const sequence: Sequence = {
      id,
      model,
      prefixKey: hashPrefix(model.split('@')[0]!, prompt),
      priority: Number(request.headers['x-priority'] ?? 1),
      promptTokens,
      outputTokens: body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
      nextTokenIndex: resumeFrom,
      remainingPromptTokens: promptTokens,
      emitToken: (index, isLast) => {
        response.write(`data: ${JSON.stringify(formatChunk(id, body.model, isChat, `${nonce}.${index} `, isLast))}\n\n`)
        if (isLast) response.end('data: [DONE]\n\n')
      }
    }
    response.once('close', () => {
      clearInterval(keepAliveTimer)
      if (!response.writableFinished) this.facts.cancelled += 1
      this.batch.removeSequence(sequence)
    })
    this.batch.addSequence(sequence)
  }
}

/** Formats one stream chunk in OpenAI's format. */
function formatChunk (id: string, model: string, isChat: boolean, text: string, isLast: boolean): unknown {
  const payload = isChat ? { delta: { content: text } } : { text }
  return {
    id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model,
    choices: [{ index: 0, ...payload, finish_reason: isLast ? 'length' : null }]
  }
}
