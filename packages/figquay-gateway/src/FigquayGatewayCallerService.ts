/** The HTTP port for callers: a moleculer-web gateway whose aliases call the daemon's actions. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Context, ServiceBroker, ServiceSchema } from 'moleculer'
import ApiGateway from 'moleculer-web'
import { CompletionHandler } from './FigquayGatewayCompletions.js'
import { GatewayExchange } from './FigquayGatewayExchange.js'
import { ServiceHandler } from './FigquayGatewayServices.js'
import type { GatewayContext } from './FigquayGatewayTypes.js'
import { answerUnreadable, Refusal } from 'figquay'

/** Where callers connect. */
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
const KEEP_ALIVE_MS = 5_000
const LARGEST_HEADERS_BYTES = 16 * 2 ** 10

/** Splits `/services/{name}/{path}?query`. */
function splitServicePath (url: string): { readonly service: string, readonly path: string } | undefined {
  const match = /^\/services\/([a-z0-9-]+)(\/[^\s]*)$/.exec(url)
  return match === null ? undefined : { service: match[1]!, path: match[2]! }
}

/** Actions that serve exchanges; the gateway's aliases call them. */
function makeActions (context: GatewayContext): ServiceSchema['actions'] {
  const completions = CompletionHandler.create(context)
  const services = ServiceHandler.create(context)
  return {
    complete: (ctx: Context<ExchangeParams>) => completions.serveExchange(ctx.params.exchange, ctx.params.path),
    listModels: (ctx: Context<ExchangeParams>) => completions.listModels(ctx.params.exchange),
    showOutcome: (ctx: Context<ExchangeParams>) => services.writeOutcome(ctx.params.exchange, decodeURIComponent(ctx.params.path)),
    callService: (ctx: Context<ExchangeParams>) => {
      const target = splitServicePath(ctx.params.path)
      if (target !== undefined) return services.serveExchange(ctx.params.exchange, target.service, target.path)
      ctx.params.exchange.writeRefusal(Refusal.create('not_found', 'expected /services/{name}/{path}'))
    }
  }
}

type AliasHandler = (request: IncomingMessage, response: ServerResponse) => void

/** An alias that hands the exchange to an action of the serving service. */
function makeAlias (broker: ServiceBroker, context: GatewayContext, action: string, readPath: (request: IncomingMessage) => string): AliasHandler {
  return (request, response) => {
    const exchange = GatewayExchange.create(request, response, context.isDraining())
    context.activeExchanges.add(exchange.requestId)
    response.once('close', () => context.activeExchanges.delete(exchange.requestId))
    broker.call(`serving.${action}`, { exchange, path: readPath(request) }).catch((error: unknown) => {
      context.logger.error('exchange failed', { request: exchange.requestId, error: String(error) })
      exchange.writeRefusal(Refusal.create('upstream_failed', 'internal error', { execution: 'unknown' }))
    })
  }
}

/** The URL as the caller wrote it; moleculer-web shortens `url`. */
function readUrl (request: IncomingMessage): string {
  return (request as { originalUrl?: string }).originalUrl ?? request.url ?? '/'
}

function makeAliases (broker: ServiceBroker, context: GatewayContext): Record<string, AliasHandler> {
  const readKey = (request: IncomingMessage): string => readUrl(request).split('?')[0]!.slice('/v1/outcomes/'.length)
  return {
    'POST v1/chat/completions': makeAlias(broker, context, 'complete', () => '/v1/chat/completions'),
    'POST v1/completions': makeAlias(broker, context, 'complete', () => '/v1/completions'),
    'GET v1/models': makeAlias(broker, context, 'listModels', readUrl),
    'GET v1/outcomes/:key': makeAlias(broker, context, 'showOutcome', readKey),
    'services/(.*)': makeAlias(broker, context, 'callService', readUrl)
  }
}

/** Answers what no alias matches, and requests that cannot be parsed. */
function answerUnmatched (request: IncomingMessage, response: ServerResponse): void {
  if (response.headersSent) return
  const exchange = GatewayExchange.create(request, response, false)
  exchange.writeRefusal(Refusal.create('not_found', `there is no ${request.method} ${readUrl(request).slice(0, 100)}`))
}

/**
 * Registers the services that serve callers; returns the function that stops them.
 *
 * @example
 * const undo = registerCallerGateway(broker, context, { host: '127.0.0.1', port: 8080 })
 */
export function registerCallerGateway (broker: ServiceBroker, context: GatewayContext, address: ListenAddress): () => Promise<void> {
  const serving = broker.createService({ name: 'serving', actions: makeActions(context) })
  const gateway = broker.createService({
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
      server.keepAliveTimeout = KEEP_ALIVE_MS
      server.maxHeadersCount = 100
      server.setTimeout(0)
      server.on('clientError', (error, socket) => answerUnreadable(error, socket, false))
      Object.assign(server, { maxHeaderSize: LARGEST_HEADERS_BYTES })
    }
  } as ServiceSchema)
  return async () => {
    (gateway as unknown as { server: import('node:http').Server }).server.closeIdleConnections()
    await broker.destroyService(gateway)
    await broker.destroyService(serving)
  }
}
