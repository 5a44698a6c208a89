/** A small HTTP server for stand-ins: JSON in, JSON out. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Handles one request; a returned value is written as JSON. */
export type JsonHandler = (request: IncomingMessage, response: ServerResponse, url: URL) => Promise<JsonAnswer | undefined>

/** A JSON answer. */
export interface JsonAnswer {
  readonly status: number
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/**
 * Reads a whole body.
 *
 * @example
 * const text = await readText(request)
 */
export async function readText (request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}

/**
 * Reads a whole body as JSON; undefined when it is none.
 *
 * @example
 * const order = await readJson<Order>(request)
 */
export async function readJson<T> (request: IncomingMessage): Promise<T | undefined> {
  try {
    return JSON.parse(await readText(request)) as T
  } catch {
    return undefined
  }
}

/**
 * Writes a JSON answer.
 *
 * @example
 * writeAnswer(response, { status: 200, body: {} })
 */
export function writeAnswer (response: ServerResponse, answer: JsonAnswer): void {
  if (response.destroyed || response.headersSent) return
  response.writeHead(answer.status, { 'content-type': 'application/json', ...answer.headers })
  response.end(answer.body === undefined ? '' : JSON.stringify(answer.body))
}

/**
 * Listens on loopback.
 *
 * @example
 * const server = await startServer(7100, handler)
 */
export function startServer (port: number, handler: JsonHandler): Promise<Server> {
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://standin')
    handler(request, response, url).then((answer) => {
      if (answer !== undefined) writeAnswer(response, answer)
    }).catch((error: unknown) => response.destroy(error as Error))
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
