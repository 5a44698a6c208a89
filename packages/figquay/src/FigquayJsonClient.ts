/** JSON-over-HTTP client for the platform and for upstreams; it stops using pooled connections that may be dead. */
import { Agent, request } from 'undici'
import { Deadline } from './FigquayDeadline.js'
import { makeFailure, makeSuccess, type Outcome } from './FigquayOutcome.js'
import { describeError } from './FigquayErrors.js'

/** A response whose body was received completely and parsed. */
export interface JsonReply {
  readonly status: number
  readonly body: unknown
}

/** Optional settings of a call. */
export interface JsonCallOptions {
  readonly signal?: AbortSignal
  readonly headers?: Readonly<Record<string, string>>
  /** Limit on the response body, in bytes: a small multiple of the largest one that is expected. */
  readonly maxResponseBytes?: number
}

/** Why a call failed, and whether the request may have been sent. */
export interface CallFailure {
  /** `never`: nothing was sent. `maybe`: the server may have received the request and may act on it. */
  readonly sent: 'never' | 'maybe'
  readonly reason: 'connect' | 'timeout' | 'reset' | 'malformed' | 'oversized' | 'cancelled'
  readonly message: string
}

const CONNECT_TIMEOUT_MS = 1_000
const KEEP_ALIVE_TIMEOUT_MS = 4_000

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/**
 * Classifies an error thrown by undici.
 *
 * @example
 * classifyCallError(new Error('socket hang up')) // { sent: 'maybe', reason: 'reset', … }
 */
export function classifyCallError (error: unknown): CallFailure {
  const code = String((error as { code?: unknown }).code ?? '')
  const name = (error as { name?: string }).name ?? ''
  const message = describeError(error)
  if (error instanceof OversizedBodyError) return { sent: 'maybe', reason: 'oversized', message }
  if (CONNECT_ERROR_CODES.has(code)) return { sent: 'never', reason: 'connect', message }
  if (name === 'TimeoutError' || code.includes('TIMEOUT')) return { sent: 'maybe', reason: 'timeout', message }
  if (name === 'AbortError') return { sent: 'maybe', reason: 'cancelled', message }
  return { sent: 'maybe', reason: 'reset', message }
}

/** Limit on a response body unless the call has its own: above the largest read of the log, and small compared with a daemon's memory. */
const MAX_RESPONSE_BYTES = 33_554_432

/** A response body exceeds its limit. */
class OversizedBodyError extends Error {
  constructor (limitBytes: number) {
    super(`response body exceeds ${limitBytes} bytes`)
  }
}

/**
 * Reads a response body to its end; throws when it exceeds the limit, so that an endless one is abandoned.
 *
 * @example
 * const bytes = await readBody(response.body, 65_536)
 */
export async function readBody (body: AsyncIterable<Buffer>, limitBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += chunk.length
    if (size > limitBytes) throw new OversizedBodyError(limitBytes)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Client whose connection pool is replaced as a whole when a call times out. */
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
    return new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS })
  }

  /**
   * Sends a request; it succeeds only if the complete response body is valid JSON or empty, whatever the status.
   *
   * @param timeoutMs Time limit for the whole exchange.
   * @example
   * const reply = await client.requestJson('GET', 'http://10.0.0.4:7000/vms', undefined, 1_000)
   */
  async requestJson (method: 'GET' | 'POST', url: string, body: unknown, timeoutMs: number, { signal, headers, maxResponseBytes = MAX_RESPONSE_BYTES }: JsonCallOptions = {}): Promise<Outcome<JsonReply, CallFailure>> {
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
      const text = (await readBody(response.body, maxResponseBytes)).toString()
      return makeSuccess({ status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) })
    } catch (error) {
      if (error instanceof SyntaxError) return makeFailure({ sent: 'maybe', reason: 'malformed', message: error.message })
      const failure = deadline.hasExpired ? { sent: 'maybe' as const, reason: 'timeout' as const, message: `no response within ${timeoutMs} ms` } : classifyCallError(error)
      if (failure.reason === 'timeout') this.replaceAgent(agent)
      return makeFailure(failure)
    } finally {
      deadline.dispose()
    }
  }

  /** Closes all connections and aborts open calls. */
  close (): void {
    this.agent.destroy()
  }

  /** After a timeout any pooled connection may be dead: later calls open new ones, open calls may finish on the old ones. */
  private replaceAgent (timedOutAgent: Agent): void {
    if (this.agent !== timedOutAgent) return
    this.agent = JsonClient.makeAgent()
    timedOutAgent.close()
  }
}
