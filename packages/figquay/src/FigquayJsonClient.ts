/** JSON over HTTP to the platform and to upstreams, wary of connections that went silent. */
import { Agent, request } from 'undici'
import { Deadline } from './FigquayDeadline.js'
import { makeFailure, makeSuccess, type Outcome } from './FigquayOutcome.js'
import { describeError } from './FigquayErrors.js'

/** A reply that arrived whole and parsed. */
export interface JsonReply {
  readonly status: number
  readonly body: unknown
}

/** What a call may have besides its body. */
export interface JsonCallOptions {
  readonly signal?: AbortSignal
  readonly headers?: Readonly<Record<string, string>>
}

/** Why a call gave no reply, and whether its bytes may have left. */
export interface CallFailure {
  /** `never`: no byte left this process. `maybe`: the other side may act on it. */
  readonly sent: 'never' | 'maybe'
  readonly reason: 'connect' | 'timeout' | 'reset' | 'malformed' | 'cancelled'
  readonly message: string
}

const CONNECT_TIMEOUT_MS = 1_000
const IDLE_CONNECTION_MS = 4_000

const CONNECT_ERRORS: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * Classifies what undici threw.
 *
 * @example
 * classifyCallError(new Error('socket hang up')) // { sent: 'maybe', reason: 'reset', … }
 */
export function classifyCallError (error: unknown): CallFailure {
  const code = String((error as { code?: unknown }).code ?? '')
  const name = (error as { name?: string }).name ?? ''
  const message = describeError(error)
  if (CONNECT_ERRORS.has(code)) return { sent: 'never', reason: 'connect', message }
  if (name === 'TimeoutError' || code.includes('TIMEOUT')) return { sent: 'maybe', reason: 'timeout', message }
  if (name === 'AbortError') return { sent: 'maybe', reason: 'cancelled', message }
  return { sent: 'maybe', reason: 'reset', message }
}

/** Longest reply that is read, in bytes: beyond the largest read of the log, and little beside a daemon's memory. */
const MOST_REPLY_BYTES = 33_554_432

/** Reads a reply to its end; one without an end is given up. */
async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > MOST_REPLY_BYTES) throw new Error(`the reply is longer than ${MOST_REPLY_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

/** Client with a connection pool that is thrown away as a whole when a call times out. */
export class JsonClient {
  private agent = JsonClient.makeAgent()

  /**
   * @example
   * const client = JsonClient.create()
   */
  static create (): JsonClient {
    return new JsonClient()
  }

  private static makeAgent (): Agent {
    return new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: IDLE_CONNECTION_MS })
  }

  /**
   * Sends one request; the reply counts only if it is whole JSON.
   *
   * @param timeoutMs Bound on the whole exchange, in milliseconds.
   * @example
   * const reply = await client.requestJson('GET', 'http://10.0.0.4:7000/vms', undefined, 1_000)
   */
  async requestJson (method: 'GET' | 'POST', url: string, body: unknown, timeoutMs: number, { signal, headers }: JsonCallOptions = {}): Promise<Outcome<JsonReply, CallFailure>> {
    const deadline = Deadline.create(timeoutMs, signal)
    const agent = this.agent
    try {
      const response = await request(url, {
        method,
        dispatcher: agent,
        signal: deadline.signal,
        headers: body === undefined ? { ...headers } : { 'content-type': 'application/json', ...headers },
        body: body === undefined ? null : JSON.stringify(body)
      })
      const text = await readText(response.body)
      return makeSuccess({ status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) })
    } catch (error) {
      if (error instanceof SyntaxError) return makeFailure({ sent: 'maybe', reason: 'malformed', message: error.message })
      const failure = deadline.hasExpired ? { sent: 'maybe' as const, reason: 'timeout' as const, message: `no reply in ${timeoutMs} ms` } : classifyCallError(error)
      if (failure.reason === 'timeout') this.replaceAgent(agent)
      return makeFailure(failure)
    } finally {
      deadline.dispose()
    }
  }

  /** Closes every connection. */
  close (): void {
    this.agent.destroy()
  }

  /** A timeout makes every pooled connection suspect: later calls open new ones. */
  private replaceAgent (suspect: Agent): void {
    if (this.agent !== suspect) return
    this.agent = JsonClient.makeAgent()
    suspect.close()
  }
}
