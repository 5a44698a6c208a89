/**
 * Keeps the configuration of one daemon up to date: notes which versions its peers have and which exist at all, fetches
 * what it lacks from one peer after the other, and reads the store when no peer delivers in time.
 */
import { gunzipSync } from 'node:zlib'
import { describeError, Refusal, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { applyConfigurationUpdate, type ConfigurationHolder, type ConfigurationUpdate, type FleetConfiguration, type Route } from 'figquay-fleet'
import { makeOutdatedRefusal } from './FigquayServingAccess.js'
import type { ConfigurationReply, ConfigurationRequest } from './FigquayServingConfigurationSource.js'
import { FALLBACK_JITTER_MS } from './FigquayServingStoreTiming.js'

/** Versions that a peer announces. */
export interface VersionAnnouncement {
  /** Version of the peer's active configuration. */
  readonly version: number
  /** Newest version that the peer knows to exist. */
  readonly newestVersion: number
}

/** Options of the sync. */
export interface ConfigurationSyncOptions {
  readonly self: string
  readonly clock: Clock
  readonly logger: Logger
  readonly tasks: TaskGroup
  readonly configurations: ConfigurationHolder
  readonly callPeer: <T>(peer: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
  /** Peers to which a connection is open. */
  readonly listConnected: () => readonly string[]
  /** Computes how long a daemon that is behind asks its peers before it reads the store, in milliseconds. */
  readonly computeFallbackMs: () => number
  /** Whether the store was read lately, by whichever daemon, as far as this one knows. */
  readonly isStoreReadRecent: () => boolean
  /** Reads the newest configuration from the store; undefined if it can't be read. */
  readonly readFromStore: (signal: AbortSignal) => Promise<FleetConfiguration | undefined>
}

/** Result of an attempt to fetch from a peer. */
type FetchResult = 'activated' | 'busy' | 'failed'

/** Timeout of one chunk, in milliseconds: several times what it takes on a slow link that other transfers share. */
const CHUNK_TIMEOUT_MS = 600
/** The same for the first chunk from a peer to which a connection has to be opened: connected ones may get the version meanwhile. */
const UNCONNECTED_TIMEOUT_MS = 300
/** A peer that gave no answer in time, or an invalid one, isn't asked again for this long, in milliseconds. */
const FAILED_PEER_BACKOFF_MS = 1_000
/** A peer that was busy, had nothing newer yet, wasn't connected or closed the connection isn't asked again for this long, in milliseconds: about one transfer. */
const BUSY_PEER_BACKOFF_MS = 150
/** Random addition to that time, in milliseconds, so that receivers don't return at once. */
const BUSY_PEER_JITTER_MS = 100
/** Delay before the peers are checked again when none can be asked, in milliseconds. */
const RETRY_DELAY_MS = 50
/**
 * A daemon that starts takes its configuration for the newest after this time, in milliseconds, though not all connected
 * peers have announced theirs: they do so every 200 ms.
 */
const CONFIRM_TIMEOUT_MS = 700
/** Largest compressed update that is accepted, in bytes. */
const MAX_ENCODED_BYTES = 8 * 2 ** 20
/** Largest update after decompression, in bytes. */
const MAX_UPDATE_BYTES = 128 * 2 ** 20

/** Fetches newer configurations for one daemon. */
export class ConfigurationSync {
  /** Peers with the active version or a newer one. */
  private readonly peerVersions = new Map<string, number>()
  private readonly retryAtMs = new Map<string, number>()
  private newest = { version: -1, sinceMs: 0 }
  /** Time at which this daemon learned that it is behind. */
  private behindSinceMs = 0
  /** Attempts to fetch from a peer that have failed since then. */
  private failedAttempts = 0
  private nextStoreReadAtMs = Number.POSITIVE_INFINITY
  private isFetching = false
  private isReadingStore = false
  /** Peers that have announced their versions since this daemon started; cleared once the configuration is confirmed. */
  private readonly announcedPeers = new Set<string>()
  private startedAtMs: number | undefined
  private isConfirmedNewest = false

  private constructor (private readonly options: ConfigurationSyncOptions) {
    options.configurations.registerListener((configuration) => this.dropOlderPeers(configuration.version))
  }

  /**
   * @example
   * const sync = ConfigurationSync.create(options)
   */
  static create (options: ConfigurationSyncOptions): ConfigurationSync {
    return new ConfigurationSync(options)
  }

  /** Newest version that is known to exist, active here or not. */
  get newestVersion (): number {
    return Math.max(this.newest.version, this.options.configurations.version)
  }

  /** Whether a version exists that is newer than the active one, or none is active. */
  get isBehind (): boolean {
    const { version } = this.options.configurations
    return version < 0 || this.newest.version > version
  }

  /** Time for which a newer configuration than the active one has been known, in milliseconds; 0 if none is, or none is active. */
  get behindForMs (): number {
    const isOutdated = this.isBehind && this.options.configurations.version >= 0
    return isOutdated ? Math.max(1, this.options.clock.readMonotonicMs() - this.behindSinceMs) : 0
  }

  /**
   * Whether the active configuration is the newest that is known, and was compared with those of the peers. While the store
   * has not been read for too long, a newer one may exist.
   */
  get isNewest (): boolean {
    return !this.isBehind && this.confirmVersion() && this.options.isStoreReadRecent()
  }

  /**
   * Confirms that the active configuration is the newest, once it was compared with those of the peers; true from then on. A
   * daemon that starts can't rely on the store alone, which may have been restored from an older copy.
   *
   * @example
   * const isReady = sync.confirmVersion()
   */
  confirmVersion (): boolean {
    if (!this.isConfirmedNewest && this.hasComparedVersions()) {
      this.isConfirmedNewest = true
      this.announcedPeers.clear()
    }
    return this.isConfirmedNewest
  }

  private hasComparedVersions (): boolean {
    const { clock, configurations, listConnected, logger } = this.options
    if (configurations.version < 0 || this.startedAtMs === undefined) return false
    const waitedMs = Math.round(clock.readMonotonicMs() - this.startedAtMs)
    const connected = listConnected()
    const hasHeardPeers = !this.isBehind && connected.length > 0 && connected.every((peer) => this.announcedPeers.has(peer))
    if (!hasHeardPeers && waitedMs < CONFIRM_TIMEOUT_MS) return false
    logger.info('configuration compared with the peers', { version: configurations.version, newest: this.newestVersion, heard: this.announcedPeers.size, connected: connected.length, waitedMs })
    return true
  }

  /** Starts to fetch a configuration while none is active. */
  start (): void {
    this.startedAtMs = this.options.clock.readMonotonicMs()
    this.ensureFetching()
  }

  /**
   * Finds the route of a request. If none matches, the request is refused: as not found, or to be retried while a newer
   * configuration is known to exist, since its route may have been added there.
   *
   * @example
   * sync.resolveRoute('desk.example', '/orders/17')
   */
  resolveRoute (host: string, path: string): Route | Refusal {
    const route = this.options.configurations.findRoute(host, path)
    if (route !== undefined) return route
    return this.isNewest ? Refusal.create('not_found', 'no route matches the host and path') : makeOutdatedRefusal()
  }

  /** Peers that are known to have a version. */
  listPeersWith (version: number): string[] {
    return [...this.peerVersions].filter(([, peerVersion]) => peerVersion >= version).map(([peer]) => peer)
  }

  /**
   * Notes what a peer announces, and fetches what this daemon lacks.
   *
   * @example
   * sync.noteAnnouncement('10.0.0.2:80', { version: 7, newestVersion: 8 })
   */
  noteAnnouncement (peer: string, { version, newestVersion }: VersionAnnouncement): void {
    const active = this.options.configurations.version
    if (!this.isConfirmedNewest) this.announcedPeers.add(peer)
    if (version >= active && version >= 0) this.peerVersions.set(peer, version)
    else this.peerVersions.delete(peer)
    // Daemons of an older release don't announce the newest version.
    const announced = Math.max(...[version, newestVersion].filter(Number.isInteger))
    if (announced > this.newestVersion) this.noteNewest(peer, announced)
    if (this.isBehind) this.ensureFetching()
  }

  /**
   * Activates a configuration that was read from the store.
   *
   * @example
   * sync.adoptFromStore(configuration)
   */
  adoptFromStore (configuration: FleetConfiguration): void {
    this.adopt(configuration, 'store', this.options.clock.readMonotonicMs())
  }

  private noteNewest (peer: string, version: number): void {
    const { clock, logger, configurations } = this.options
    const nowMs = clock.readMonotonicMs()
    if (!this.isBehind) {
      this.behindSinceMs = nowMs
      this.failedAttempts = 0
    }
    if (!this.isBehind) this.nextStoreReadAtMs = nowMs + this.options.computeFallbackMs() + FALLBACK_JITTER_MS * Math.random()
    this.newest = { version, sinceMs: nowMs }
    logger.info('newer configuration announced by a peer', { peer, version, active: configurations.version })
  }

  private dropOlderPeers (version: number): void {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const [peer, peerVersion] of this.peerVersions) if (peerVersion < version) this.peerVersions.delete(peer)
    for (const [peer, retryAtMs] of this.retryAtMs) if (retryAtMs <= nowMs) this.retryAtMs.delete(peer)
  }

  private ensureFetching (): void {
    if (this.isFetching) return
    this.isFetching = true
    this.options.tasks.startTask('configuration from peers', async (signal) => {
      try {
        while (this.isBehind && !signal.aborted) await this.fetchOnce(signal)
      } finally {
        this.isFetching = false
      }
    })
  }

  private async fetchOnce (signal: AbortSignal): Promise<void> {
    const { clock, configurations } = this.options
    const peer = this.choosePeer()
    const result = peer === undefined ? 'failed' : await this.fetchFromPeer(peer)
    if (result === 'activated') return
    // Without any configuration, the store's own tasks read it as soon as no peer has helped.
    if (this.isBehind && configurations.version >= 0 && clock.readMonotonicMs() >= this.nextStoreReadAtMs) {
      this.nextStoreReadAtMs = clock.readMonotonicMs() + this.options.computeFallbackMs()
      this.startStoreRead()
    }
    if (peer === undefined) await clock.waitFor(RETRY_DELAY_MS, signal)
  }

  /** Reads the store while peers are asked on: the connection to the store may be silent. */
  private startStoreRead (): void {
    if (this.isReadingStore) return
    this.isReadingStore = true
    this.options.tasks.startTask('configuration from the store', async (signal) => {
      try {
        const configuration = await this.options.readFromStore(signal)
        if (configuration !== undefined) this.adoptFromStore(configuration)
      } finally {
        this.isReadingStore = false
      }
    })
  }

  /**
   * A peer that has a newer version and can be asked now, a connected one if there is any. Once an attempt has failed, also
   * a connected peer that hasn't announced the version: it may have it by now.
   */
  private choosePeer (): string | undefined {
    const { clock, configurations, listConnected } = this.options
    const nowMs = clock.readMonotonicMs()
    const isAvailable = (peer: string): boolean => nowMs >= (this.retryAtMs.get(peer) ?? 0)
    const connected = listConnected()
    const sources = configurations.version < 0 ? [...connected] : this.listPeersWith(configurations.version + 1)
    const available = sources.filter(isAvailable)
    const preferred = available.filter((peer) => connected.includes(peer))
    const peer = pickRandom(preferred.length > 0 ? preferred : available)
    return peer ?? (this.failedAttempts > 0 ? pickRandom(connected.filter(isAvailable)) : undefined)
  }

  /** Fetches the changes chunk by chunk, and activates what they yield. */
  private async fetchFromPeer (peer: string): Promise<FetchResult> {
    const { clock, configurations } = this.options
    const startedAtMs = clock.readMonotonicMs()
    const baseVersion = configurations.version
    let version: number | undefined
    let chunks: Buffer[] = []
    let receivedBytes = 0
    while (true) {
      const reply = await this.requestChunk(peer, { from: this.options.self, baseVersion, version, offset: receivedBytes })
      if (configurations.version !== baseVersion) return 'activated'
      if (reply === undefined) return 'failed'
      if (reply.type !== 'chunk') return this.noteNoDelivery(peer, reply)
      if (version !== undefined && version !== reply.version) {
        chunks = []
        receivedBytes = 0
      }
      version = reply.version
      chunks.push(Buffer.from(reply.data, 'base64'))
      receivedBytes += chunks.at(-1)!.length
      if (reply.totalBytes > MAX_ENCODED_BYTES || chunks.at(-1)!.length === 0) return this.noteFailure(peer, 'the transfer has an invalid size', startedAtMs)
      if (receivedBytes >= reply.totalBytes) return this.adoptEncoded(peer, Buffer.concat(chunks), startedAtMs)
    }
  }

  private async requestChunk (peer: string, request: ConfigurationRequest): Promise<ConfigurationReply | undefined> {
    const startedAtMs = this.options.clock.readMonotonicMs()
    const isConnected = this.options.listConnected().includes(peer)
    const reply = await this.options.callPeer<ConfigurationReply>(peer, 'fleet.configuration', request, isConnected ? CHUNK_TIMEOUT_MS : UNCONNECTED_TIMEOUT_MS)
    if (reply.ok && isConfigurationReply(reply.value)) return reply.value
    const failedEarly = !reply.ok && this.options.clock.readMonotonicMs() - startedAtMs < CHUNK_TIMEOUT_MS
    this.noteFailure(peer, reply.ok ? 'the reply is malformed' : reply.error, startedAtMs, failedEarly ? this.chooseBusyBackoff() : FAILED_PEER_BACKOFF_MS)
    return undefined
  }

  private noteNoDelivery (peer: string, reply: Exclude<ConfigurationReply, { type: 'chunk' }>): 'busy' {
    this.retryAtMs.set(peer, this.options.clock.readMonotonicMs() + this.chooseBusyBackoff())
    if (reply.type === 'none') this.peerVersions.delete(peer)
    else for (const referred of reply.peers) if (referred !== this.options.self && !this.peerVersions.has(referred)) this.peerVersions.set(referred, reply.version)
    return 'busy'
  }

  private chooseBusyBackoff (): number {
    return BUSY_PEER_BACKOFF_MS + BUSY_PEER_JITTER_MS * Math.random()
  }

  private noteFailure (peer: string, error: string, startedAtMs: number, backoffMs = FAILED_PEER_BACKOFF_MS): 'failed' {
    const { clock, logger, configurations } = this.options
    const nowMs = clock.readMonotonicMs()
    this.retryAtMs.set(peer, nowMs + backoffMs)
    this.failedAttempts += 1
    logger.info('could not fetch the configuration from a peer', { peer, active: configurations.version, newest: this.newestVersion, error: describeError(error), tookMs: Math.round(nowMs - startedAtMs), backoffMs: Math.round(backoffMs), knownSources: this.peerVersions.size })
    return 'failed'
  }

  private adoptEncoded (peer: string, encoded: Buffer, startedAtMs: number): FetchResult {
    const { configurations } = this.options
    try {
      const update = JSON.parse(gunzipSync(encoded, { maxOutputLength: MAX_UPDATE_BYTES }).toString()) as ConfigurationUpdate
      const configuration = applyConfigurationUpdate(configurations.current, update)
      if (configuration === undefined) return this.noteFailure(peer, 'the changes don\'t apply to the active version', startedAtMs)
      this.adopt(configuration, 'peer', startedAtMs, { peer, bytes: encoded.length, isWhole: update.baseVersion === undefined })
      return 'activated'
    } catch (error) {
      return this.noteFailure(peer, describeError(error), startedAtMs)
    }
  }

  private adopt (configuration: FleetConfiguration, source: 'store' | 'peer', startedAtMs: number, details: Record<string, unknown> = {}): void {
    const { configurations, logger, clock } = this.options
    const { behindForMs, failedAttempts } = this
    if (!configurations.adoptConfiguration(configuration)) return
    const nowMs = clock.readMonotonicMs()
    const isAnnounced = this.newest.version === configuration.version
    logger.info('configuration in force', { version: configuration.version, source, routes: configuration.routes.length, customers: configuration.customers?.size, tookMs: Math.round(nowMs - startedAtMs), lagMs: isAnnounced ? Math.round(nowMs - this.newest.sinceMs) : undefined, behindForMs: Math.round(behindForMs), failedAttempts: behindForMs > 0 ? failedAttempts : undefined, ...details })
  }
}

function pickRandom<T> (items: readonly T[]): T | undefined {
  return items[Math.floor(Math.random() * items.length)]
}

function isConfigurationReply (value: unknown): value is ConfigurationReply {
  const reply = value as Partial<Record<string, unknown>> | null
  if (reply?.type === 'chunk') return Number.isInteger(reply.version) && Number.isInteger(reply.totalBytes) && typeof reply.data === 'string'
  if (reply?.type === 'busy') return Number.isInteger(reply.version) && Array.isArray(reply.peers) && reply.peers.every((peer) => typeof peer === 'string')
  return reply?.type === 'none'
}
