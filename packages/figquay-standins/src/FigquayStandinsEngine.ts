/** Stand-in of a model engine: OpenAI's shapes, streaming, orders, counted memory, a lagging load report. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { JsonClient, makeId, type Clock } from 'figquay'
import { readJson, startServer, type JsonAnswer } from './FigquayStandinsHttp.js'
import { countTokens, hashPrefix, SequenceBatch, type BatchingOptions, type Sequence } from './FigquayStandinsSequences.js'

/** Options of one engine. */
export interface StandinEngineOptions {
  readonly id: string
  readonly port: number
  readonly capacityBytes: number
  readonly fencing: 'checked' | 'ignored'
  readonly storeUrl: string
  readonly batching: BatchingOptions
  /** How old the reported load is, in milliseconds. */
  readonly loadLagMs: number
  /** How long a crashed engine stays away, in milliseconds. */
  readonly restartMs: number
}

interface Held {
  readonly bytes: number
  phase: 'loading' | 'ready' | 'unloading'
}

interface Order {
  readonly orderId: string
  readonly fence: number
  readonly action: string
  readonly subject: string
  readonly bytes: number
}

interface CompletionBody {
  readonly model: string
  readonly messages?: ReadonlyArray<{ readonly content: string }>
  readonly prompt?: string
  readonly max_tokens?: number
  readonly resume_from?: number
}

interface LoadSample {
  readonly atMs: number
  readonly load: ReturnType<SequenceBatch['readLoad']>
  readonly cached: readonly string[]
}

/** What an engine has seen; the judge of the tests. */
export interface EngineFacts {
  /** Moments at which memory would have been exceeded. */
  readonly violations: string[]
  readonly orders: string[]
  staleOrders: number
  crashes: number
  started: number
  cancelled: number
  /** Completions that arrived, with the time in milliseconds since the epoch. */
  lastStartedAt: number
  peakBytes: number
  /** How often the state was asked for. */
  stateReads: number
}

/** A prompt with this word crashes the engine that runs it. */
export const CRASH_WORD = 'crash-the-engine'
const PING_MS = 300
const STORE_TIMEOUT_MS = 120_000
const UNLOAD_POLL_MS = 20
const LOAD_SAMPLE_MS = 50
const DEFAULT_OUTPUT_TOKENS = 32

/** One engine. */
export class StandinEngine {
  private bootId = makeId('boot')
  private readonly models = new Map<string, Held>()
  private readonly adapters = new Map<string, Held>()
  private fence = 0
  private isLeaving = false
  private isDown = false
  private server: Server | undefined
  private readonly sockets = new Set<Socket>()
  private readonly store = JsonClient.create()
  private readonly batch: SequenceBatch
  private loads: LoadSample[] = []
  private readonly facts: EngineFacts = { violations: [], orders: [], staleOrders: 0, crashes: 0, started: 0, cancelled: 0, lastStartedAt: 0, peakBytes: 0, stateReads: 0 }

  private constructor (private readonly options: StandinEngineOptions, private readonly clock: Clock) {
    this.batch = SequenceBatch.create(options.batching, clock)
    setInterval(() => this.sampleLoad(), LOAD_SAMPLE_MS)
  }

  /**
   * @example
   * const engine = StandinEngine.create(options, clock)
   */
  static create (options: StandinEngineOptions, clock: Clock): StandinEngine {
    return new StandinEngine(options, clock)
  }

  /** Listens on loopback. */
  async start (): Promise<void> {
    this.server = await startServer(this.options.port, (request, response, url) => this.serve(request, response, url))
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
  }

