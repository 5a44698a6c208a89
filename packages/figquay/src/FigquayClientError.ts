/** Responses to malformed, oversized or timed-out requests (`clientError`), shared by all HTTP servers of the project. */
import type { Duplex } from 'node:stream'

const HEADERS_TOO_LARGE_RESPONSE = 'HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const REQUEST_TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
/**
 * How long the connection stays open after the response. A caller that is still sending would get a reset instead of
 * the response if the connection were closed at once.
 */
const LINGERING_CLOSE_MS = 1_000

const answeredSockets = new WeakSet<Duplex>()

function chooseResponse (code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') return HEADERS_TOO_LARGE_RESPONSE
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? REQUEST_TIMEOUT_RESPONSE : BAD_REQUEST_RESPONSE
}

/**
 * Responds to a `clientError` of an HTTP server and closes the connection.
 *
 * @param hasOpenResponse Whether another response is in progress on the connection: then nothing may be written into it.
 * @example
 * server.on('clientError', (error, socket) => answerClientError(error, socket, false))
 */
export function answerClientError (error: NodeJS.ErrnoException, socket: Duplex, hasOpenResponse: boolean): void {
  if (answeredSockets.has(socket)) return
  if (!socket.writable || hasOpenResponse || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  answeredSockets.add(socket)
  socket.end(chooseResponse(error.code))
  setTimeout(() => socket.destroy(), LINGERING_CLOSE_MS).unref()
}
