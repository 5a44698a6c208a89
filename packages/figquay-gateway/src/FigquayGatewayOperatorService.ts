/** HTTP endpoint for operators: health checks, metrics and JSON-RPC for the command-line client. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0'
import { compareSecrets, describeError, hashText } from 'figquay'
import type { Metrics } from 'figquay-report'
import { GatewayExchange, formatRefusal } from './FigquayGatewayExchange.js'
import { Refusal } from 'figquay'

/** JSON-RPC methods that operators may call, by name. */
export type OperatorMethods = Readonly<Record<string, (params: never) => unknown>>

/** Options of the operator gateway. */
export interface OperatorGatewayOptions {
  /** SHA-256 hash of each operator key. */
  readonly keyHashes: readonly string[]
  readonly metrics: Metrics
  readonly methods: OperatorMethods
  /** Whether the daemon is ready to serve callers. */
  readonly isReady: () => boolean
}

const HEADERS_TIMEOUT_MS = 5_000
const REQUEST_TIMEOUT_MS = 15_000

/** Serves the operator endpoint. */
export class OperatorGateway {
  private readonly rpc = new JSONRPCServer({ errorListener: () => {} })
  private readonly server: Server

  private constructor (private readonly options: OperatorGatewayOptions) {
    for (const [name, method] of Object.entries(options.methods)) this.rpc.addMethod(name, method as (params: unknown) => unknown as never)
    this.server = createServer((request, response) => {
      this.serveRequest(request, response).catch((error: unknown) => response.destroy(error as Error))
    })
    this.server.headersTimeout = HEADERS_TIMEOUT_MS
    this.server.requestTimeout = REQUEST_TIMEOUT_MS
  }

  /**
   * @example
   * const gateway = OperatorGateway.create({ keyHashes, metrics, methods, isReady })
   */
  static create (options: OperatorGatewayOptions): OperatorGateway {
    return new OperatorGateway(options)
  }

  /**
   * Starts listening.
   *
   * @example
   * await gateway.listen('127.0.0.1', 9090)
   */
  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, () => resolve())
    })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async serveRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const exchange = GatewayExchange.create(request, response, false)
    const url = request.url ?? '/'
    if (request.method === 'GET' && url === '/healthz') exchange.writeJson(200, { status: 'ok' })
    else if (request.method === 'GET' && url === '/readyz') this.writeReadiness(exchange)
    else if (request.method === 'GET' && url === '/metrics') await this.writeMetrics(response)
    else if (request.method === 'POST' && url === '/rpc') await this.serveRpc(exchange)
    else exchange.writeRefusal(Refusal.create('not_found', `no route matches ${request.method} ${url.slice(0, 100)}`))
  }

  private writeReadiness (exchange: GatewayExchange): void {
    const isReady = this.options.isReady()
    exchange.writeJson(isReady ? 200 : 503, { ready: isReady })
  }

  private async writeMetrics (response: ServerResponse): Promise<void> {
    const text = await this.options.metrics.registry.metrics()
    response.writeHead(200, { 'content-type': this.options.metrics.registry.contentType })
    response.end(text)
  }

  private async serveRpc (exchange: GatewayExchange): Promise<void> {
    const refusal = this.authenticateOperator(exchange)
    if (refusal !== undefined) {
      exchange.writeRefusal(refusal)
      return
    }
    const body = await exchange.readBody()
    if (!body.ok) {
      exchange.writeRefusal(body.error)
      return
    }
    try {
      const reply = await this.rpc.receive(JSON.parse(body.value.toString('utf8')) as JSONRPCRequest)
      exchange.writeJson(200, reply)
    } catch (error) {
      exchange.writeJson(400, formatRefusal(Refusal.create('bad_request', `invalid JSON-RPC request: ${describeError(error)}`)))
    }
  }

  private authenticateOperator (exchange: GatewayExchange): Refusal | undefined {
    const match = /^Bearer ([\x21-\x7e]{1,512})$/.exec(exchange.readHeader('authorization') ?? '')
    const keyHash = hashText(match?.[1] ?? '')
    const isKnown = match !== null && this.options.keyHashes.some((hash) => compareSecrets(hash, keyHash))
    return isKnown ? undefined : Refusal.create('unauthenticated', 'expected "Authorization: Bearer <operator key>"')
  }
}
