/** Handles `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`. */
import { hashText, makeFailure, makeSuccess, Refusal, type Outcome } from 'figquay'
import { findModelRequestKind } from 'figquay-contracts'
import { makePrefixKey, type CompletionReport, type RoutedRequest } from 'figquay-routing'
import { authenticateCaller, type AuthenticatedCaller } from './FigquayGatewayAuthentication.js'
import { parseCompletionBody, type ParsedCompletionBody } from './FigquayGatewayCompletionBody.js'
import type { GatewayExchange } from './FigquayGatewayExchange.js'
import { EventStreamSink, BufferedSink, type AnswerSink } from './FigquayGatewaySinks.js'
import type { GatewayContext } from './FigquayGatewayTypes.js'

/** Refusal codes of errors made by the caller; they do not count against the contract's objective. */
const CALLER_ERROR_CODES: ReadonlySet<string> = new Set(['bad_request', 'unauthenticated', 'forbidden', 'not_found', 'payload_too_large'])

/** Serves the completion API to callers. */
export class CompletionHandler {
  private constructor (private readonly context: GatewayContext) {}

  /**
   * @example
   * const handler = CompletionHandler.create(context)
   */
  static create (context: GatewayContext): CompletionHandler {
    return new CompletionHandler(context)
  }

  /**
   * Serves one completion exchange until its response has ended.
   *
   * @example
   * await handler.serveExchange(exchange, '/v1/chat/completions')
   */
  async serveExchange (exchange: GatewayExchange, path: string): Promise<void> {
    const arrivedAtMs = this.context.clock.readMonotonicMs()
    const resolved = await this.resolveRequest(exchange, path, arrivedAtMs)
    if (!resolved.ok) {
      exchange.writeRefusal(resolved.error)
      return
    }
    const { request, isStreaming } = resolved.value
    const sink = isStreaming ? EventStreamSink.create(exchange) : BufferedSink.create(exchange, path === '/v1/chat/completions')
    await this.serveRequest(exchange, request, sink)
  }

  /** Lists the models and adapters that the contract of a caller includes. */
  listModels (exchange: GatewayExchange): void {
    const caller = authenticateCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) {
      exchange.writeRefusal(caller.error)
      return
    }
    const models = caller.value.configuration.listModels(caller.value.contract)
    const modelIds = models.flatMap((model) => [model.name, ...model.adapters.map((adapter) => `${model.name}:${adapter.name}`)])
    exchange.writeJson(200, { object: 'list', data: modelIds.map((id) => ({ id, object: 'model', owned_by: 'figquay' })) })
  }

  /** Authenticates the caller, reads the body and matches it with the contract. */
  private async resolveRequest (exchange: GatewayExchange, path: string, arrivedAtMs: number): Promise<Outcome<{ request: RoutedRequest, isStreaming: boolean }, Refusal>> {
    const caller = authenticateCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) return caller
    const bytes = await exchange.readBody()
    if (!bytes.ok) return bytes
    const body = parseCompletionBody(path, bytes.value)
    if (!body.ok) return body
    const request = this.makeRequest(exchange, path, caller.value, body.value, arrivedAtMs)
    return request.ok ? makeSuccess({ request: request.value, isStreaming: body.value.isStreaming }) : request
  }

  /** Matches a body with the contract. Another customer's model is reported as not found, so that its existence stays hidden. */
  private makeRequest (exchange: GatewayExchange, path: string, caller: AuthenticatedCaller, body: ParsedCompletionBody, arrivedAtMs: number): Outcome<RoutedRequest, Refusal> {
    const { contract, configuration } = caller
    const model = configuration.findModel(body.model)
    const kind = findModelRequestKind(contract, body.model, exchange.readHeader('figquay-kind'))
    if (model === undefined || kind === undefined) return makeFailure(Refusal.create('not_found', `the contract does not include model "${body.model}" for this kind of request`))
    if (body.adapter !== undefined && !model.adapters.some((adapter) => adapter.name === body.adapter)) {
      return makeFailure(Refusal.create('not_found', `model "${body.model}" has no adapter "${body.adapter}"`))
    }
    return makeSuccess({
      requestId: exchange.requestId,
      contract,
      kind,
      model,
      adapter: body.adapter,
      path,
      body: body.body,
      fingerprint: hashText(`${contract.customer}/${body.model}/${JSON.stringify(body.body)}`),
      prefixKey: makePrefixKey(body.model, body.prompt),
      promptTokens: body.promptTokens,
      maxOutputTokens: body.outputTokens,
      arrivedAtMs
    })
  }

  private async serveRequest (exchange: GatewayExchange, request: RoutedRequest, sink: AnswerSink): Promise<void> {
    const { customerRateLimiter: customerLimits, modelDemand, completionRouter } = this.context
    modelDemand.countRequest(request)
    const estimatedTokens = request.promptTokens + request.maxOutputTokens
    const limitRefusal = customerLimits.acquireQuota(request.contract, estimatedTokens)
    const result = limitRefusal ?? await completionRouter.serveRequest(request, sink, exchange.signal)
    if (result instanceof Refusal) {
      if (limitRefusal === undefined) customerLimits.reconcileTokens(request.contract, estimatedTokens, 0)
      exchange.writeRefusal(result)
      this.recordRefusal(request, result, exchange.signal.aborted)
      return
    }
    sink.finish()
    customerLimits.reconcileTokens(request.contract, estimatedTokens, request.promptTokens + result.chunks)
    this.recordAnswer(request, result)
  }

  private recordAnswer (request: RoutedRequest, report: CompletionReport): void {
    const { kind, contract: { customer } } = request
    const isMet = report.firstTokenMs <= kind.firstTokenWithin && report.totalMs <= kind.answerWithin
    this.context.metrics.countRequest(customer, kind.name, isMet ? 'met' : 'late')
    this.context.metrics.observeAnswer(customer, kind.name, report.totalMs, report.firstTokenMs)
    this.context.metrics.countRetries(report.retries)
    this.context.burnRateTracker.countRequest(customer, kind.name, isMet)
    this.context.logger.debug('answered', { request: request.requestId, customer, kind: kind.name, totalMs: Math.round(report.totalMs), retries: report.retries })
  }

  private recordRefusal (request: RoutedRequest, refusal: Refusal, isCancelled: boolean): void {
    const { kind, contract: { customer } } = request
    const isRateLimited = refusal.code === 'rate_limited'
    const isCallerError = isCancelled || CALLER_ERROR_CODES.has(refusal.code)
    this.context.metrics.countRequest(customer, kind.name, isRateLimited ? 'limited' : isCallerError ? 'invalid' : refusal.execution === 'not-run' ? 'refused' : 'failed')
    if (!isRateLimited && !isCallerError) this.context.burnRateTracker.countRequest(customer, kind.name, false)
    this.context.logger.info('refused', { request: request.requestId, customer, kind: kind.name, code: refusal.code, reason: refusal.message, outcome: refusal.execution })
  }
}
