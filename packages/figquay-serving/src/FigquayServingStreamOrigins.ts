/**
 * Remembers which software version began a stream, for callers that resume it at another daemon. What two versions write
 * doesn't fit together, so a stream goes on at the version that began it, or not at all.
 *
 * While one version serves, each daemon remembers its own streams only. While several do, it also tells the daemons that a
 * hash of the request's id names: three in a small fleet, so that any three daemons may fail at once, and two in a large
 * one. Safety doesn't depend on that memory: a stream that nobody remembers goes on only if all daemons that are asked know
 * of a single version.
 */
import { describeError, hashText, setBounded, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import type { Runner } from 'figquay-fleet'
import type { ServedRequest } from './FigquayServingTypes.js'
import { nameVersion, type VersionHistory } from './FigquayServingVersionHistory.js'

/** A stream that a daemon tells others to remember. */
export interface StreamMemory {
  /** Id of a request that brought events of the stream to its caller. */
  readonly requestId: string
  readonly service: string
  readonly softwareVersion: string
}

/** Asks a daemon for the origin of a stream. */
export interface StreamQuery {
  readonly requestId: string
  readonly service: string
}

/** Reply to such a question. */
export interface StreamReply {
  /** Whether the daemon has loaded runners and facts; if not, it may know too few versions. */
  readonly isSynced: boolean
  /** Version that began the stream; undefined if the daemon doesn't remember it. */
  readonly softwareVersion: string | undefined
  /** Versions that may have begun streams of the service, as far as the daemon knows. */
  readonly versions: readonly string[]
}

/** Where the origin of a stream was learned: `single` if only one version has served lately. */
export type OriginSource = 'own' | 'peer' | 'single'

/** Version that began a stream, or why it can't be told. */
export type StreamOrigin =
  | { readonly type: 'known', readonly softwareVersion: string, readonly source: OriginSource, readonly ageMs: number | undefined }
  | { readonly type: 'unknown', readonly reason: 'several-versions' | 'no-peer-replied' | 'not-synced' | 'no-version' }

/** Options of the memory. */
export interface StreamOriginsOptions {
  readonly self: string
  readonly clock: Clock
  readonly logger: Logger
  readonly tasks: TaskGroup
  readonly versions: VersionHistory
  readonly isSynced: () => boolean
  readonly isLargeFleet: () => boolean
  /** Data centre of each known daemon, by address. */
  readonly listDaemons: () => ReadonlyMap<string, string>
  readonly listConnected: () => readonly string[]
  readonly callPeer: <T>(peer: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
}

interface RememberedStream extends StreamMemory {
  readonly atMs: number
  /** Whether this daemon began the stream, rather than being told of it. */
  readonly isOwn: boolean
}

/** Streams that a daemon remembers, oldest dropped first: several minutes' worth at the users' peak. */
const MAX_REMEMBERED_STREAMS = 50_000
/** A stream is remembered for this long, in milliseconds: longer than callers and their retries last. */
const STREAM_MEMORY_MS = 300_000
/** Daemons that remember a stream besides the one that began it, in a small and in a large fleet. */
const HOLDERS = 3
const LARGE_FLEET_HOLDERS = 2
/** Daemons beyond these that are tried if some don't reply. */
const SPARE_HOLDERS = 2
/** Groups of requests with the same holders: their number bounds the connections and messages of a daemon. */
const HOLDER_GROUPS = 4
/** Delay in which streams are batched, in milliseconds, in a small and in a large fleet: less than callers need to come back. */
const BATCH_DELAY_MS = 20
const LARGE_FLEET_BATCH_DELAY_MS = 250
/** When a second version appears, streams that began within this time are told to the holders, in milliseconds: most of those still open. */
const RECENT_STREAM_MS = 10_000
const CALL_TIMEOUT_MS = 400

/** Hexadecimal digits of a request id's hash that choose its group of holders. */
const GROUP_DIGITS = 4
const HEXADECIMAL = 16

/** Origins of streams, as one daemon knows them. */
export class StreamOrigins {
  private readonly streams = new Map<string, RememberedStream>()
  private pending: StreamMemory[] = []
  private isSendScheduled = false
  private sentMessages = 0
  private sentBytes = 0

  private constructor (private readonly options: StreamOriginsOptions) {
    options.versions.registerListener((service) => this.shareRecentStreams(service))
  }

  /**
   * @example
   * const origins = StreamOrigins.create(options)
   */
  static create (options: StreamOriginsOptions): StreamOrigins {
    return new StreamOrigins(options)
  }

  /** Messages and bytes that this daemon has sent to have streams remembered. */
  get sent (): { readonly messages: number, readonly bytes: number } {
    return { messages: this.sentMessages, bytes: this.sentBytes }
  }

  /**
   * Remembers that events of a runner are forwarded in the answer to a request.
   *
   * @example
   * origins.noteBegin(request, runner)
   */
  noteBegin ({ id, service }: Pick<ServedRequest, 'id' | 'service'>, runner: Pick<Runner, 'softwareVersion'>): void {
    const memory: StreamMemory = { requestId: id, service, softwareVersion: nameVersion(runner) }
    this.storeStream(memory, true)
    if (this.options.versions.isMixed(service)) this.scheduleSend([memory])
  }

  /** Remembers streams that a peer has begun. */
  handleRemember (memories: readonly unknown[]): boolean {
    for (const memory of memories) {
      if (!isStreamMemory(memory)) continue
      this.storeStream(memory, false)
      this.options.versions.noteVersion(memory.service, memory.softwareVersion)
    }
    return true
  }

  /** Replies to a peer's question. */
  handleFind (query: StreamQuery): StreamReply {
    return { isSynced: this.options.isSynced(), softwareVersion: this.findStream(query)?.softwareVersion, versions: this.options.versions.listVersions(query.service) }
  }

  /**
   * Finds the version that began a stream, here or at the peers that may remember it.
   *
   * @param requestId Request that brought the first event; undefined if the caller doesn't name it.
   * @example
   * const origin = await origins.findOrigin('9c41d07b', 'assistant')
   */
  async findOrigin (requestId: string | undefined, service: string): Promise<StreamOrigin> {
    const { clock, versions, isSynced, listDaemons, self } = this.options
    const query: StreamQuery = { requestId: requestId ?? '', service }
    const own = this.findStream(query)
    if (own !== undefined) return { type: 'known', softwareVersion: own.softwareVersion, source: 'own', ageMs: Math.round(clock.readMonotonicMs() - own.atMs) }
    const replies = await this.askPeers(query)
    const remembered = replies.find(({ softwareVersion }) => softwareVersion !== undefined)?.softwareVersion
    if (remembered !== undefined) return { type: 'known', softwareVersion: remembered, source: 'peer', ageMs: undefined }
    if (!isSynced()) return { type: 'unknown', reason: 'not-synced' }
    const isAlone = [...listDaemons().keys()].every((daemon) => daemon === self)
    if (!isAlone && !replies.some((reply) => reply.isSynced)) return { type: 'unknown', reason: 'no-peer-replied' }
    const known = new Set([...versions.listVersions(service), ...replies.flatMap((reply) => reply.versions)])
    if (known.size > 1) return { type: 'unknown', reason: 'several-versions' }
    const [version] = known
    return version === undefined ? { type: 'unknown', reason: 'no-version' } : { type: 'known', softwareVersion: version, source: 'single', ageMs: undefined }
  }

  private storeStream (memory: StreamMemory, isOwn: boolean): void {
    const key = makeKey(memory)
    const known = this.streams.get(key)
    // The first word stands: an id that is used twice must not move a stream to another version.
    if (known === undefined || this.isForgotten(known)) setBounded(this.streams, key, { ...memory, isOwn, atMs: this.options.clock.readMonotonicMs() }, MAX_REMEMBERED_STREAMS)
  }

  private findStream (query: StreamQuery): RememberedStream | undefined {
    const stream = this.streams.get(makeKey(query))
    return stream === undefined || this.isForgotten(stream) ? undefined : stream
  }

  private isForgotten ({ atMs }: RememberedStream): boolean {
    return this.options.clock.readMonotonicMs() - atMs > STREAM_MEMORY_MS
  }

  /** Collects replies until a peer remembers the stream or all that are asked have replied. */
  private async askPeers (query: StreamQuery): Promise<StreamReply[]> {
    return await (this.options.isLargeFleet() ? this.askHolders(query) : this.askConnected(query))
  }

  /** In a small fleet, the daemon that began the stream may be among the connected peers. */
  private async askConnected (query: StreamQuery): Promise<StreamReply[]> {
    const replies: StreamReply[] = []
    const isRemembered = new AbortController()
    const asking = this.options.listConnected().map(async (peer) => {
      const reply = await this.askPeer(peer, query)
      if (reply !== undefined) replies.push(reply)
      if (reply?.softwareVersion !== undefined) isRemembered.abort()
    })
    await Promise.race([Promise.all(asking), new Promise((resolve) => isRemembered.signal.addEventListener('abort', resolve, { once: true }))])
    return replies
  }

  private async askHolders (query: StreamQuery): Promise<StreamReply[]> {
    const replies: StreamReply[] = []
    for (const holder of this.rankHolders(query.requestId)) {
      if (replies.length >= this.holderCount || replies.some(({ softwareVersion }) => softwareVersion !== undefined)) break
      const reply = await this.askPeer(holder, query)
      if (reply !== undefined) replies.push(reply)
    }
    return replies
  }

  private async askPeer (peer: string, query: StreamQuery): Promise<StreamReply | undefined> {
    const reply = await this.options.callPeer<unknown>(peer, 'stream.find', query, CALL_TIMEOUT_MS)
    if (reply.ok && isStreamReply(reply.value)) return reply.value
    this.options.logger.info('could not ask a peer for the origin of a stream', { peer, resumes: query.requestId, error: reply.ok ? 'the reply is malformed' : describeError(reply.error) })
    return undefined
  }

  private get holderCount (): number {
    return this.options.isLargeFleet() ? LARGE_FLEET_HOLDERS : HOLDERS
  }

  /** Daemons that remember a stream, and spare ones, in order; the second is of another data centre than the first if there is one. */
  private rankHolders (requestId: string): string[] {
    const { self, listDaemons, listConnected, isLargeFleet } = this.options
    const group = parseInt(hashText(requestId).slice(0, GROUP_DIGITS), HEXADECIMAL) % HOLDER_GROUPS
    const zones = listDaemons()
    const candidates = isLargeFleet() ? [...zones.keys()].filter((daemon) => daemon !== self) : [...listConnected()]
    const ranked = candidates.map((daemon) => ({ daemon, rank: hashText(`${group} ${daemon}`) })).sort((a, b) => a.rank < b.rank ? -1 : 1).map(({ daemon }) => daemon)
    const [first] = ranked
    const otherZone = ranked.find((daemon) => zones.get(daemon) !== zones.get(first ?? ''))
    const ordered = otherZone === undefined ? ranked : [first!, otherZone, ...ranked.filter((daemon) => daemon !== first && daemon !== otherZone)]
    return ordered.slice(0, this.holderCount + SPARE_HOLDERS)
  }

  private shareRecentStreams (service: string): void {
    const sinceMs = this.options.clock.readMonotonicMs() - RECENT_STREAM_MS
    const recent = [...this.streams.values()].filter((stream) => stream.isOwn && stream.service === service && stream.atMs >= sinceMs)
    this.options.logger.info('several software versions serve', { service, versions: this.options.versions.listVersions(service), recentStreams: recent.length })
    this.scheduleSend(recent.map(({ requestId, softwareVersion }) => ({ requestId, service, softwareVersion })))
  }

  private scheduleSend (memories: readonly StreamMemory[]): void {
    this.pending.push(...memories)
    if (this.isSendScheduled || this.pending.length === 0) return
    this.isSendScheduled = true
    const { clock, tasks, logger, isLargeFleet } = this.options
    clock.waitFor(isLargeFleet() ? LARGE_FLEET_BATCH_DELAY_MS : BATCH_DELAY_MS, tasks.signal).then(async () => {
      this.isSendScheduled = false
      await this.sendPending()
    }).catch((error: unknown) => logger.error('could not have streams remembered', { error: describeError(error) }))
  }

  private async sendPending (): Promise<void> {
    const memories = this.pending
    this.pending = []
    const groups = new Map<string, { readonly holders: readonly string[], readonly memories: StreamMemory[] }>()
    for (const memory of memories) {
      const holders = this.rankHolders(memory.requestId)
      const group = groups.get(holders.join()) ?? { holders, memories: [] }
      groups.set(holders.join(), group)
      group.memories.push(memory)
    }
    await Promise.all([...groups.values()].map((group) => this.sendTo(group.holders, group.memories)))
  }

  /** Tells the first holders at once, and spare ones in place of those that don't reply. */
  private async sendTo (holders: readonly string[], memories: readonly StreamMemory[]): Promise<void> {
    const { holderCount } = this
    let remembered = 0
    let next = 0
    while (remembered < holderCount && next < holders.length) {
      const called = holders.slice(next, next + holderCount - remembered)
      next += called.length
      const replies = await Promise.all(called.map((holder) => this.sendMemories(holder, memories)))
      remembered += replies.filter(({ ok }) => ok).length
    }
    if (remembered < holderCount) this.options.logger.info('streams are remembered by fewer daemons than wanted', { streams: memories.length, remembered })
  }

  private async sendMemories (holder: string, memories: readonly StreamMemory[]): Promise<Outcome<boolean, string>> {
    this.sentMessages += 1
    this.sentBytes += JSON.stringify(memories).length
    return await this.options.callPeer<boolean>(holder, 'stream.remember', memories, CALL_TIMEOUT_MS)
  }
}

function makeKey ({ requestId, service }: StreamQuery): string {
  return `${service}\n${requestId}`
}

function isStreamMemory (value: unknown): value is StreamMemory {
  const { requestId, service, softwareVersion } = (value ?? {}) as Partial<Record<string, unknown>>
  return typeof requestId === 'string' && typeof service === 'string' && typeof softwareVersion === 'string'
}

function isStreamReply (value: unknown): value is StreamReply {
  const { isSynced, softwareVersion, versions } = (value ?? {}) as Partial<Record<string, unknown>>
  const isVersionValid = softwareVersion === undefined || typeof softwareVersion === 'string'
  return typeof isSynced === 'boolean' && isVersionValid && Array.isArray(versions) && versions.every((version) => typeof version === 'string')
}