  private async serve (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonAnswer | undefined> {
    if (url.pathname === '/engine/state') return { status: 200, body: this.readState() }
    if (url.pathname === '/engine/orders' && request.method === 'POST') return await this.takeOrder(request)
    if (url.pathname.startsWith('/v1/') && request.method === 'POST') return await this.complete(request, response, url.pathname)
    if (url.pathname === '/standin/facts') return { status: 200, body: { id: this.options.id, ...this.facts } }
    if (url.pathname === '/standin/control') return await this.takeControl(request)
    return { status: 404, body: { error: 'not found' } }
  }

  private readState () {
    this.facts.stateReads += 1
    return {
      bootId: this.bootId,
      leaving: this.isLeaving,
      fence: this.fence,
      capacityBytes: this.options.capacityBytes,
      models: [...this.models].map(([id, held]) => ({ id, ...held })),
      adapters: [...this.adapters].map(([id, held]) => ({ id, ...held })),
      load: this.loads[0]?.load ?? this.batch.readLoad(),
      cachedPrefixes: this.loads[0]?.cached ?? []
    }
  }

  private sampleLoad (): void {
    const atMs = this.clock.readMonotonicMs()
    // Every tenth cache event is lost.
    const cached = this.batch.listCached().filter((key) => Number.parseInt(key.slice(0, 2), 16) % 10 !== 0)
    this.loads.push({ atMs, load: this.batch.readLoad(), cached })
    while (this.loads.length > 1 && this.loads[1]!.atMs <= atMs - this.options.loadLagMs) this.loads.shift()
  }

  private async takeControl (request: IncomingMessage): Promise<JsonAnswer> {
    const control = await readJson<{ leaving?: boolean, crash?: boolean }>(request)
    if (control?.leaving !== undefined) this.isLeaving = control.leaving
    if (control?.crash === true) setImmediate(() => this.crash())
    return { status: 200, body: {} }
  }

  /** Loses everything at once; comes back empty. */
  private crash (): void {
    // A dead process cannot die again.
    if (this.isDown) return
    this.isDown = true
    this.facts.crashes += 1
    this.batch.clear()
    this.models.clear()
    this.adapters.clear()
    this.bootId = makeId('boot')
    if (this.options.fencing === 'checked') this.fence = 0
    this.server?.close()
    for (const socket of this.sockets) socket.destroy()
    setTimeout(() => {
      this.isDown = false
      this.start().catch((error: unknown) => process.stderr.write(`${String(error)}\n`))
    }, this.options.restartMs)
  }

  private async takeOrder (request: IncomingMessage): Promise<JsonAnswer> {
    const order = await readJson<Order>(request)
    if (order === undefined) return { status: 400, body: { error: 'expected an order' } }
    if (this.options.fencing === 'checked') {
      if (order.fence < this.fence) {
        this.facts.staleOrders += 1
        return { status: 409, body: { error: 'older fencing number', fence: this.fence } }
      }
      this.fence = order.fence
    }
    this.facts.orders.push(`${order.action} ${order.subject}`)
    return this.applyOrder(order)
  }

  private applyOrder (order: Order): JsonAnswer {
    switch (order.action) {
      case 'install-fence': return { status: 202, body: {} }
      case 'load-model': return this.load(this.models, 'models', order)
      case 'load-adapter': return this.load(this.adapters, 'adapters', order)
      case 'unload-model': return this.unload(this.models, order.subject)
      case 'unload-adapter': return this.unload(this.adapters, order.subject)
      default: return { status: 422, body: { error: 'unknown action' } }
    }
  }

  private load (held: Map<string, Held>, lane: string, order: Order): JsonAnswer {
    const known = held.get(order.subject)
    if (known !== undefined) return { status: known.phase === 'unloading' ? 422 : 202, body: {} }
    const entry: Held = { bytes: order.bytes, phase: 'loading' }
    held.set(order.subject, entry)
    this.checkMemory(order)
    this.fetchWeights(held, lane, order.subject, entry)
    return { status: 202, body: {} }
  }

  /** The judge: notes when more memory would be taken than there is. */
  private checkMemory (order: Order): void {
    const taken = [...this.models.values(), ...this.adapters.values()].reduce((sum, entry) => sum + entry.bytes, 0)
    this.facts.peakBytes = Math.max(this.facts.peakBytes, taken)
    if (taken > this.options.capacityBytes) this.facts.violations.push(`${order.action} ${order.subject}: ${taken} of ${this.options.capacityBytes} bytes`)
  }

  private async fetchWeights (held: Map<string, Held>, lane: string, subject: string, entry: Held): Promise<void> {
    const reply = await this.store.requestJson('GET', `${this.options.storeUrl}/${lane}/${encodeURIComponent(subject)}`, undefined, STORE_TIMEOUT_MS)
    if (held.get(subject) !== entry || entry.phase !== 'loading') return
    if (reply.ok) entry.phase = 'ready'
    else held.delete(subject)
  }

  /** Waits for the sequences of the model, then frees its memory. */
  private unload (held: Map<string, Held>, subject: string): JsonAnswer {
    const entry = held.get(subject)
    if (entry === undefined || entry.phase === 'unloading') return { status: 202, body: {} }
    entry.phase = 'unloading'
    this.freeWhenIdle(held, subject, entry)
    return { status: 202, body: {} }
  }

  private async freeWhenIdle (held: Map<string, Held>, subject: string, entry: Held): Promise<void> {
    do await this.clock.waitFor(UNLOAD_POLL_MS)
    while (this.batch.isBusy(subject) && held.get(subject) === entry)
    if (held.get(subject) === entry) held.delete(subject)
  }

  private async complete (request: IncomingMessage, response: ServerResponse, path: string): Promise<JsonAnswer | undefined> {
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
    if (prompt.includes(CRASH_WORD)) {
      this.crash()
      return undefined
    }
    this.streamAnswer(request, response, path, body, model!, prompt)
    return undefined
  }

  private streamAnswer (request: IncomingMessage, response: ServerResponse, path: string, body: CompletionBody, model: string, prompt: string): void {
    const id = String(request.headers['x-request-id'] ?? makeId('completion'))
    const nonce = /nonce=([\w-]+)/.exec(prompt)?.[1] ?? hashPrefix(model, prompt).slice(0, 8)
    const isChat = path.includes('chat')
    const resumeFrom = body.resume_from ?? 0
    const promptTokens = countTokens(prompt) + resumeFrom
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id })
    response.write(': taken\n\n')
    const ping = setInterval(() => response.write(': working\n\n'), PING_MS)
    const sequence: Sequence = {
      id,
      model,
      prefixKey: hashPrefix(model.split('@')[0]!, prompt),
      priority: Number(request.headers['x-priority'] ?? 1),
      promptTokens,
      outputTokens: body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
      next: resumeFrom,
      leftPromptTokens: promptTokens,
      emitToken: (index, isLast) => {
        response.write(`data: ${JSON.stringify(formatChunk(id, body.model, isChat, `${nonce}.${index} `, isLast))}\n\n`)
        if (isLast) response.end('data: [DONE]\n\n')
      }
    }
    response.once('close', () => {
      clearInterval(ping)
      if (!response.writableFinished) this.facts.cancelled += 1
      this.batch.removeSequence(sequence)
    })
    this.batch.addSequence(sequence)
  }
}

/** One chunk in OpenAI's shape. */
function formatChunk (id: string, model: string, isChat: boolean, text: string, isLast: boolean): unknown {
  const piece = isChat ? { delta: { content: text } } : { text }
  return {
    id,
    object: isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model,
    choices: [{ index: 0, ...piece, finish_reason: isLast ? 'length' : null }]
  }
}
