/** Minimal JSON-over-HTTP server that the stand-ins share. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Handles one request. The returned value is sent as the response; undefined means that the handler takes care of `response` itself. */
export type JsonHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<JsonResponse | undefined>

/** A response with an optional JSON body. */
export interface JsonResponse {
  readonly status: number
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/**
 * Reads a whole request body as UTF-8 text.
 *
 * @example
 * const text = await readText(request)
 */
export async function readText (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Parses a whole request body as JSON; returns undefined when it is not valid JSON.
 *
 * @example
 * const order = await readJson<EngineOrder>(request)
 */
export async function readJson<T> (request: IncomingMessage): Promise<T | undefined> {
  try {
    return JSON.parse(await readText(request)) as T
  } catch {
    return undefined
  }
}

/**
 * Sends a JSON response, unless the connection is gone or the headers have been sent.
 *
 * @example
 * writeJsonResponse(response, { status: 200, body: {} })
 */
export function writeJsonResponse (response: ServerResponse, reply: JsonResponse): void {
  if (response.destroyed || response.headersSent) return
  response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers })
  response.end(reply.body === undefined ? '' : JSON.stringify(reply.body))
}

/**
 * Starts an HTTP server on the loopback interface. When a handler throws, its connection is destroyed.
 *
 * @example
 * const server = await startServer(7100, handler)
 */
export function startServer (port: number, handler: JsonHandler): Promise<Server> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://standin')
    handler(request, response, url).then((reply) => {
      if (reply !== undefined) writeJsonResponse(response, reply)
    }).catch((error: unknown) => response.destroy(error as Error))
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
