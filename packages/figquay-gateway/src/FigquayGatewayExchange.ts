/** One HTTP exchange with a caller: reading with bounds, writing refusals and answers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { describeError, makeFailure, makeId, makeSuccess, Refusal, type Execution, type Outcome } from 'figquay'

/** Largest body that a caller may send. */
export const LARGEST_BODY_BYTES = 4 * 2 ** 20
/** Bodies up to this size are read to their end even when they are refused. */
const LARGEST_DISCARDED_BYTES = 64 * 2 ** 20
/** A body must arrive within this time, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/

/** A request and its response. */
export class GatewayExchange {
  /** Unique id, built on the caller's when that is usable. */
  readonly requestId: string
  readonly signal: AbortSignal

  private constructor (readonly request: IncomingMessage, readonly response: ServerResponse, isDraining: boolean) {
    const given = request.headers['x-request-id']
    const unique = makeId('req')
    this.requestId = typeof given === 'string' && REQUEST_ID_PATTERN.test(given) ? `${given}.${unique.slice(-8)}` : unique
    const controller = new AbortController()
    response.once('close', () => {
      if (!response.writableFinished) controller.abort()
    })
    this.signal = controller.signal
    response.setHeader('x-request-id', this.requestId)
    if (isDraining) response.setHeader('connection', 'close')
  }

  /**
   * @example
   * const exchange = GatewayExchange.create(request, response, false)
   */
  static create (request: IncomingMessage, response: ServerResponse, isDraining: boolean): GatewayExchange {
    return new GatewayExchange(request, response, isDraining)
  }

  /** A header that stands once. */
  readHeader (name: string): string | undefined {
    const value = this.request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }

  /** Reads the whole body, within bounds of size and time. */
  async readBody (): Promise<Outcome<Buffer, Refusal>> {
    const tooLarge = Refusal.create('payload_too_large', `the body is larger than ${LARGEST_BODY_BYTES} bytes`)
    if (Number(this.request.headers['content-length'] ?? 0) > LARGEST_BODY_BYTES) return makeFailure(tooLarge)
    const timer = setTimeout(() => this.request.destroy(new Error('the body came too slowly')), BODY_TIMEOUT_MS)
    const parts: Buffer[] = []
    let size = 0
    try {
      for await (const part of this.request) {
        size += (part as Buffer).length
        if (size > LARGEST_BODY_BYTES) return makeFailure(tooLarge)
        parts.push(part as Buffer)
      }
      return makeSuccess(Buffer.concat(parts))
    } catch (error) {
      return makeFailure(Refusal.create('bad_request', `the body did not arrive: ${describeError(error)}`))
    } finally {
      clearTimeout(timer)
    }
  }

  /**
   * A caller that is still sending reads its answer only if its connection isn't closed under it: what is left of
   * the body is read and dropped. Of a body far too large, or without a length, nothing more is read.
   */
  private discardBody (): void {
    const length = Number(this.request.headers['content-length'] ?? Number.POSITIVE_INFINITY)
    if (length <= LARGEST_DISCARDED_BYTES && !this.request.destroyed) this.request.resume()
    else this.response.setHeader('connection', 'close')
  }

  /** Writes a whole JSON answer. */
  writeJson (status: number, body: unknown, execution?: Execution): void {
    if (this.response.headersSent || this.response.destroyed) return
    if (execution !== undefined) this.response.setHeader('figquay-outcome', execution)
    this.response.writeHead(status, { 'content-type': 'application/json' })
    this.response.end(JSON.stringify(body) + '\n')
  }

  /** Writes the final answer to a request that is not served. */
  writeRefusal (refusal: Refusal): void {
    if (this.response.headersSent) {
      this.response.end(`data: ${JSON.stringify(formatRefusal(refusal))}\n\n`)
      return
    }
    if (refusal.retryAfterMs !== undefined) this.response.setHeader('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000))))
    if (!this.request.complete) this.discardBody()
    this.writeJson(refusal.status, formatRefusal(refusal), refusal.execution)
  }
}

/**
 * The body of a refusal.
 *
 * @example
 * formatRefusal(refusal).error.code // 'rate_limited'
 */
export function formatRefusal (refusal: Refusal) {
  const type = refusal.status < 500 ? 'invalid_request_error' : 'unavailable_error'
  return { error: { type, code: refusal.code, message: refusal.message, outcome: refusal.execution, retryAfterMs: refusal.retryAfterMs ?? null } }
}
