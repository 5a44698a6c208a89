/**
 * Malformed, oversized and timed-out requests (`clientError`) and idle connections, for all HTTP servers of the project.
 *
 * Load pattern: the process is held up for seconds. Node.js checks its time limits before it reads its sockets, so requests
 * that have arrived meanwhile look as if their callers had sent nothing.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { waitForInput } from './FigquayTimer.js'

const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
const HEADERS_TOO_LARGE_RESPONSE = 'HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const REQUEST_TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
/**
 * How long the connection stays open after the response. A caller that is still sending would get a reset instead of
 * the response if the connection were closed at once.
 */
const LINGERING_CLOSE_MS = 1_000

/**
 * What became of an error on a connection: it was answered or the connection closed; a request was read after all and is
 * served; a request that was read after the answer is not.
 */
export type ClientErrorOutcome = 'answered' | 'closed' | 'request-read' | 'request-dropped'

/** Options of the handler. */
export interface ClientErrorOptions {
  /** Called with the code of the error, or `idle` for an idle connection, and with what became of it. */
  readonly noteOutcome?: (code: string, outcome: ClientErrorOutcome) => void
}

/** A connection at the time of an error. */
export interface ClientErrorState {
  readonly code: string | undefined
  readonly isWritable: boolean
  /** A response is in progress, into which nothing may be written. */
  readonly hasOpenResponse: boolean
  /** Once the time limit was exceeded and the sockets were read again, a request had arrived. */
  readonly hasReadRequest: boolean
}

/** Requests that a connection has brought. */
interface ConnectionRequests {
  begun: number
  /** Number of those whose responses are in progress. */
  open: number
}

/**
 * Decides what becomes of an error on a connection. A response may say that a request has not run and never will; so one
 * that has been read is served rather than answered as missing.
 *
 * @example
 * decideOnClientError({ code: 'ERR_HTTP_REQUEST_TIMEOUT', isWritable: true, hasOpenResponse: false, hasReadRequest: false }) // 'answered'
 */
export function decideOnClientError ({ code, isWritable, hasOpenResponse, hasReadRequest }: ClientErrorState): Exclude<ClientErrorOutcome, 'request-dropped'> {
  if (hasReadRequest) return 'request-read'
  return !isWritable || hasOpenResponse || code === 'ECONNRESET' ? 'closed' : 'answered'
}

function chooseResponse (code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') return HEADERS_TOO_LARGE_RESPONSE
  return code === REQUEST_TIMEOUT_CODE ? REQUEST_TIMEOUT_RESPONSE : BAD_REQUEST_RESPONSE
}

/** Handles the errors of one server. */
class ClientErrorHandler {
  private readonly requests = new WeakMap<Duplex, ConnectionRequests>()
  private readonly answeredConnections = new WeakSet<Duplex>()

  private constructor (private readonly server: Server, private readonly options: ClientErrorOptions) {}

  static create (server: Server, options: ClientErrorOptions): ClientErrorHandler {
    return new ClientErrorHandler(server, options)
  }

  /** Notes a request that was read; false if its connection was answered before, so that it must not run. */
  admitRequest ({ socket }: IncomingMessage, response: ServerResponse): boolean {
    if (this.answeredConnections.has(socket)) {
      this.noteOutcome(undefined, 'request-dropped')
      return false
    }
    const requests = this.findRequests(socket)
    requests.begun += 1
    requests.open += 1
    response.once('close', () => {
      requests.open -= 1
    })
    return true
  }

  /** Answers an error, or closes its connection. */
  async handleError (error: NodeJS.ErrnoException, socket: Duplex): Promise<void> {
    if (this.answeredConnections.has(socket)) return
    const { code } = error
    const hasOpenResponse = this.findRequests(socket).open > 0
    const hasReadRequest = code === REQUEST_TIMEOUT_CODE && !hasOpenResponse && await this.awaitRequest(socket)
    // What was read may have been malformed and answered as such.
    if (this.answeredConnections.has(socket)) return
    const outcome = decideOnClientError({ code, isWritable: socket.writable, hasOpenResponse, hasReadRequest })
    this.noteOutcome(code, outcome)
    if (outcome === 'closed') socket.destroy()
    if (outcome !== 'answered') return
    this.answeredConnections.add(socket)
    socket.end(chooseResponse(code))
    setTimeout(() => socket.destroy(), LINGERING_CLOSE_MS).unref()
  }

  /** Closes a connection that has been idle for too long, unless something has arrived on it. */
  async handleIdle (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    const hasReadRequest = await this.awaitRequest(socket)
    const isClosed = !hasReadRequest && socket.bytesRead === bytesRead
    this.noteOutcome('idle', isClosed ? 'closed' : 'request-read')
    if (isClosed) socket.destroy()
    // The beginning of a request: Node.js ends this time limit once its header is complete.
    else if (!hasReadRequest) socket.setTimeout(this.server.keepAliveTimeout)
  }

  /** Has the sockets read once more; true if a request has arrived on this one. */
  private async awaitRequest (socket: Duplex): Promise<boolean> {
    const { begun } = this.findRequests(socket)
    await waitForInput()
    return this.findRequests(socket).begun > begun
  }

  private findRequests (socket: Duplex): ConnectionRequests {
    const known = this.requests.get(socket) ?? { begun: 0, open: 0 }
    this.requests.set(socket, known)
    return known
  }

  private noteOutcome (code: string | undefined, outcome: ClientErrorOutcome): void {
    this.options.noteOutcome?.(code ?? 'none', outcome)
  }
}

/**
 * Answers the `clientError`s of an HTTP server, closes its idle connections, and keeps requests on connections that were
 * answered from its listeners, which have to be registered before. Returns a function that undoes this.
 *
 * @example
 * const undo = registerClientErrorHandler(server, { noteOutcome: (code, outcome) => counter.inc({ code, outcome }) })
 */
export function registerClientErrorHandler (server: Server, options: ClientErrorOptions = {}): () => void {
  const handler = ClientErrorHandler.create(server, options)
  const requestListeners = server.listeners('request') as Array<(request: IncomingMessage, response: ServerResponse) => void>
  const handleRequest = (request: IncomingMessage, response: ServerResponse): void => {
    // Its body is discarded, so that its caller can finish sending and read the answer that it has got.
    if (!handler.admitRequest(request, response)) request.resume()
    else for (const listener of requestListeners) listener.call(server, request, response)
  }
  const handleError = (error: Error, socket: Duplex): void => {
    handler.handleError(error, socket).catch(() => socket.destroy())
  }
  const handleIdle = (socket: Socket): void => {
    handler.handleIdle(socket).catch(() => socket.destroy())
  }
  server.removeAllListeners('request')
  server.on('request', handleRequest).on('clientError', handleError).on('timeout', handleIdle)
  return () => {
    server.off('request', handleRequest).off('clientError', handleError).off('timeout', handleIdle)
    for (const listener of requestListeners) server.on('request', listener)
  }
}
