/** Stand-in of the log service: streams with offsets, limited retention, outages, lost answers. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Clock } from 'figquay'
import { readJson, startServer, type JsonAnswer } from './FigquayStandinsHttp.js'

interface StoredRecord {
  readonly offset: number
  readonly at: number
  readonly id: string
  readonly data: unknown
}

interface StoredStream {
  firstOffset: number
  records: StoredRecord[]
  readonly waiters: Set<() => void>
}

/** How the log behaves; changed over `POST /standin/control`. */
export interface LogBehaviour {
  /** `down`: refuses at once. `hang`: never answers. */
  mode: 'up' | 'down' | 'hang'
  /** Added to each append, in milliseconds. */
  appendDelayMs: number
  /** The next appends that take effect without being answered. */
  loseAnswers: number
  /** Records kept in each stream. */
  retainRecords: number
  /** Reads show the log as it was this many records ago. */
  staleRecords: number
}

const FULL_LENGTH_MS = 30_000

/** The log service. */
export class StandinLog {
  private readonly streams = new Map<string, StoredStream>()
  private appends = 0
  private readonly behaviour: LogBehaviour = { mode: 'up', appendDelayMs: 2, loseAnswers: 0, retainRecords: Number.MAX_SAFE_INTEGER, staleRecords: 0 }

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const log = StandinLog.create(clock)
   */
  static create (clock: Clock): StandinLog {
    return new StandinLog(clock)
  }

  /** Listens on loopback. */
  start (port: number): Promise<Server> {
    return startServer(port, (request, response, url) => this.serve(request, response, url))
  }

  private async serve (request: IncomingMessage, response: ServerResponse, url: URL): Promise<JsonAnswer | undefined> {
    if (url.pathname === '/standin/control') {
      Object.assign(this.behaviour, await readJson<Partial<LogBehaviour>>(request))
      return { status: 200, body: this.behaviour }
    }
    if (url.pathname === '/standin/facts') return { status: 200, body: { appends: this.appends, streams: this.listStreams() } }
    if (this.behaviour.mode === 'down') return { status: 503, body: { error: 'unavailable' } }
    if (this.behaviour.mode === 'hang') {
      await this.clock.waitFor(FULL_LENGTH_MS)
      return undefined
    }
    const match = /^\/streams\/([\w-]+)\/records$/.exec(url.pathname)
    if (match === null) return { status: 404, body: { error: 'not found' } }
    const stream = this.findStream(match[1]!)
    return request.method === 'POST' ? await this.append(request, response, stream) : await this.read(url, stream)
  }

  private listStreams (): Record<string, { firstOffset: number, endOffset: number }> {
    return Object.fromEntries([...this.streams].map(([name, stream]) => [name, { firstOffset: stream.firstOffset, endOffset: stream.firstOffset + stream.records.length }]))
  }

  private findStream (name: string): StoredStream {
    let stream = this.streams.get(name)
    if (stream === undefined) {
      stream = { firstOffset: 0, records: [], waiters: new Set() }
      this.streams.set(name, stream)
    }
    return stream
  }

  private async append (request: IncomingMessage, response: ServerResponse, stream: StoredStream): Promise<JsonAnswer | undefined> {
    const body = await readJson<{ records?: Array<{ id: string, data: unknown }> }>(request)
    if (!Array.isArray(body?.records)) return { status: 400, body: { error: 'expected records' } }
    await this.clock.waitFor(this.behaviour.appendDelayMs)
    this.appends += 1
    const offsets = body.records.map((record) => this.store(stream, record))
    for (const wake of [...stream.waiters]) wake()
    if (this.behaviour.loseAnswers > 0) {
      this.behaviour.loseAnswers -= 1
      response.destroy()
      return undefined
    }
    return { status: 201, body: { offsets } }
  }

  private store (stream: StoredStream, record: { id: string, data: unknown }): number {
    const offset = stream.firstOffset + stream.records.length
    stream.records.push({ offset, at: this.clock.now().getTime(), id: String(record.id), data: record.data })
    const excess = stream.records.length - this.behaviour.retainRecords
    if (excess > 0) {
      stream.records = stream.records.slice(excess)
      stream.firstOffset += excess
    }
    return offset
  }

  private async read (url: URL, stream: StoredStream): Promise<JsonAnswer> {
    const from = Number(url.searchParams.get('from') ?? 0)
    const waitMs = Math.min(FULL_LENGTH_MS, Number(url.searchParams.get('waitMs') ?? 0))
    if (from >= this.readEnd(stream)) await this.waitForRecord(stream, waitMs)
    const end = this.readEnd(stream)
    const records = stream.records.filter((record) => record.offset >= from && record.offset < end)
    return { status: 200, body: { firstOffset: stream.firstOffset, endOffset: end, records } }
  }

  private readEnd (stream: StoredStream): number {
    return Math.max(0, stream.firstOffset + stream.records.length - this.behaviour.staleRecords)
  }

  private async waitForRecord (stream: StoredStream, waitMs: number): Promise<void> {
    const woken = new AbortController()
    const wake = (): void => woken.abort()
    stream.waiters.add(wake)
    await this.clock.waitFor(waitMs, woken.signal)
    stream.waiters.delete(wake)
  }
}
