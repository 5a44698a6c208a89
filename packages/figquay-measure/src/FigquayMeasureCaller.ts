/** Client that sends completions and service calls, checks that each answer is complete and belongs to its request, and measures its latency. */
import { Agent, request as sendRequest } from 'undici'

/** A completion to request. */
export interface CompletionCall {
  readonly url: string
  /** API key of the customer. */
  readonly key: string
  readonly model: string
  readonly kind?: string
  /** Unique text that the stand-in engine repeats in every token of the answer; tells answers of different requests apart. */
  readonly nonce: string
  readonly prompt: string
  readonly outputTokens: number
  readonly signal?: AbortSignal
}

/** Result of a completion. */
export interface CallResult {
  readonly status: number
  /** Value of the response header `Figquay-Outcome`; `none` if it is missing or there was no response. */
  readonly outcome: string
  /**
   * `whole`: complete and correct. `broken`: correct, but the stream ended without its terminator. `wrong`: tokens of another
   * request, or missing tokens although the stream ended normally. `none`: no tokens.
   */
  readonly answer: 'whole' | 'broken' | 'wrong' | 'none'
  readonly firstTokenMs: number
  readonly totalMs: number
  readonly tokens: number
  /** Mean time between tokens, in milliseconds. */
  readonly tokenGapMs: number
  readonly retryAfterSeconds: number | undefined
  /** Error code of the response or of the connection; empty on success. */
  readonly code: string
  readonly requestId: string
}

const CONNECT_TIMEOUT_MS = 1_000

interface StreamedText {
  text: string
  firstChunkAtMs: number
  isDone: boolean
}

/** Sends completions and service calls. */
export class Caller {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 512, keepAliveTimeout: 2_000 })

  /**
   * @example
   * const caller = Caller.create()
   */
  static create (): Caller {
    return new Caller()
  }

  /**
   * Sends a streamed chat completion and checks its answer.
   *
   * @example
   * const result = await caller.complete({ url, key, model: 'manual-1', nonce: 'n1', prompt: 'hinge?', outputTokens: 8 })
   */
  async complete (call: CompletionCall): Promise<CallResult> {
    const startedAtMs = performance.now()
    const streamed: StreamedText = { text: '', firstChunkAtMs: 0, isDone: false }
    try {
      const response = await sendRequest(`${call.url}/v1/chat/completions`, {
        method: 'POST',
        dispatcher: this.agent,
        signal: call.signal ?? null,
        headersTimeout: 0,
        bodyTimeout: 0,
        headers: { authorization: `Bearer ${call.key}`, 'content-type': 'application/json', ...(call.kind === undefined ? {} : { 'figquay-kind': call.kind }) },
        body: JSON.stringify({ model: call.model, stream: true, max_tokens: call.outputTokens, messages: [{ role: 'user', content: `${call.prompt} nonce=${call.nonce}` }] })
      })
      const headers = { status: response.statusCode, outcome: String(response.headers['figquay-outcome'] ?? 'none'), requestId: String(response.headers['x-request-id'] ?? '') }
      if (response.statusCode !== 200) {
        const body = await response.body.json().catch(() => ({})) as { error?: { code?: string } }
        return makeResult(call, streamed, startedAtMs, { ...headers, code: body.error?.code ?? '', retryAfter: response.headers['retry-after'] })
      }
      await readStream(response.body, streamed)
      return makeResult(call, streamed, startedAtMs, { ...headers, code: '', retryAfter: undefined })
    } catch (error) {
      return makeResult(call, streamed, startedAtMs, { status: 0, outcome: 'none', requestId: '', code: (error as { code?: string }).code ?? String(error), retryAfter: undefined })
    }
  }

  /**
   * Calls a service that is not a model.
   *
   * @example
   * const reply = await caller.callService(url, key, 'POST', '/services/ledger/orders', { item: 'hinge' }, 'order-1')
   */
  async callService (url: string, key: string, method: 'GET' | 'POST', path: string, body?: unknown, idempotencyKey?: string): Promise<{ status: number, outcome: string, totalMs: number, body: unknown, retryAfterSeconds: number | undefined }> {
    const startedAtMs = performance.now()
    try {
      const response = await sendRequest(`${url}${path}`, {
        method,
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }) },
        body: body === undefined ? null : JSON.stringify(body)
      })
      const parsed = await response.body.json().catch(() => undefined)
      return { status: response.statusCode, outcome: String(response.headers['figquay-outcome'] ?? 'none'), totalMs: performance.now() - startedAtMs, body: parsed, retryAfterSeconds: readRetryAfter(response.headers['retry-after']) }
    } catch {
      return { status: 0, outcome: 'none', totalMs: performance.now() - startedAtMs, body: undefined, retryAfterSeconds: undefined }
    }
  }

  /** Destroys all connections, including those in use. */
  close (): void {
    this.agent.destroy()
  }
}

function readRetryAfter (value: string | string[] | undefined): number | undefined {
  return value === undefined ? undefined : Number(value)
}

/** Reads server-sent events and collects the text of the chunks until the stream ends. */
async function readStream (body: AsyncIterable<Buffer>, streamed: StreamedText): Promise<void> {
  let incompleteLine = ''
  for await (const bytes of body) {
    incompleteLine += bytes.toString('utf8')
    const lines = incompleteLine.split('\n')
    incompleteLine = lines.pop()!
    for (const line of lines) readEventLine(line, streamed)
  }
}

function readEventLine (line: string, streamed: StreamedText): void {
  if (line === 'data: [DONE]') streamed.isDone = true
  if (!line.startsWith('data: {')) return
  const chunk = JSON.parse(line.slice('data: '.length)) as { choices?: Array<{ delta?: { content?: string } }> }
  if (streamed.firstChunkAtMs === 0) streamed.firstChunkAtMs = performance.now()
  streamed.text += chunk.choices?.[0]?.delta?.content ?? ''
}

/** Classifies an answer: each of its tokens must consist of the nonce of the request and the index of the token. */
function classifyAnswer (call: CompletionCall, streamed: StreamedText): CallResult['answer'] {
  const tokens = streamed.text.split(' ').filter((token) => token !== '')
  if (tokens.length === 0 && !streamed.isDone) return 'none'
  if (tokens.some((token, index) => token !== `${call.nonce}.${index}`)) return 'wrong'
  if (!streamed.isDone) return 'broken'
  return tokens.length === call.outputTokens ? 'whole' : 'wrong'
}

interface ResponseHead {
  readonly status: number
  readonly outcome: string
  readonly requestId: string
  readonly code: string
  readonly retryAfter: string | string[] | undefined
}

function makeResult (call: CompletionCall, streamed: StreamedText, startedAtMs: number, head: ResponseHead): CallResult {
  const totalMs = performance.now() - startedAtMs
  const tokens = streamed.text.split(' ').filter((token) => token !== '').length
  const firstTokenMs = streamed.firstChunkAtMs === 0 ? totalMs : streamed.firstChunkAtMs - startedAtMs
  return {
    status: head.status,
    outcome: head.outcome,
    answer: classifyAnswer(call, streamed),
    firstTokenMs,
    totalMs,
    tokens,
    tokenGapMs: tokens > 1 ? (totalMs - firstTokenMs) / (tokens - 1) : 0,
    retryAfterSeconds: readRetryAfter(head.retryAfter),
    code: head.code,
    requestId: head.requestId
  }
}
