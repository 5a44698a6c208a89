/** Exchanges state with the other daemons: over a full mesh in a small fleet, along a tree in a large one. */
import { describeError, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { encodePosition, readOffset, RunnerUpdateBuffer, HintExchange, type EncodedPosition, type FleetFacts, isRunnerUpdate, type ConfigurationHolder, type Fact, type FleetDemand, type FleetHints, type FleetLeadership, type FleetRunnerTable, type Holdings, type HoldingsUpdate, isNeedMet, type ModelNeed, type RunnerUpdate } from 'figquay-fleet'
import { PeerMesh, type PeerAddress, type PeerMeshOptions } from 'figquay-peers'
import type { ConfigurationReply, ConfigurationRequest } from './FigquayServingConfigurationSource.js'
import type { VersionAnnouncement } from './FigquayServingConfigurationSync.js'
import type { ForwardingOffer } from './FigquayServingForwarder.js'
import { FactExchange, type FactsMessage } from './FigquayServingFactExchange.js'
import type { QuotaRequest } from 'figquay-routing'
import type { QuotaReply } from './FigquayServingQuotas.js'
import { RequestLimiter, type LimitEnd, type RequestPermitRequest } from './FigquayServingRequestLimiter.js'
import { FleetRelay, type RelayMessage } from './FigquayServingRelay.js'
import type { StreamMemory, StreamOrigins, StreamQuery } from './FigquayServingStreamOrigins.js'
import type { NewestStoreRead, StoreReadReport } from './FigquayServingNewestStoreRead.js'
import type { StalenessLimits } from './FigquayServingStalenessGuard.js'
import { SuspectIsolator, type PermitRequest } from './FigquayServingSuspectIsolator.js'
import { decodeProgress, type FleetSnapshot, type PeerProgress, type SnapshotRequest } from './FigquayServingSnapshot.js'
import { chooseStoreRole, type StoreAges, type StoreRole } from './FigquayServingStoreRole.js'
import type { ProcessorCores } from './FigquayServingTopology.js'
import { computeStoreTiming, type ChangeBounds, type FleetSpread, type StoreTiming } from './FigquayServingStoreTiming.js'

/** How far a daemon has read the store, as it tells a peer. */
type EncodedProgress = EncodedPosition & PeerProgress & VersionAnnouncement

/** Connections to the other daemons, as the exchange with peers needs them. */
export type ServingMesh = Pick<PeerMesh, 'connectedPeers' | 'isConnected' | 'callPeer' | 'notifyPeer' | 'notifyNeighbours' | 'setDaemons' | 'listen' | 'close'>

/** Options of the exchange with peers. */
export interface ServingPeersOptions {
  readonly self: PeerAddress
  readonly bootId: string
  readonly seeds: readonly string[]
  readonly secrets: readonly string[]
  readonly clock: Clock
  readonly logger: Logger
  readonly tasks: TaskGroup
  readonly table: FleetRunnerTable
  readonly demand: FleetDemand
  readonly configurations: ConfigurationHolder
  readonly leadership: FleetLeadership
  readonly listNeeds: () => readonly ModelNeed[]
  readonly noteAdapterUse: (runner: string, key: string) => void
  readonly facts: FleetFacts
  readonly makeSnapshot: (request: SnapshotRequest) => FleetSnapshot
  readonly serveConfiguration: (request: ConfigurationRequest) => ConfigurationReply
  /** Returns the newest version of the configuration that this daemon knows to exist. */
  readonly findNewestVersion: () => number
  /** Called with each read of the store that a peer reports, whether or not this daemon has what was read. */
  readonly noteStoreRead?: ((report: StoreReadReport, reportedAtMs: number) => void) | undefined
  /** Called with the versions of the configuration that a peer has sent with a snapshot. */
  readonly noteVersions: (peer: string, versions: VersionAnnouncement) => void
  readonly comparePeerProgress: (peer: string, progress: PeerProgress & VersionAnnouncement) => void
  /** Returns the earliest monotonic time, in milliseconds, at which what is read from sockets now may have arrived. */
  readonly estimateArrivalMs: () => number
  /** Returns the newest read of the store by this daemon, or by the source of its state. */
  readonly findOwnRead: () => NewestStoreRead
  /** Times within which changes must take effect. */
  readonly bounds: ChangeBounds
  /** Remembers which software version began streams, for other daemons. */
  readonly streamOrigins: () => Pick<StreamOrigins, 'handleRemember' | 'handleFind'>
  /** Returns the number of registered daemons that this one knows. */
  readonly countDaemons: () => number
  /** Returns whether this daemon serves requests for others now. */
  readonly makeForwardingOffer: () => ForwardingOffer
  /** Processor cores of this VM; unknown if undefined. */
  readonly processorCores?: number | undefined
  /** Handles a daemon's request for tokens of customers' quotas. */
  readonly takeQuota?: (request: QuotaRequest) => QuotaReply
  /** Schedules a placement run, as requests wait for a model or adapter. */
  readonly schedulePlanning: () => void
  /** Creates the connections to the other daemons; `PeerMesh` over TCP by default. */
  readonly createMesh?: (options: PeerMeshOptions) => ServingMesh
}

/**
 * Interval at which a daemon of a small fleet sends hints (load, demand, progress) to all others, in milliseconds: a fraction
 * of the time in which a runner's queue changes much.
 */
const HINT_INTERVAL_MS = 200
/** Time until all daemons of a small fleet have what one has read, in milliseconds: hints, then a call for what has changed. */
const MESH_SPREAD_MS = HINT_INTERVAL_MS + 100
/** Shortest interval between messages that announce new needs, in milliseconds. */
const MIN_NEED_INTERVAL_MS = 10
/** Largest fleet that uses a full mesh; beyond it, the messages would cost more than the requests. */
const MAX_FULL_MESH_DAEMONS = 16
/** Interval at which a daemon of a large fleet reports demand to the leader, in milliseconds: well within the time in which demand shifts. */
const REPORT_INTERVAL_MS = 400

/** Reports that a daemon may miss in a row before it counts as having no contact. */
const MISSED_REPORTS = 3
/** The same as a time, in milliseconds, where reports are frequent: the loss of a parent is noticed within it. */
const MIN_CONTACT_LIMIT_MS = 800

/** Timeout of a request to a peer to which a connection has to be opened first, in milliseconds: several times what that takes. */
const UNCONNECTED_TIMEOUT_MS = 300

/** Daemons that are remembered because they were heard, before the store names them: more than a fleet has. */
const MAX_HEARD_DAEMONS = 1_000
/** `ip:port`, which is a daemon's id. */
const DAEMON_ADDRESS = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/

/** Exchanges state between one daemon and its peers. */
export class ServingPeers {
  readonly hints: HintExchange
  readonly suspects: SuspectIsolator
  readonly requestLimiter: RequestLimiter
  private readonly factExchange: FactExchange
  private readonly mesh: ServingMesh
  private readonly relay: FleetRelay
  private readonly news: RunnerUpdateBuffer
  /** Updates that were sent to a daemon directly and have arrived, or may still arrive, by daemon. */
  private readonly directlySent = new Map<string, WeakSet<RunnerUpdate>>()
  private zoneByDaemon: ReadonlyMap<string, string> = new Map()
  /** Daemons that have sent messages before any record or peer named them, as the store may have lost their records. */
  private readonly heardDaemons = new Set<string>()
  private announcedDaemons: ReadonlyMap<string, string> = new Map()
  private announcedCores: ProcessorCores = new Map()
  private treeNeighbours: readonly string[] = []
  private lastLeader: string | undefined
  private hintsSentAtMs = Number.NEGATIVE_INFINITY
  private isHintScheduled = false
  private newsSerial = 0
  /** Time after which the last hints of a peer were sent. */
  private hintsHeardAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: ServingPeersOptions) {
    const { self, bootId, clock, logger, table, demand, configurations, listNeeds, noteAdapterUse, comparePeerProgress, findOwnRead, countDaemons, findNewestVersion, leadership, facts } = options
    this.news = RunnerUpdateBuffer.create(clock)
    const createMesh = options.createMesh ?? ((meshOptions: PeerMeshOptions) => PeerMesh.create(meshOptions))
    this.mesh = createMesh({ self, secrets: options.secrets, methods: this.makeRpcMethods(), clock, logger })
    this.hints = HintExchange.create({ self: self.id, clock, table, demand, leadership, configurations, listNeeds, recordAdapterUse: noteAdapterUse, countDaemons, findNewestVersion, processorCores: options.processorCores, readFactsState: () => facts.state, reportStoreRead: () => findOwnRead().report })
    const callPeer: ServingMesh['callPeer'] = (peer, method, params, timeoutMs) => this.mesh.callPeer(peer, method, params, timeoutMs)
    this.suspects = SuspectIsolator.create({ self: self.id, clock, callPeer, listConnected: () => this.mesh.connectedPeers, findLeader: () => leadership.leader?.daemon })
    this.requestLimiter = RequestLimiter.create({ self: self.id, clock, callPeer, notifyPeer: (peer, method, params) => this.mesh.notifyPeer(peer, method, params), findLeader: () => leadership.leader?.daemon })
    this.factExchange = FactExchange.create({ self: self.id, bootId, clock, logger, facts, callPeer, listConnected: () => this.mesh.connectedPeers })
    this.relay = FleetRelay.create({
      self: self.id,
      zone: self.zone,
      bootId,
      clock,
      logger,
      table,
      leadership,
      configurations,
      news: this.news,
      mesh: this.mesh,
      estimateArrivalMs: options.estimateArrivalMs,
      findOwnRead,
      noteStoreRead: options.noteStoreRead,
      computeTiming: () => this.timing,
      countDaemons,
      findNewestVersion,
      readFacts: () => facts.state,
      reconcileFacts: (peer, state) => this.factExchange.reconcilePeer(peer, state),
      applyUpdate: (item) => this.applyUpdate(item),
      comparePeerProgress,
      setNeighbours: (neighbours) => {
        this.treeNeighbours = neighbours
        this.updateConnections()
      }
    })
  }

  /**
   * @example
   * const peers = ServingPeers.create(options)
   */
  static create (options: ServingPeersOptions): ServingPeers {
    return new ServingPeers(options)
  }

  /** Daemons that are connected and can be called. */
  get connectedPeers (): readonly string[] {
    return this.mesh.connectedPeers
  }

  /** Data centre of each known daemon, this one and the seeds included, by address. */
  get daemonZones (): ReadonlyMap<string, string> {
    return this.zoneByDaemon
  }

  /** Number of known daemons, this one and the seeds included. */
  get daemonCount (): number {
    return this.zoneByDaemon.size
  }

  /** Whether the fleet is too large for a full mesh and uses the tree. */
  get isLargeFleet (): boolean {
    return this.zoneByDaemon.size > MAX_FULL_MESH_DAEMONS
  }

  /** How long ago the store was last read, as far as this daemon knows and has what was read. */
  get storeAges (): StoreAges {
    return this.relay.storeAges
  }

  /** Names the newest read of the store that this daemon knows of. */
  get newestStoreRead (): string | undefined {
    return this.relay.newestRead.report.storeRead
  }

  /** Monotonic time at which this daemon last heard from a peer that tells it of news, in milliseconds. */
  get contactAtMs (): number {
    return Math.max(this.relay.contactAtMs, this.hintsHeardAtMs)
  }

  /** Limits on the age of what this daemon acts on. */
  get stalenessLimits (): StalenessLimits {
    const { reportIntervalMs } = this.spread
    return { maxStateAgeMs: this.timing.maxAgeMs, maxContactAgeMs: Math.max(MIN_CONTACT_LIMIT_MS, MISSED_REPORTS * reportIntervalMs) }
  }

  /** Time limits of this daemon's reads of the store. */
  get timing (): StoreTiming {
    return computeStoreTiming(this.options.bounds, this.spread)
  }

  /** How fast the daemons tell each other what they have read. */
  private get spread (): FleetSpread {
    return this.isLargeFleet ? this.relay.spread : { spreadMs: MESH_SPREAD_MS, reportIntervalMs: HINT_INTERVAL_MS }
  }

  /**
   * How this daemon follows the store. A daemon that knows too few others takes a large fleet for a small one and waits for
   * hints that nobody sends; it stops being a listener once the last read that it knows of is too old.
   */
  get storeRole (): StoreRole {
    if (this.isLargeFleet) return this.relay.storeRole
    return chooseStoreRole(this.options.self.id, this.connectedPeers, this.relay.storeAges, this.timing)
  }

  /**
   * Listens for peers and starts the exchange with them.
   *
   * @example
   * await peers.start()
   */
  async start (): Promise<void> {
    const [host, port] = this.options.self.address.split(':') as [string, string]
    await this.mesh.listen(host, Number(port))
    this.setDaemons(new Map())
    this.options.tasks.startTask('hints', (signal) => this.runHintLoop(signal))
    this.relay.startExchanges(this.options.tasks, () => this.isLargeFleet)
  }

  /** Closes all connections. */
  close (): void {
    this.mesh.close()
  }

  /**
   * Replaces the known daemons.
   *
   * @param daemons Data centre by daemon address.
   * @param cores Processor cores by daemon address.
   * @example
   * peers.setDaemons(new Map([['10.0.0.1:80', 'a']]), new Map([['10.0.0.1:80', 1.35]]))
   */
  setDaemons (daemons: ReadonlyMap<string, string>, cores: ProcessorCores = new Map()): void {
    const { self, seeds, processorCores } = this.options
    this.announcedDaemons = daemons
    this.announcedCores = cores
    const withoutZone = [...seeds, ...this.heardDaemons].map((daemon): [string, string] => [daemon, self.zone])
    this.zoneByDaemon = new Map([...withoutZone, ...daemons, [self.id, self.zone]])
    // The data centre of a seed, or of a daemon that was only heard, is unknown until its record is read, so it isn't ranked until then.
    this.relay.setDaemons(new Map([...daemons, [self.id, self.zone]]), processorCores === undefined ? cores : new Map([...cores, [self.id, processorCores]]))
    this.updateConnections()
  }

  /** Makes a daemon that sends messages one that can be called, if it wasn't known: it knows the others. */
  private noteSender (daemon: string): void {
    if (this.zoneByDaemon.has(daemon) || this.heardDaemons.size >= MAX_HEARD_DAEMONS || !DAEMON_ADDRESS.test(daemon)) return
    this.heardDaemons.add(daemon)
    this.options.logger.info('heard from a daemon that neither the store nor a peer has named', { daemon })
    this.setDaemons(this.announcedDaemons, this.announcedCores)
  }

  /** Calls a method of a peer, to which a connection is opened if there is none. */
  callPeer <T>(peer: string, method: string, params: unknown, timeoutMs: number): Promise<Outcome<T, string>> {
    return this.mesh.callPeer<T>(peer, method, params, timeoutMs)
  }

  /** Requests what is newer than this daemon's copy from the preferred peer, or from a random one if none is given. */
  async requestSnapshot (request: SnapshotRequest, preferredPeer: string | undefined): Promise<FleetSnapshot | undefined> {
    const peers = this.mesh.connectedPeers
    const peer = preferredPeer ?? peers[Math.floor(Math.random() * peers.length)]
    if (peer === undefined) return undefined
    const { clock, logger } = this.options
    const startedAtMs = clock.readMonotonicMs()
    // While a connection is opened, nothing is requested from other peers.
    const snapshot = await this.mesh.callPeer<FleetSnapshot>(peer, 'fleet.read', request, peers.includes(peer) ? undefined : UNCONNECTED_TIMEOUT_MS)
    if (snapshot.ok) {
      const { configurationVersions } = snapshot.value
      // The snapshot says how recently its sender has read the store: what it found there counts, too.
      if (configurationVersions !== undefined) this.options.noteVersions(peer, configurationVersions)
      return snapshot.value
    }
    logger.info('snapshot request to a peer failed', { peer, ...request, error: describeError(snapshot.error), tookMs: Math.round(clock.readMonotonicMs() - startedAtMs) })
    return undefined
  }

  /** Sends new needs without waiting for the next hints or report. */
  announceNeeds (): void {
    if (this.isHintScheduled) return
    const { clock, tasks, schedulePlanning } = this.options
    this.isHintScheduled = true
    const elapsedMs = clock.readMonotonicMs() - this.hintsSentAtMs
    clock.waitFor(Math.max(0, MIN_NEED_INTERVAL_MS - elapsedMs), tasks.signal).then(() => {
      this.isHintScheduled = false
      this.sendHints()
      schedulePlanning()
    })
  }

  /** Announces what a runner holds: to daemons with requests that wait for it at once, to the others along the tree. */
  announceHoldings (runner: string, bornMs: number, holdings: Holdings): void {
    const item: HoldingsUpdate = { type: 'holdings', runner, bornMs, holdings, fence: this.options.leadership.fencingToken ?? 0, serial: ++this.newsSerial }
    if (!this.isLargeFleet) {
      this.mesh.notifyNeighbours('fleet.news', [item])
      return
    }
    this.news.addUpdate(item)
    for (const daemon of this.options.demand.listWaitingDaemons(holdings)) this.sendUpdatesTo(daemon, [item])
  }

  /** Announces that a runner is leaving; the list of runners may show it later, or never to a peer that can't read the list. */
  announceLeaving (runner: string, bornMs: number): void {
    this.announceUpdates([{ type: 'leaving', runner, bornMs }])
    this.publishFact({ type: 'leaving', id: `leaving/${runner}/${bornMs}`, runner, bornMs, atMs: this.options.clock.now().getTime() })
  }

  /** Announces that a brittle runner has declined a request, so that no daemon sends it more than it has room for. */
  announceBackoff (runner: string, bornMs: number, durationMs: number): void {
    this.announceUpdates([{ type: 'backoff', runner, bornMs, durationMs, atMs: this.options.clock.now().getTime() }])
  }

  /** Publishes a fact (crash, acquittal, leaving), which reaches every daemon and stays valid until it expires. */
  publishFact (fact: Fact): void {
    this.factExchange.publishFact(fact)
  }

  private announceUpdates (items: readonly RunnerUpdate[]): void {
    if (this.isLargeFleet) for (const item of items) this.news.addUpdate(item)
    else this.mesh.notifyNeighbours('fleet.news', items)
  }

  private makeRpcMethods () {
    return {
      'fleet.hints': (hints: FleetHints) => {
        this.noteSender(hints.from)
        this.hints.applyHints(hints)
        this.correctDaemonCount(hints)
        this.hintsHeardAtMs = this.options.estimateArrivalMs()
        this.relay.recordStoreRead(hints, this.hintsHeardAtMs)
        this.options.comparePeerProgress(hints.from, { ...hints, ...decodeProgress(hints) })
        this.factExchange.reconcilePeer(hints.from, hints.facts)
        if (hints.needs.length > 0) this.options.schedulePlanning()
      },
      'fleet.reading': ({ from, reading }: { readonly from: string, readonly reading: EncodedProgress }) => this.options.comparePeerProgress(from, { ...reading, ...decodeProgress(reading) }),
      'fleet.report': (hints: FleetHints) => this.handleReport(hints),
      'fleet.exchange': (message: RelayMessage) => {
        this.noteSender(message.from)
        return this.relay.handleExchange(message)
      },
      'fleet.news': (items: readonly unknown[]) => {
        for (const item of items.filter(isRunnerUpdate)) if (this.news.addUpdate(item)) this.applyUpdate(item)
      },
      'fleet.facts': (message: FactsMessage) => this.factExchange.handleExchange(message),
      'suspect.take': (request: PermitRequest) => this.suspects.handleAcquire(request),
      'limit.take': (request: RequestPermitRequest) => this.requestLimiter.handleAcquire(request),
      'quota.take': (request: QuotaRequest) => this.options.takeQuota?.(request) ?? { type: 'unavailable' },
      'leader.invite': ({ fence }: { readonly fence: number }) => this.options.leadership.handleInvitation(fence),
      'limit.end': (end: LimitEnd) => this.requestLimiter.handleEnd(end),
      'suspect.return': (request: PermitRequest) => this.suspects.handleRelease(request),
      'stream.remember': (memories: readonly StreamMemory[]) => this.options.streamOrigins().handleRemember(memories),
      'stream.find': (query: StreamQuery) => this.options.streamOrigins().handleFind(query),
      'forwarding.offer': () => this.options.makeForwardingOffer(),
      'fleet.read': (request: SnapshotRequest): FleetSnapshot => ({ ...this.options.makeSnapshot(request), configurationVersions: { version: this.options.configurations.version, newestVersion: this.options.findNewestVersion() } }),
      'fleet.configuration': (request: ConfigurationRequest) => this.options.serveConfiguration(request)
    }
  }

  /** Sends this daemon's progress to a peer that takes a large fleet for a small one, as it would not learn of the others otherwise. */
  private correctDaemonCount ({ from, daemonCount }: FleetHints): void {
    const { self, configurations, table, countDaemons, findNewestVersion, logger } = this.options
    if (!this.isLargeFleet || daemonCount >= countDaemons()) return
    const progress: EncodedProgress = { version: configurations.version, newestVersion: findNewestVersion(), ...encodePosition(table.position), changedAt: readOffset(table.lastChangePosition), daemonCount: countDaemons() }
    this.mesh.callPeer(from, 'fleet.reading', { from: self.id, reading: progress }).then((outcome) => {
      if (!outcome.ok) logger.debug('could not send the daemon count to a peer; retrying at its next hints', { peer: from, error: outcome.error })
    })
  }

  private applyUpdate (item: RunnerUpdate): void {
    if (item.type === 'backoff') this.options.table.noteBackoff(item.runner, item.bornMs, item.durationMs)
    else if (item.type === 'holdings') this.options.table.putHoldings(item.runner, item.bornMs, item.holdings)
    else this.options.table.markLeaving(item.runner, item.bornMs)
  }

  private handleReport (hints: FleetHints): void {
    this.hints.applyReport(hints)
    if (hints.needs.length === 0) return
    // A model that the daemon waits for may be loaded already, if the runner update hasn't reached it yet.
    const items = this.news.listAfter(0).filter((item) => item.type === 'holdings' && hints.needs.some((need) => isNeedMet(item.holdings, need)) && this.directlySent.get(hints.from)?.has(item) !== true)
    if (items.length > 0) this.sendUpdatesTo(hints.from, items)
    this.options.schedulePlanning()
  }

  private sendUpdatesTo (daemon: string, items: readonly RunnerUpdate[]): void {
    const sent = this.directlySent.get(daemon) ?? new WeakSet()
    this.directlySent.set(daemon, sent)
    for (const item of items) sent.add(item)
    this.mesh.callPeer(daemon, 'fleet.news', items).then((outcome) => {
      if (outcome.ok) return
      for (const item of items) sent.delete(item)
      this.options.logger.debug('could not send news directly; it is still sent along the tree', { daemon, error: outcome.error })
    })
  }

  private async runHintLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sendHints()
      await this.options.clock.waitFor(this.isLargeFleet ? REPORT_INTERVAL_MS : HINT_INTERVAL_MS, signal)
    }
  }

  private sendHints (): void {
    this.hintsSentAtMs = this.options.clock.readMonotonicMs()
    if (!this.isLargeFleet) {
      this.mesh.notifyNeighbours('fleet.hints', this.hints.makeHints())
      return
    }
    const leader = this.options.leadership.leader
    if (leader?.daemon !== this.lastLeader) {
      this.lastLeader = leader?.daemon
      this.updateConnections()
    }
    if (leader === undefined || leader.daemon === this.options.self.id) this.hints.updateOwnNeeds()
    else if (this.mesh.isConnected(leader.daemon)) this.mesh.notifyPeer(leader.daemon, 'fleet.report', this.hints.makeReport(leader.fence))
  }

  private updateConnections (): void {
    const { self, tasks } = this.options
    const knownPeers = [...this.zoneByDaemon].filter(([id]) => id !== self.id).map(([id, zone]) => ({ id, zone, address: id }))
    const wantedIds = new Set([...this.treeNeighbours, ...this.lastLeader === undefined ? [] : [this.lastLeader]])
    this.mesh.setDaemons(knownPeers, tasks, this.isLargeFleet ? knownPeers.filter((peer) => wantedIds.has(peer.id)) : knownPeers)
  }
}
