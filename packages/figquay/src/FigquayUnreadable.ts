/** Answers to bytes that are no request, for every HTTP server of the project. */
import type { Duplex } from 'node:stream'

const OVERSIZED_HEADER = 'HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const SLOW_REQUEST = 'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
/** A caller that is still sending gets this long to read its answer, in milliseconds: closing at once would reset it. */
const LINGER_MS = 1_000

const answered = new WeakSet<Duplex>()

function chooseAnswer (code: string | undefined): string {
  if (code === 'HPE_HEADER_OVERFLOW') return OVERSIZED_HEADER
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? SLOW_REQUEST : BAD_REQUEST
}

/**
 * Answers bytes that are no request and closes their connection.
 *
 * @param isAnswering Whether another answer is under way on the connection: then nothing may be put into it.
 * @example
 * server.on('clientError', (error, socket) => answerUnreadable(error, socket, false))
 */
export function answerUnreadable (error: NodeJS.ErrnoException, socket: Duplex, isAnswering: boolean): void {
  if (answered.has(socket)) return
  if (!socket.writable || isAnswering || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  answered.add(socket)
  socket.end(chooseAnswer(error.code))
  setTimeout(() => socket.destroy(), LINGER_MS).unref()
}
