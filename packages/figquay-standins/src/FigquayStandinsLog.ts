/** Stand-in for the platform's log service: append-only streams with offsets, limited retention, outages and lost responses. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, startServer, type JsonResponse } from './FigquayStandinsHttp.js'

interface StoredRecord {
  readonly offset: number
  readonly at: number
  readonly id: string
  readonly data: unknown
}

interface StoredStream {
  firstOffset: number
  records: StoredRecord[]
  /** Callbacks that end the long polls in progress. */
  readonly wakeCallbacks: Set<() => void>
}

/** Fault settings of the log, changed through `POST /standin/control`. */
export interface LogBehaviour {
  /** `down`: responds with status 503 at once. `hang`: never responds. */
  mode: 'up' | 'down' | 'hang'
  /** Delay before an append takes effect, in milliseconds. */
  appendDelayMs: number
  /** Number of upcoming appends that take effect, but whose connection is closed without a response. */
  loseAnswers: number
  /** Newest records kept in each stream; older ones expire. */
  retainRecords: number
  /** Newest records that reads leave out, as a lagging replica does. */
  staleRecords: number
}

/** Longest long poll; a request to a hanging log is held as long. */
const MAX_WAIT_MS = 30_000

/** Log service that keeps its streams in memory. */
export class StandinLog {
  private readonly streams = new Map<string, StoredStream>()
  private appendCount = 0
  private readonly behaviour: LogBehaviour = { mode: 'up', appendDelayMs: 2, loseAnswers: 0, retainRecords: Number.MAX_SAFE_INTEGER, staleRecords: 0 }

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const log = StandinLog.create(clock)
   */
  static create (clock: Clock): StandinLog {
    return new StandinLog(clock)
  }

  /** Starts the HTTP server on the loopback interface. */
  start (port: number): Promise<Server> {
    return startServer(port, (request, response, url) => this.handleRequest(request, response, url))
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonResponse | undefined> {
    if (url.pathname === '/standin/control') {
      Object.assign(this.behaviour, await readJson<Partial<LogBehaviour>>(request))
      return { status: 200, body: this.behaviour }
    }
    if (url.pathname === '/standin/facts') return { status: 200, body: { appends: this.appendCount, streams: this.listStreamOffsets() } }
    if (this.behaviour.mode === 'down') return { status: 503, body: { error: 'unavailable' } }
    if (this.behaviour.mode === 'hang') {
      await this.clock.waitFor(MAX_WAIT_MS)
      return undefined
    }
    const match = /^\/streams\/([\w-]+)\/records$/.exec(url.pathname)
    if (match === null) return { status: 404, body: { error: 'not found' } }
    const stream = this.findOrCreateStream(match[1]!)
    return request.method === 'POST' ? await this.handleAppend(request, response, stream) : await this.handleRead(url, stream)
  }

  private listStreamOffsets (): Record<string, { firstOffset: number, endOffset: number }> {
    return Object.fromEntries([...this.streams].map(([name, stream]) => [name, { firstOffset: stream.firstOffset, endOffset: stream.firstOffset + stream.records.length }]))
  }

  private findOrCreateStream (name: string): StoredStream {
    let stream = this.streams.get(name)
    if (stream === undefined) {
      stream = { firstOffset: 0, records: [], wakeCallbacks: new Set() }
      this.streams.set(name, stream)
    }
    return stream
  }

  private async handleAppend (request: IncomingMessage, response: ServerResponse, stream: StoredStream): Promise<JsonResponse | undefined> {
    const body = await readJson<{ records?: Array<{ id: string, data: unknown }> }>(request)
    if (!Array.isArray(body?.records)) return { status: 400, body: { error: 'expected records' } }
    await this.clock.waitFor(this.behaviour.appendDelayMs)
    this.appendCount += 1
    const offsets = body.records.map((record) => this.storeRecord(stream, record))
    for (const wake of [...stream.wakeCallbacks]) wake()
    if (this.behaviour.loseAnswers > 0) {
      this.behaviour.loseAnswers -= 1
      response.destroy()
      return undefined
    }
    return { status: 201, body: { offsets } }
  }

  private storeRecord (stream: StoredStream, record: { id: string, data: unknown }): number {
    const offset = stream.firstOffset + stream.records.length
    stream.records.push({ offset, at: this.clock.now().getTime(), id: String(record.id), data: record.data })
    const excess = stream.records.length - this.behaviour.retainRecords
    if (excess > 0) {
      stream.records = stream.records.slice(excess)
      stream.firstOffset += excess
    }
    return offset
  }

  private async handleRead (url: URL, stream: StoredStream): Promise<JsonResponse> {
    const fromOffset = Number(url.searchParams.get('from') ?? 0)
    const waitMs = Math.min(MAX_WAIT_MS, Number(url.searchParams.get('waitMs') ?? 0))
    if (fromOffset >= this.readEndOffset(stream)) await this.waitForRecord(stream, waitMs)
    const endOffset = this.readEndOffset(stream)
    const records = stream.records.filter((record) => record.offset >= fromOffset && record.offset < endOffset)
    return { status: 200, body: { firstOffset: stream.firstOffset, endOffset, records } }
  }

  private readEndOffset (stream: StoredStream): number {
    return Math.max(0, stream.firstOffset + stream.records.length - this.behaviour.staleRecords)
  }

  private async waitForRecord (stream: StoredStream, waitMs: number): Promise<void> {
    const wakeup = new AbortController()
    const wake = (): void => wakeup.abort()
    stream.wakeCallbacks.add(wake)
    await this.clock.waitFor(waitMs, wakeup.signal)
    stream.wakeCallbacks.delete(wake)
  }
}
