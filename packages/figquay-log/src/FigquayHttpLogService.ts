/** HTTP client of the log service: `POST` and `GET /streams/{stream}/records`. */
import { JsonClient, makeFailure, makeSuccess, type CallFailure, type Outcome, type PluginRegistry } from 'figquay'
import { LogService, type LogPage, type NewRecord } from './FigquayLogService.js'

/** Options of the HTTP client of the log service. */
export interface HttpLogServiceOptions {
  readonly url: string
  /** Timeout of an append, in milliseconds. */
  readonly appendTimeoutMs?: number
}

const DEFAULT_APPEND_TIMEOUT_MS = 1_000
/** Added to the long-poll time of a read to get its request timeout. */
const READ_TIMEOUT_MARGIN_MS = 700
const HTTP_CREATED = 201
const HTTP_OK = 200

/** Accesses the log service with JSON over HTTP. */
export class HttpLogService extends LogService {
  private readonly readClient = JsonClient.create()
  private readonly appendClient = JsonClient.create()

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
    const reply = await this.appendClient.requestJson('POST', this.formatUrl(stream), { records }, timeoutMs)
    if (!reply.ok) return reply
    if (reply.value.status === HTTP_CREATED) return makeSuccess((reply.value.body as { offsets: number[] }).offsets)
    return makeFailure({ sent: 'never', reason: 'reset', message: `the log service rejected the append with status ${reply.value.status}` })
  }

  override async readPage (stream: string, from: number, waitMs: number, signal?: AbortSignal): Promise<Outcome<LogPage, CallFailure>> {
    const url = `${this.formatUrl(stream)}?from=${from}&waitMs=${waitMs}`
    const reply = await this.readClient.requestJson('GET', url, undefined, waitMs + READ_TIMEOUT_MARGIN_MS, { signal })
    if (!reply.ok) return reply
    if (reply.value.status === HTTP_OK) return makeSuccess(reply.value.body as LogPage)
    return makeFailure({ sent: 'maybe', reason: 'reset', message: `the log service answered the read with status ${reply.value.status}` })
  }

  override close (): void {
    this.readClient.close()
    this.appendClient.close()
  }

  private formatUrl (stream: string): string {
    return `${this.options.url}/streams/${encodeURIComponent(stream)}/records`
  }
}

/**
 * Registers the HTTP client of the log service as plug-in `http`; returns a function that removes it.
 *
 * @example
 * const unregister = registerHttpLogService(registry)
 */
export function registerHttpLogService (registry: PluginRegistry): () => void {
  return registry.registerPlugin('log-service', 'http', HttpLogService.create)
}
