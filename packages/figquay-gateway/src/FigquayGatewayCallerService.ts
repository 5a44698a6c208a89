/** HTTP endpoint for callers: a moleculer-web gateway whose route aliases call actions of the daemon. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Context, ServiceBroker, ServiceSchema } from 'moleculer'
import ApiGateway from 'moleculer-web'
import { CompletionHandler } from './FigquayGatewayCompletions.js'
import { GatewayExchange } from './FigquayGatewayExchange.js'
import { ServiceHandler } from './FigquayGatewayServices.js'
import type { GatewayContext } from './FigquayGatewayTypes.js'
import { registerClientErrorHandler, Refusal } from 'figquay'

/** Address on which the gateway listens for callers. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

interface ExchangeParams {
  readonly exchange: GatewayExchange
  readonly path: string
}

const HEADERS_TIMEOUT_MS = 5_000
const REQUEST_TIMEOUT_MS = 15_000
const KEEP_ALIVE_TIMEOUT_MS = 5_000
const MAX_HEADERS_BYTES = 16 * 2 ** 10

/** Parses `/services/{name}/{path}?query`. */
function parseServicePath (url: string): { readonly service: string, readonly path: string } | undefined {
  const match = /^\/services\/([a-z0-9-]+)(\/[^\s]*)$/.exec(url)
  return match === null ? undefined : { service: match[1]!, path: match[2]! }
}

/** Creates the actions that serve exchanges; the route aliases of the gateway call them. */
function makeActions (context: GatewayContext): ServiceSchema['actions'] {
  const completionHandler = CompletionHandler.create(context)
  const serviceHandler = ServiceHandler.create(context)
  return {
    complete: (ctx: Context<ExchangeParams>) => completionHandler.serveExchange(ctx.params.exchange, ctx.params.path),
    listModels: (ctx: Context<ExchangeParams>) => completionHandler.listModels(ctx.params.exchange),
    showOutcome: (ctx: Context<ExchangeParams>) => serviceHandler.writeOutcome(ctx.params.exchange, decodeURIComponent(ctx.params.path)),
    callService: (ctx: Context<ExchangeParams>) => {
      const target = parseServicePath(ctx.params.path)
      if (target !== undefined) return serviceHandler.serveExchange(ctx.params.exchange, target.service, target.path)
      ctx.params.exchange.writeRefusal(Refusal.create('not_found', 'expected /services/{name}/{path}'))
    }
  }
}

type AliasHandler = (request: IncomingMessage, response: ServerResponse) => void

/** Creates a route alias that passes the exchange to an action of the `serving` service. */
function makeAlias (broker: ServiceBroker, context: GatewayContext, action: string, readPath: (request: IncomingMessage) => string): AliasHandler {
  return (request, response) => {
    const exchange = GatewayExchange.create(request, response, context.isDraining())
    context.activeExchanges.add(exchange.requestId)
    response.once('close', () => context.activeExchanges.delete(exchange.requestId))
    broker.call(`serving.${action}`, { exchange, path: readPath(request) }).catch((error: unknown) => {
      context.logger.error('exchange failed', { request: exchange.requestId, error: String(error) })
      exchange.writeRefusal(Refusal.create('upstream_failed', 'internal server error', { execution: 'unknown' }))
    })
  }
}

/** Returns the URL as the caller sent it; moleculer-web strips the route prefix from `url`. */
function readUrl (request: IncomingMessage): string {
  return (request as { originalUrl?: string }).originalUrl ?? request.url ?? '/'
}

function makeAliases (broker: ServiceBroker, context: GatewayContext): Record<string, AliasHandler> {
  const readIdempotencyKey = (request: IncomingMessage): string => readUrl(request).split('?')[0]!.slice('/v1/outcomes/'.length)
  return {
    'POST v1/chat/completions': makeAlias(broker, context, 'complete', () => '/v1/chat/completions'),
    'POST v1/completions': makeAlias(broker, context, 'complete', () => '/v1/completions'),
    'GET v1/models': makeAlias(broker, context, 'listModels', readUrl),
    'GET v1/outcomes/:key': makeAlias(broker, context, 'showOutcome', readIdempotencyKey),
    'services/(.*)': makeAlias(broker, context, 'callService', readUrl)
  }
}

/** Responds with 404 to requests that match no alias or cannot be parsed. */
function answerUnmatched (request: IncomingMessage, response: ServerResponse): void {
  if (response.headersSent) return
  const exchange = GatewayExchange.create(request, response, false)
  exchange.writeRefusal(Refusal.create('not_found', `no route matches ${request.method} ${readUrl(request).slice(0, 100)}`))
}

/**
 * Registers the moleculer services that serve callers; returns a function that stops them.
 *
 * @example
 * const stopGateway = registerCallerGateway(broker, context, { host: '127.0.0.1', port: 8080 })
 */
export function registerCallerGateway (broker: ServiceBroker, context: GatewayContext, address: ListenAddress): () => Promise<void> {
  const servingService = broker.createService({ name: 'serving', actions: makeActions(context) })
  const gatewayService = broker.createService({
    name: 'caller-gateway',
    mixins: [ApiGateway as unknown as ServiceSchema],
    settings: {
      ip: address.host,
      port: address.port,
      path: '',
      routes: [{
        path: '/',
        bodyParsers: false,
        autoAliases: false,
        mappingPolicy: 'restrict',
        aliases: makeAliases(broker, context),
        onError: answerUnmatched
      }],
      onError: answerUnmatched
    },
    created () {
      const { server } = this as unknown as { server: import('node:http').Server }
      server.headersTimeout = HEADERS_TIMEOUT_MS
      server.requestTimeout = REQUEST_TIMEOUT_MS
      server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
      server.maxHeadersCount = 100
      server.setTimeout(0)
      registerClientErrorHandler(server)
      Object.assign(server, { maxHeaderSize: MAX_HEADERS_BYTES })
    }
  } as ServiceSchema)
  return async () => {
    (gatewayService as unknown as { server: import('node:http').Server }).server.closeIdleConnections()
    await broker.destroyService(gatewayService)
    await broker.destroyService(servingService)
  }
}
