/** Log service over HTTP: `POST` and `GET /streams/{stream}/records`. */
import { JsonClient, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { LogService, type LogPage, type NewRecord } from './FigquayLogService.js'

/** Options of the HTTP log service. */
export interface HttpLogServiceOptions {
  readonly url: string
  /** Bound on an append, in milliseconds. */
  readonly appendTimeoutMs?: number
}

const DEFAULT_APPEND_TIMEOUT_MS = 1_000
const READ_MARGIN_MS = 700
const CREATED = 201
const OK = 200

/** Log service that speaks HTTP and JSON. */
export class HttpLogService extends LogService {
  private readonly readers = JsonClient.create()
  private readonly writers = JsonClient.create()

  private constructor (private readonly options: HttpLogServiceOptions) {
    super()
  }

  /**
   * @example
   * const log = HttpLogService.create({ url: 'http://127.0.0.1:7100' })
   */
  static create (options: HttpLogServiceOptions): HttpLogService {
    return new HttpLogService(options)
  }

  override async appendRecords (stream: string, records: readonly NewRecord[]): Promise<Outcome<readonly number[], CallFailure>> {
    const timeoutMs = this.options.appendTimeoutMs ?? DEFAULT_APPEND_TIMEOUT_MS
    const reply = await this.writers.requestJson('POST', this.formatUrl(stream), { records }, timeoutMs)
    if (!reply.ok) return reply
    if (reply.value.status === CREATED) return makeSuccess((reply.value.body as { offsets: number[] }).offsets)
    return makeFailure({ sent: 'never', reason: 'reset', message: `the log refused with status ${reply.value.status}` })
  }

  override async readPage (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Outcome<LogPage, CallFailure>> {
    const url = `${this.formatUrl(stream)}?from=${from}&waitMs=${waitMs}`
    const reply = await this.readers.requestJson('GET', url, undefined, waitMs + READ_MARGIN_MS, { signal })
    if (!reply.ok) return reply
    if (reply.value.status === OK) return makeSuccess(reply.value.body as LogPage)
    return makeFailure({ sent: 'maybe', reason: 'reset', message: `the log answered with status ${reply.value.status}` })
  }

  override close (): void {
    this.readers.close()
    this.writers.close()
  }

  private formatUrl (stream: string): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}/records`
  }
}

/**
 * Makes the HTTP log service available as `http`.
 *
 * @example
 * const undo = registerHttpLogService(registry)
 */
export function registerHttpLogService (registry: PluginRegistry): () => void {
  return registry.registerPlugin('log-service', 'http', HttpLogService.create)
}
