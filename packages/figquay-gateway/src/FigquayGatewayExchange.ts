/** One HTTP exchange with a caller: bounded body reads, responses and refusals. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { describeError, makeFailure, makeId, makeSuccess, Refusal, type Execution, type Outcome } from 'figquay'

/** Maximum size of a request body. */
export const MAX_BODY_BYTES = 4 * 2 ** 20
/** Maximum declared size of a refused body that is still read to its end. */
const MAX_DISCARDED_BODY_BYTES = 64 * 2 ** 20
/** Time limit for receiving a whole request body. */
const BODY_TIMEOUT_MS = 10_000
const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/

/** An HTTP request and its response. */
export class GatewayExchange {
  /** Unique id; starts with the caller's `x-request-id` when that is valid. */
  readonly requestId: string
  /** Aborted when the connection closes before the response has been sent. */
  readonly signal: AbortSignal

  private constructor (readonly request: IncomingMessage, readonly response: ServerResponse, isDraining: boolean) {
    const callerRequestId = request.headers['x-request-id']
    const generatedId = makeId('req')
    this.requestId = typeof callerRequestId === 'string' && REQUEST_ID_PATTERN.test(callerRequestId) ? `${callerRequestId}.${generatedId.slice(-8)}` : generatedId
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

  /** Returns the value of a header; the first one when Node.js lists several. */
  readHeader (name: string): string | undefined {
    const value = this.request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }

  /** Reads the whole request body, limited in size and time. */
  async readBody (): Promise<Outcome<Buffer, Refusal>> {
    const tooLargeRefusal = Refusal.create('payload_too_large', `the request body exceeds ${MAX_BODY_BYTES} bytes`)
    if (Number(this.request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) return makeFailure(tooLargeRefusal)
    const timer = setTimeout(() => this.request.destroy(new Error('timed out while receiving the request body')), BODY_TIMEOUT_MS)
    const chunks: Buffer[] = []
    let receivedBytes = 0
    try {
      for await (const chunk of this.request) {
        receivedBytes += (chunk as Buffer).length
        if (receivedBytes > MAX_BODY_BYTES) return makeFailure(tooLargeRefusal)
        chunks.push(chunk as Buffer)
      }
      return makeSuccess(Buffer.concat(chunks))
    } catch (error) {
      return makeFailure(Refusal.create('bad_request', `failed to receive the request body: ${describeError(error)}`))
    } finally {
      clearTimeout(timer)
    }
  }

  /**
   * Reads and discards the rest of the body: closing the connection while the caller is still sending would reset
   * it before the caller reads the response. When the body is far too large or declares no length, nothing more is
   * read and the connection is closed after the response.
   */
  private discardRemainingBody (): void {
    const length = Number(this.request.headers['content-length'] ?? Number.POSITIVE_INFINITY)
    if (length <= MAX_DISCARDED_BODY_BYTES && !this.request.destroyed) this.request.resume()
    else this.response.setHeader('connection', 'close')
  }

  /** Writes a complete JSON response. */
  writeJson (status: number, body: unknown, execution?: Execution): void {
    if (this.response.headersSent || this.response.destroyed) return
    if (execution !== undefined) this.response.setHeader('figquay-outcome', execution)
    this.response.writeHead(status, { 'content-type': 'application/json' })
    this.response.end(JSON.stringify(body) + '\n')
  }

  /** Refuses the request: with an error response, or with a final error event if streaming has already begun. */
  writeRefusal (refusal: Refusal): void {
    if (this.response.headersSent) {
      this.response.end(`data: ${JSON.stringify(formatRefusal(refusal))}\n\n`)
      return
    }
    if (refusal.retryAfterMs !== undefined) this.response.setHeader('retry-after', String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000))))
    if (!this.request.complete) this.discardRemainingBody()
    this.writeJson(refusal.status, formatRefusal(refusal), refusal.execution)
  }
}

/**
 * Formats a refusal as an error body in the shape of the OpenAI API.
 *
 * @example
 * formatRefusal(refusal).error.code // 'rate_limited'
 */
export function formatRefusal (refusal: Refusal) {
  const type = refusal.status < 500 ? 'invalid_request_error' : 'unavailable_error'
  return { error: { type, code: refusal.code, message: refusal.message, outcome: refusal.execution, retryAfterMs: refusal.retryAfterMs ?? null } }
}
