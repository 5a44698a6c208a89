/** `POST /v1/chat/completions`, `POST /v1/completions` and `GET /v1/models`. */
import { hashText, makeFailure, makeSuccess, Refusal, type Outcome } from 'figquay'
import { findModelKind } from 'figquay-contracts'
import { makePrefixKey, type CompletionReport, type RoutedRequest } from 'figquay-routing'
import { identifyCaller, type Caller } from './FigquayGatewayAccess.js'
import { parseCompletionBody, type CompletionBody } from './FigquayGatewayCompletionBody.js'
import type { GatewayExchange } from './FigquayGatewayExchange.js'
import { StreamSink, WholeSink, type AnswerSink } from './FigquayGatewaySinks.js'
import type { GatewayContext } from './FigquayGatewayTypes.js'

/** Codes of refusals that do not count against the contract. */
const CALLER_FAULTS: ReadonlySet<string> = new Set(['bad_request', 'unauthenticated', 'forbidden', 'not_found', 'payload_too_large'])

/** Serves completions to callers. */
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
   * Serves one exchange to its end.
   *
   * @example
   * await handler.serveExchange(exchange, '/v1/chat/completions')
   */
  async serveExchange (exchange: GatewayExchange, path: string): Promise<void> {
    const arrivedAtMs = this.context.clock.readMonotonicMs()
    const routed = await this.routeExchange(exchange, path, arrivedAtMs)
    if (!routed.ok) {
      exchange.writeRefusal(routed.error)
      return
    }
    const { request, isStream } = routed.value
    const sink = isStream ? StreamSink.create(exchange) : WholeSink.create(exchange, path === '/v1/chat/completions')
    await this.serveRequest(exchange, request, sink)
  }

  /** Lists the models that a caller may use. */
  listModels (exchange: GatewayExchange): void {
    const caller = identifyCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) {
      exchange.writeRefusal(caller.error)
      return
    }
    const models = caller.value.configuration.listModels(caller.value.contract)
    const names = models.flatMap((model) => [model.name, ...model.adapters.map((adapter) => `${model.name}:${adapter.name}`)])
    exchange.writeJson(200, { object: 'list', data: names.map((id) => ({ id, object: 'model', owned_by: 'figquay' })) })
  }

  private async routeExchange (exchange: GatewayExchange, path: string, arrivedAtMs: number): Promise<Outcome<{ request: RoutedRequest, isStream: boolean }, Refusal>> {
    const caller = identifyCaller(exchange, this.context.readConfiguration())
    if (!caller.ok) return caller
    const bytes = await exchange.readBody()
    if (!bytes.ok) return bytes
    const body = parseCompletionBody(path, bytes.value)
    if (!body.ok) return body
    const request = this.makeRequest(exchange, path, caller.value, body.value, arrivedAtMs)
    return request.ok ? makeSuccess({ request: request.value, isStream: body.value.stream }) : request
  }

  /** Matches a body with the contract; a model of another customer looks like one that does not exist. */
  private makeRequest (exchange: GatewayExchange, path: string, caller: Caller, body: CompletionBody, arrivedAtMs: number): Outcome<RoutedRequest, Refusal> {
    const { contract, configuration } = caller
    const model = configuration.findModel(body.model)
    const kind = findModelKind(contract, body.model, exchange.readHeader('figquay-kind'))
    if (model === undefined || kind === undefined) return makeFailure(Refusal.create('not_found', `the contract has no model "${body.model}" for this kind of request`))
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
    const { limits, modelDemand, completions } = this.context
    modelDemand.countRequest(request)
    const estimated = request.promptTokens + request.maxOutputTokens
    const limited = limits.acquireQuota(request.contract, estimated)
    const result = limited ?? await completions.serveRequest(request, sink, exchange.signal)
    if (result instanceof Refusal) {
      if (limited === undefined) limits.reconcileTokens(request.contract, estimated, 0)
      exchange.writeRefusal(result)
      this.countRefusal(request, result, exchange.signal.aborted)
      return
    }
    sink.finish()
    limits.reconcileTokens(request.contract, estimated, request.promptTokens + result.chunks)
    this.countAnswer(request, result)
  }

  private countAnswer (request: RoutedRequest, report: CompletionReport): void {
    const { kind, contract: { customer } } = request
    const isMet = report.firstTokenMs <= kind.firstTokenWithin && report.totalMs <= kind.answerWithin
    this.context.metrics.countRequest(customer, kind.name, isMet ? 'met' : 'late')
    this.context.metrics.observeAnswer(customer, kind.name, report.totalMs, report.firstTokenMs)
    this.context.metrics.countRetries(report.retries)
    this.context.burn.countRequest(customer, kind.name, isMet)
    this.context.logger.debug('answered', { request: request.requestId, customer, kind: kind.name, totalMs: Math.round(report.totalMs), retries: report.retries })
  }

  private countRefusal (request: RoutedRequest, refusal: Refusal, isCancelled: boolean): void {
    const { kind, contract: { customer } } = request
    const isLimited = refusal.code === 'rate_limited'
    const isCallerFault = isCancelled || CALLER_FAULTS.has(refusal.code)
    this.context.metrics.countRequest(customer, kind.name, isLimited ? 'limited' : isCallerFault ? 'invalid' : refusal.execution === 'not-run' ? 'refused' : 'failed')
    if (!isLimited && !isCallerFault) this.context.burn.countRequest(customer, kind.name, false)
    this.context.logger.info('refused', { request: request.requestId, customer, kind: kind.name, code: refusal.code, reason: refusal.message, outcome: refusal.execution })
  }
}
