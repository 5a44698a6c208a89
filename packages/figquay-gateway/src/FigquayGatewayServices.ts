/** Handles `ANY /services/{name}/{path}` and `GET /v1/outcomes/{key}`. */
import { hashText, makeFailure, makeId, makeSuccess, Refusal, type Outcome } from 'figquay'
import { findServiceCallKind, type ServiceCallKind } from 'figquay-contracts'
import type { CallResult } from 'figquay-idempotency'
import type { ServiceCall, ServiceReply } from 'figquay-upstreams'
import { authenticateCaller, type AuthenticatedCaller } from './FigquayGatewayAuthentication.js'
import type { GatewayExchange } from './FigquayGatewayExchange.js'
import type { GatewayContext } from './FigquayGatewayTypes.js'

/** A call matched with the contract of its caller. */
interface ResolvedCall {
  readonly caller: AuthenticatedCaller
  readonly kind: ServiceCallKind
  readonly call: ServiceCall
  readonly arrivedAtMs: number
}

const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/
/** Larger response bodies are left out of the stored outcome of a call. */
const MAX_STORED_BODY_BYTES = 16 * 2 ** 10

/** Serves calls to plain services, which are HTTP services other than model engines. */
export class ServiceHandler {
  private constructor (private readonly context: GatewayContext) {}

  /**
   * @example
   * const handler = ServiceHandler.create(context)
   */
  static create (context: GatewayContext): ServiceHandler {
    return new ServiceHandler(context)
  }

  /**
   * Serves one service call until its response has ended.
   *
   * @example
   * await handler.serveExchange(exchange, 'ledger', '/orders')
   */
  async serveExchange (exchange: GatewayExchange, service: string, path: string): Promise<void> {
    const resolved = await this.resolveCall(exchange, service, path)
    if (!resolved.ok) {
      exchange.writeRefusal(resolved.error)
      return
    }
    const { caller, kind, call } = resolved.value
    const limitRefusal = this.context.customerRateLimiter.acquireQuota(caller.contract, 0)
    const reply = limitRefusal ?? await this.sendCall(exchange, resolved.value)
    this.recordReply(resolved.value, reply, exchange.signal.aborted)
    if (reply instanceof Refusal) {
      if (call.idempotencyKey !== undefined) exchange.response.setHeader('idempotency-key', call.idempotencyKey)
      exchange.writeRefusal(reply)
      return
    }
    this.writeReply(exchange, call, reply)
    this.context.logger.debug('called', { request: exchange.requestId, customer: caller.contract.customer, kind: kind.name, status: reply.status })
  }

