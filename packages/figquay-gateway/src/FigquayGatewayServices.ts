/** `ANY /services/{name}/{path}` and `GET /v1/outcomes/{key}`. */
import { hashText, makeFailure, makeId, makeSuccess, Refusal, type Outcome } from 'figquay'
import { findServiceKind, type ServiceKind } from 'figquay-contracts'
import type { CallResult } from 'figquay-idempotency'
import type { ServiceCall, ServiceReply } from 'figquay-upstreams'
import { identifyCaller, type Caller } from './FigquayGatewayAccess.js'
import type { GatewayExchange } from './FigquayGatewayExchange.js'
import type { GatewayContext } from './FigquayGatewayTypes.js'

interface RoutedCall {
  readonly caller: Caller
  readonly kind: ServiceKind
  readonly call: ServiceCall
  readonly arrivedAtMs: number
}

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/
/** Bodies up to this size are kept with the outcome of a call. */
const LARGEST_KEPT_BODY_BYTES = 16 * 2 ** 10

/** Serves calls to plain services. */
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
   * Serves one exchange to its end.
   *
   * @example
   * await handler.serveExchange(exchange, 'ledger', '/orders')
   */
  async serveExchange (exchange: GatewayExchange, service: string, path: string): Promise<void> {
    const routed = await this.routeExchange(exchange, service, path)
    if (!routed.ok) {
      exchange.writeRefusal(routed.error)
      return
    }
    const { caller, kind, call } = routed.value
    const limited = this.context.limits.acquireQuota(caller.contract, 0)
    const reply = limited ?? await this.sendCall(exchange, routed.value)
    this.countReply(routed.value, reply, exchange.signal.aborted)
    if (reply instanceof Refusal) {
      if (call.idempotencyKey !== undefined) exchange.response.setHeader('idempotency-key', call.idempotencyKey)
      exchange.writeRefusal(reply)
      return
    }
    this.writeReply(exchange, call, reply)
    this.context.logger.debug('called', { request: exchange.requestId, customer: caller.contract.customer, kind: kind.name, status: reply.status })
  }

  /** Tells what became of a call under an idempotency key. */
  writeOutcome (exchange: GatewayExchange, key: string): void {
    const caller = identifyCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) {
      exchange.writeRefusal(caller.error)
      return
    }
    const status = this.context.idempotency.findStatus(caller.value.contract.customer, key)
    if (status.state === 'unknown-key') exchange.writeRefusal(Refusal.create('not_found', 'no call under this key is known'))
    else if (status.state === 'in-progress') exchange.writeJson(202, { state: 'in-progress' }, 'unknown')
    else exchange.writeJson(200, { state: 'settled', outcome: status.result.execution, status: status.result.status }, status.result.execution)
  }

  private async routeExchange (exchange: GatewayExchange, service: string, path: string): Promise<Outcome<RoutedCall, Refusal>> {
    const arrivedAtMs = this.context.clock.readMonotonicMs()
    const caller = identifyCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) return caller
    const method = exchange.request.method ?? 'GET'
    const kind = findServiceKind(caller.value.contract, service, method, path.split('?')[0]!)
    if (kind === undefined) return makeFailure(Refusal.create('not_found', `the contract has no call ${method} ${path} of "${service}"`))
    const body = await exchange.readBody()
    if (!body.ok) return body
    const key = this.readKey(exchange, kind)
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

  /** The caller's key; one is made when there is none, which protects against this daemon's own retries only. */
  private readKey (exchange: GatewayExchange, kind: ServiceKind): Outcome<string | undefined, Refusal> {
    if (kind.repeat === 'safe') return makeSuccess(undefined)
    const key = exchange.readHeader('idempotency-key')
    if (key === undefined) return makeSuccess(makeId('key'))
    if (!KEY_PATTERN.test(key)) return makeFailure(Refusal.create('bad_request', 'expected an Idempotency-Key of 1 to 200 printable characters'))
    return makeSuccess(key)
  }

  private sendCall (exchange: GatewayExchange, routed: RoutedCall): Promise<ServiceReply | Refusal> {
    const { call, kind } = routed
    if (call.idempotencyKey === undefined) return this.context.services.sendRetryable(kind.service, call, exchange.signal)
    return this.sendGuarded(routed, call.idempotencyKey)
  }

  /** A call that must not repeat goes on when its caller has gone away: its outcome can be asked for. */
  private async sendGuarded ({ caller, kind, call, arrivedAtMs }: RoutedCall, idempotencyKey: string): Promise<ServiceReply | Refusal> {
    let refused: Refusal | undefined
    const guarded = {
      customer: caller.contract.customer,
      idempotencyKey,
      fingerprint: hashText(Buffer.concat([Buffer.from(`${call.method} ${kind.service} ${call.path}\n`), call.body])),
      rememberMs: caller.contract.rememberKeysFor,
      answerWithinMs: kind.answerWithin
    }
    const result = await this.context.idempotency.runAtMostOnce(guarded, async () => {
      const left = Math.max(1, kind.answerWithin - (this.context.clock.readMonotonicMs() - arrivedAtMs))
      const reply = await this.context.services.sendAtMostOnce(kind.service, { ...call, timeoutMs: left })
      if (reply instanceof Refusal) refused = reply
      return reply instanceof Refusal ? { execution: reply.execution, status: reply.status, contentType: '', body: '' } : keepReply(reply)
    })
    if (refused !== undefined) return refused
    return result instanceof Refusal ? result : restoreReply(result)
  }

  private writeReply (exchange: GatewayExchange, call: ServiceCall, reply: ServiceReply): void {
    const { response } = exchange
    if (response.destroyed) return
    if (call.idempotencyKey !== undefined) response.setHeader('idempotency-key', call.idempotencyKey)
    response.writeHead(reply.status, { 'content-type': reply.contentType, 'figquay-outcome': 'ran', 'content-length': reply.body.length })
    response.end(reply.body)
  }

  private countReply ({ caller, kind, arrivedAtMs }: RoutedCall, reply: ServiceReply | Refusal, isCancelled: boolean): void {
    const { customer } = caller.contract
    const totalMs = this.context.clock.readMonotonicMs() - arrivedAtMs
    if (reply instanceof Refusal) {
      const isLimited = reply.code === 'rate_limited'
      this.context.metrics.countRequest(customer, kind.name, isLimited ? 'limited' : reply.execution === 'not-run' ? 'refused' : 'failed')
      if (!isLimited && !isCancelled && reply.code !== 'key_conflict') this.context.burn.countRequest(customer, kind.name, false)
      return
    }
    const isMet = totalMs <= kind.answerWithin
    this.context.metrics.countRequest(customer, kind.name, isMet ? 'met' : 'late')
    this.context.metrics.observeAnswer(customer, kind.name, totalMs)
    this.context.burn.countRequest(customer, kind.name, isMet)
  }
}

function keepReply (reply: ServiceReply): CallResult {
  const body = reply.body.length <= LARGEST_KEPT_BODY_BYTES ? reply.body.toString('base64') : ''
  return { execution: 'ran', status: reply.status, contentType: reply.contentType, body }
}

function restoreReply (result: CallResult): ServiceReply | Refusal {
  if (result.execution !== 'ran') return Refusal.create('outcome_unknown', 'the call under this key has no known outcome', { execution: 'unknown' })
  return { status: result.status, contentType: result.contentType, body: Buffer.from(result.body, 'base64'), notRun: false }
}
