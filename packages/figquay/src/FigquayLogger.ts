/** Structured logging: one JSON object per line, written through consola. */
import { createConsola, type ConsolaInstance, type LogObject } from 'consola'

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>

/** Logger interface that all packages use. */
export interface Logger {
  debug (message: string, fields?: LogFields): void
  info (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  error (message: string, fields?: LogFields): void
}

/** Least severe level that is written. */
export type LogLevel = 'silent' | 'error' | 'warn' | 'info' | 'debug'

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  silent: -999,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4
}

/** Writes one consola record as a JSON line. */
function writeLine (record: LogObject, origin: string, stream: NodeJS.WritableStream): void {
  const [message, fields] = record.args as [string, LogFields | undefined]
  const line = { time: record.date.toISOString(), level: record.type, origin, message, ...fields }
  stream.write(JSON.stringify(line) + '\n')
}

/** Logger that writes JSON lines through consola. */
export class JsonLogger implements Logger {
  private constructor (private readonly consola: ConsolaInstance) {}

  /**
   * @example
   * const logger = JsonLogger.create('daemon-1', 'info')
   * logger.info('listening', { port: 8080 })
   */
  static create (origin: string, level: LogLevel, stream: NodeJS.WritableStream = process.stderr): JsonLogger {
    const reporter = { log: (record: LogObject): void => writeLine(record, origin, stream) }
    return new JsonLogger(createConsola({ level: CONSOLA_LEVELS[level], reporters: [reporter], throttle: 0 }))
  }

  debug (message: string, fields?: LogFields): void {
    this.consola.debug(message, fields)
  }

  info (message: string, fields?: LogFields): void {
    this.consola.info(message, fields)
  }

  warn (message: string, fields?: LogFields): void {
    this.consola.warn(message, fields)
  }

  error (message: string, fields?: LogFields): void {
    this.consola.error(message, fields)
  }
}