  /** Responds with the state and outcome of the call made under an idempotency key. */
  writeOutcome (exchange: GatewayExchange, key: string): void {
    const caller = authenticateCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) {
      exchange.writeRefusal(caller.error)
      return
    }
    const status = this.context.idempotencyExecutor.findStatus(caller.value.contract.customer, key)
    if (status.state === 'unknown-key') exchange.writeRefusal(Refusal.create('not_found', 'no call is known under this idempotency key'))
    else if (status.state === 'in-progress') exchange.writeJson(202, { state: 'in-progress' }, 'unknown')
    else exchange.writeJson(200, { state: 'settled', outcome: status.result.execution, status: status.result.status }, status.result.execution)
  }

  private async resolveCall (exchange: GatewayExchange, service: string, path: string): Promise<Outcome<ResolvedCall, Refusal>> {
    const arrivedAtMs = this.context.clock.readMonotonicMs()
    const caller = authenticateCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) return caller
    const method = exchange.request.method ?? 'GET'
    const kind = findServiceCallKind(caller.value.contract, service, method, path.split('?')[0]!)
    if (kind === undefined) return makeFailure(Refusal.create('not_found', `the contract does not allow ${method} ${path} on service "${service}"`))
    const body = await exchange.readBody()
    if (!body.ok) return body
    const key = this.readIdempotencyKey(exchange, kind)
    if (!key.ok) return key
    const call: ServiceCall = {
      requestId: exchange.requestId,
      method,
      path,
      contentType: exchange.readHeader('content-type'),
      body: body.value,
      idempotencyKey: key.value,
      timeoutMs: kind.answerWithin
    }
    return makeSuccess({ caller: caller.value, kind, call, arrivedAtMs })
  }

  /** Returns the caller's key. Without one it generates a key, which only protects against retries by this daemon. */
  private readIdempotencyKey (exchange: GatewayExchange, kind: ServiceCallKind): Outcome<string | undefined, Refusal> {
    if (kind.repeat === 'safe') return makeSuccess(undefined)
    const key = exchange.readHeader('idempotency-key')
    if (key === undefined) return makeSuccess(makeId('key'))
    if (!IDEMPOTENCY_KEY_PATTERN.test(key)) return makeFailure(Refusal.create('bad_request', 'Idempotency-Key must consist of 1 to 200 printable ASCII characters without spaces'))
    return makeSuccess(key)
  }

  private sendCall (exchange: GatewayExchange, resolved: ResolvedCall): Promise<ServiceReply | Refusal> {
    const { call, kind } = resolved
    if (call.idempotencyKey === undefined) return this.context.serviceRouter.sendRetryable(kind.service, call, exchange.signal)
    return this.sendAtMostOnce(resolved, call.idempotencyKey)
  }

  /** Sends a call that must not be repeated. It is not aborted when the caller disconnects, since its outcome can be queried later. */
  private async sendAtMostOnce ({ caller, kind, call, arrivedAtMs }: ResolvedCall, idempotencyKey: string): Promise<ServiceReply | Refusal> {
    let refusal: Refusal | undefined
    const guardedCall = {
      customer: caller.contract.customer,
      idempotencyKey,
      fingerprint: hashText(Buffer.concat([Buffer.from(`${call.method} ${kind.service} ${call.path}\n`), call.body])),
      rememberMs: caller.contract.rememberKeysFor,
      answerWithinMs: kind.answerWithin
    }
    const result = await this.context.idempotencyExecutor.runAtMostOnce(guardedCall, async () => {
      const remainingMs = Math.max(1, kind.answerWithin - (this.context.clock.readMonotonicMs() - arrivedAtMs))
      const reply = await this.context.serviceRouter.sendAtMostOnce(kind.service, { ...call, timeoutMs: remainingMs })
      if (reply instanceof Refusal) refusal = reply
      return reply instanceof Refusal ? { execution: reply.execution, status: reply.status, contentType: '', body: '' } : encodeReply(reply)
    })
    if (refusal !== undefined) return refusal
    return result instanceof Refusal ? result : decodeResult(result)
  }

  private writeReply (exchange: GatewayExchange, call: ServiceCall, reply: ServiceReply): void {
    const { response } = exchange
    if (response.destroyed) return
    if (call.idempotencyKey !== undefined) response.setHeader('idempotency-key', call.idempotencyKey)
    response.writeHead(reply.status, { 'content-type': reply.contentType, 'figquay-outcome': 'ran', 'content-length': reply.body.length })
    response.end(reply.body)
  }

  private recordReply ({ caller, kind, arrivedAtMs }: ResolvedCall, reply: ServiceReply | Refusal, isCancelled: boolean): void {
    const { customer } = caller.contract
    const totalMs = this.context.clock.readMonotonicMs() - arrivedAtMs
    if (reply instanceof Refusal) {
      const isRateLimited = reply.code === 'rate_limited'
      this.context.metrics.countRequest(customer, kind.name, isRateLimited ? 'limited' : reply.execution === 'not-run' ? 'refused' : 'failed')
      if (!isRateLimited && !isCancelled && reply.code !== 'key_conflict') this.context.burnRateTracker.countRequest(customer, kind.name, false)
      return
    }
    const isMet = totalMs <= kind.answerWithin
    this.context.metrics.countRequest(customer, kind.name, isMet ? 'met' : 'late')
    this.context.metrics.observeAnswer(customer, kind.name, totalMs)
    this.context.burnRateTracker.countRequest(customer, kind.name, isMet)
  }
}

function encodeReply (reply: ServiceReply): CallResult {
  const body = reply.body.length <= MAX_STORED_BODY_BYTES ? reply.body.toString('base64') : ''
  return { execution: 'ran', status: reply.status, contentType: reply.contentType, body }
}

function decodeResult (result: CallResult): ServiceReply | Refusal {
  if (result.execution !== 'ran') return Refusal.create('outcome_unknown', 'the outcome of the call under this idempotency key is unknown', { execution: 'unknown' })
  return { status: result.status, contentType: result.contentType, body: Buffer.from(result.body, 'base64'), isNotRun: false }
}
