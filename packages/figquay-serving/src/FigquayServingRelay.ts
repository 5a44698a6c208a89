/** Exchanges fleet state along the tree: up to the root of each data centre, between the roots, and down again. */
import { describeError, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { decodePosition, encodePosition, formatLoads, readEra, readOffset, isRunnerUpdate, parseLoads, type ConfigurationHolder, type FactsState, type FleetLeadership, type RunnerUpdateBuffer, type FleetRunnerTable, type Leader, type LoadRow, type RunnerUpdate, type SpeedRow } from 'figquay-fleet'
import type { VersionAnnouncement } from './FigquayServingConfigurationSync.js'
import { isReadBy, NewestStoreRead, type StoreReadReport } from './FigquayServingNewestStoreRead.js'
import { decodeProgress, type PeerProgress } from './FigquayServingSnapshot.js'
import { findTurn, isOnlyKnownReader, type StoreAges, type StoreRole } from './FigquayServingStoreRole.js'
import type { FleetSpread, StoreTiming } from './FigquayServingStoreTiming.js'
import { computeSearchDepth, rankDaemons, CANDIDATES_PER_ZONE, rankZones, selectTreeRole, type ProcessorCores, type TreeRole, type RankedDaemons } from './FigquayServingTopology.js'

/** Request and response of one exchange between two daemons; its read of the store is the sender's or one that its peers have reported. */
export interface RelayMessage extends StoreReadReport {
  readonly from: string
  readonly zone: string
  /** Identifies the sender's process; revisions restart with each process. */
  readonly bootId: string
  /** Leader that the sender knows. */
  readonly holder: Leader | undefined
  /** Version of the sender's active configuration. */
  readonly version: number
  /** Newest version of the configuration that the sender knows to exist. */
  readonly newestVersion: number
  /** Era of the offsets below; missing from a daemon that knows no eras. */
  readonly era?: number
  /** Offset up to which the sender has read the list of runners. */
  readonly position: number
  /** Offset of the last change in that list, heartbeats excluded. */
  readonly changedAt: number
  /** Number of daemons that the sender knows. */
  readonly daemonCount: number
  readonly facts: FactsState
  readonly loads: readonly LoadRow[]
  /** Speeds of runners that have changed since the last message; missing if there are none. */
  readonly speeds?: readonly SpeedRow[] | undefined
  readonly news: readonly RunnerUpdate[]
  /** Revision of the sender's runner updates up to which the receiver is up to date after this message. */
  readonly revision: number
  /** Acknowledgement: newest revision of the receiver's runner updates that the sender has, and the receiver's process that it belongs to. */
  readonly heard: { readonly bootId: string, readonly revision: number } | undefined
}

/** Connections to peers, as a relay needs them. */
export interface RelayMesh {
  isConnected: (daemon: string) => boolean
  callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
}

/** Options of a relay. */
export interface FleetRelayOptions {
  readonly self: string
  readonly zone: string
  readonly bootId: string
  readonly clock: Clock
  readonly logger: Logger
  readonly table: FleetRunnerTable
  readonly leadership: FleetLeadership
  readonly configurations: ConfigurationHolder
  readonly news: RunnerUpdateBuffer
  readonly mesh: RelayMesh
  /** Returns the earliest monotonic time, in milliseconds, at which what is read from sockets now may have arrived. */
  readonly estimateArrivalMs: () => number
  /** Returns the newest read of the store by this daemon, or by the source of its state. */
  readonly findOwnRead: () => NewestStoreRead
  /** Called with each read of another daemon that is reported, whether or not this one has what was read. */
  readonly noteStoreRead?: (report: StoreReadReport, reportedAtMs: number) => void
  /** Computes the time limits of this daemon's reads of the store. */
  readonly computeTiming: () => StoreTiming
  /** Returns the number of registered daemons that this one knows. */
  readonly countDaemons: () => number
  /** Returns revision and digest of this daemon's facts. */
  readonly readFacts: () => FactsState
  /** Exchanges facts with a peer whose digest differs from this daemon's. */
  readonly reconcileFacts: (peer: string, state: FactsState) => void
  /** Applies an item that this daemon did not have. */
  readonly applyUpdate: (item: RunnerUpdate) => void
  /** Compares how far a peer has read the store with this daemon. */
  readonly comparePeerProgress: (peer: string, progress: PeerProgress & VersionAnnouncement) => void
  /** Returns the newest version of the configuration that this daemon knows to exist. */
  readonly findNewestVersion: () => number
  /** Called with the new neighbours when they change. */
  readonly setNeighbours: (daemons: readonly string[]) => void
}

/** Interval between two exchanges with the parent, in milliseconds: a fraction of the time in which a runner's queue changes much. */
const EXCHANGE_INTERVAL_MS = 200
/** In larger fleets the interval grows in proportion, so that the load on each daemon stays the same. */
const MAX_FULL_RATE_DAEMONS = 150
/** Timeout of an exchange, in milliseconds: two intervals. */
const EXCHANGE_TIMEOUT_MS = 400
/** After a failed exchange, the peer isn't selected again for this long, in milliseconds; twice as long after each further failure. */
const FAILED_PEER_BACKOFF_MS = 1_000
/** The longest such time, in milliseconds. */
const MAX_FAILED_PEER_BACKOFF_MS = 8_000
/** Runner updates in one message: several times those of an interval, and less than the slowest links of the users' VMs carry in a tenth of a second. */
const MAX_UPDATES = 24
/** The search depth is recomputed at this interval, in milliseconds: longer than connecting takes. */
const SEARCH_DEPTH_INTERVAL_MS = 500
/** Ranks between the daemons of two data centres that have the same turn: the loss of a few of the first ranks everywhere doesn't lose a whole turn. */
const TURN_RANK_STEP = 5
/** Shortest time without an exchange with its parent after which a daemon no longer relies on being told, in milliseconds. */
const MIN_PARENT_SILENCE_MS = 1_000

/** A daemon with children exchanges with its parent this much more often, so that a level more doesn't double the time down. */
const MIDDLE_RATE_FACTOR = 2
/** Intervals that a change takes to every daemon: between the roots, down to the daemons with children, and down to these. */
const SPREAD_INTERVALS = 1 + 1 / MIDDLE_RATE_FACTOR + 1
/** Time until a daemon that has heard of a change has fetched it, in milliseconds. */
const FETCH_MS = 150

/** Exchanges of one daemon with its parent in the tree or, as a root, with the other roots. */
export class FleetRelay {
  private ranked: RankedDaemons = new Map()
  private treeRole: TreeRole = { neighbours: [], parent: undefined, isDeputy: false, hasChildren: false, otherRoots: [], isPrimaryRoot: true }
  private searchDepth = CANDIDATES_PER_ZONE
  /** Search depth of the interval before: there has been time to connect to these daemons. */
  private triedDepth = CANDIDATES_PER_ZONE
  private searchDepthAtMs = Number.NEGATIVE_INFINITY
  private daemonCount = 1
  private parentHeardAtMs = Number.NEGATIVE_INFINITY
  /** Time at which the last exchange that succeeded began. */
  private lastContactAtMs = Number.NEGATIVE_INFINITY
  /** Newest read of the store by another daemon, as reported by peers. */
  private readonly reportedRead: NewestStoreRead
  private readonly retryAtMs = new Map<string, number>()
  /** Exchanges in a row that have failed, by peer. */
  private readonly failures = new Map<string, number>()
  /** By peer: its process and the newest revision received from it. */
  private readonly receivedRevisions = new Map<string, { readonly bootId: string, readonly revision: number }>()
  /** By peer: newest revision of this daemon's runner updates that the peer has. */
  private readonly ackedRevisions = new Map<string, number>()

  private constructor (private readonly options: FleetRelayOptions) {
    this.reportedRead = NewestStoreRead.create(options.clock)
  }

  /**
   * @example
   * const relay = FleetRelay.create(options)
   */
  static create (options: FleetRelayOptions): FleetRelay {
    return new FleetRelay(options)
  }

  /**
   * How this daemon follows the store: the primary root is a reader, the roots of the other data centres are lookers and all
   * others are listeners. Lookers and the deputy of the root in the first data centre become readers when they no longer hear
   * of another daemon's reads; after them, the other daemons of each data centre take turns. Only a daemon that nobody can tell of a read, as it
   * hears of no parent, reads regardless of its turn.
   */
  get storeRole (): StoreRole {
    const { treeRole, storeAges } = this
    const timing = this.options.computeTiming()
    const { reportedAgeMs, storeAgeMs } = storeAges
    const isUnheard = reportedAgeMs > timing.lookerAgeMs
    if (treeRole.parent === undefined && !this.hasUntried) return treeRole.isPrimaryRoot || isUnheard ? 'reader' : 'looker'
    const ranking = this.ranked.get(this.options.zone) ?? []
    const zoneRank = rankZones(this.ranked).indexOf(this.options.zone)
    if (isUnheard && ((treeRole.isDeputy && !this.hasUntried && zoneRank === 0) || isOnlyKnownReader(storeAges, timing))) return 'reader'
    if (storeAgeMs > timing.maxAgeMs && this.isParentSilent(timing)) return 'reader'
    const turn = findTurn(storeAgeMs, ranking.length, timing)
    // Turn 0 is that of the daemons that stand by: in the first data centre the root and its deputy.
    return turn > 0 && ranking[(turn + 1 + zoneRank * TURN_RANK_STEP) % ranking.length] === this.options.self ? 'reader' : 'listener'
  }

  /** Whether there are daemons above this one that it hasn't tried to reach, so that it can't tell how many of them it reaches. */
  private get hasUntried (): boolean {
    const ranking = this.ranked.get(this.options.zone) ?? []
    return ranking.indexOf(this.options.self) > this.triedDepth
  }

  private isParentSilent ({ maxAgeMs }: StoreTiming): boolean {
    const silenceMs = this.options.clock.readMonotonicMs() - this.parentHeardAtMs
    return silenceMs > Math.min(maxAgeMs, Math.max(MIN_PARENT_SILENCE_MS, 2 * this.intervalMs + EXCHANGE_TIMEOUT_MS))
  }

  /** How long ago the store was last read, as far as this daemon knows. */
  get storeAges (): StoreAges {
    const reportedAgeMs = this.reportedRead.ageMs
    const ownRead = this.options.findOwnRead()
    return { reportedAgeMs, storeAgeMs: Math.min(ownRead.ageMs, reportedAgeMs), ownAgeMs: ownRead.isBy(this.options.bootId) ? ownRead.ageMs : Number.POSITIVE_INFINITY }
  }

  /** Newest read of the store that this daemon knows of, by whichever daemon. */
  get newestRead (): NewestStoreRead {
    return NewestStoreRead.selectNewer(this.options.findOwnRead(), this.reportedRead)
  }

  /** Monotonic time at which this daemon last asked its parent, or another root, and was answered, in milliseconds. */
  get contactAtMs (): number {
    return this.lastContactAtMs
  }

  /** How fast the daemons tell each other what they have read. */
  get spread (): FleetSpread {
    return { spreadMs: SPREAD_INTERVALS * this.intervalMs + FETCH_MS, reportIntervalMs: this.intervalMs }
  }

  private get ownIntervalMs (): number {
    const { parent, hasChildren } = this.treeRole
    return parent !== undefined && hasChildren ? this.intervalMs / MIDDLE_RATE_FACTOR : this.intervalMs
  }

  private get intervalMs (): number {
    return EXCHANGE_INTERVAL_MS * Math.max(1, this.daemonCount / MAX_FULL_RATE_DAEMONS)
  }

  /**
   * Records a read that a peer has reported. It says nothing of this daemon's copy while that lacks what the peer has: then
   * the age grows until the copy is complete, or this daemon reads the store itself. A read of this daemon that comes back
   * from its peers isn't one of another daemon.
   *
   * @param reportedAtMs Monotonic time after which the report was made, in milliseconds.
   */
  recordStoreRead ({ era, position, changedAt, ...report }: StoreReadReport & Pick<RelayMessage, 'era' | 'position' | 'changedAt'>, reportedAtMs: number): void {
    const { table, bootId } = this.options
    if (isReadBy(report.storeRead, bootId)) return
    this.options.noteStoreRead?.(report, reportedAtMs)
    const isOfOlderEra = readEra(decodePosition({ era, position })) < readEra(table.position)
    if (isOfOlderEra || decodePosition({ era, position: changedAt }) > table.position) return
    this.reportedRead.noteReport(report, reportedAtMs)
  }

  /**
   * Replaces the known daemons.
   *
   * @param zones Data centre by daemon address.
   * @param cores Processor cores by daemon address.
   * @example
   * relay.setDaemons(new Map([['10.0.0.1:80', 'a']]), new Map([['10.0.0.1:80', 1.35]]))
   */
  setDaemons (zones: ReadonlyMap<string, string>, cores?: ProcessorCores): void {
    this.ranked = rankDaemons(zones, cores)
    this.daemonCount = zones.size
    this.searchDepthAtMs = Number.NEGATIVE_INFINITY
  }

  /**
   * Starts the exchange loop, which runs while `isEnabled` returns true. A malformed response fails one exchange and doesn't
   * end the loop.
   *
   * @example
   * relay.startExchanges(tasks, () => daemons.size > 16)
   */
  startExchanges (tasks: TaskGroup, isEnabled: () => boolean): void {
    tasks.startLoop('exchanges', 0, async (signal) => {
      const { clock } = this.options
      const startedAtMs = clock.readMonotonicMs()
      try {
        if (isEnabled()) await this.exchangeOnce()
      } finally {
        await clock.waitFor(Math.max(1, startedAtMs + this.ownIntervalMs - clock.readMonotonicMs()), signal)
      }
    })
  }

  /**
   * Runs one exchange with the parent or, as a root, with the other roots.
   *
   * @example
   * await relay.exchangeOnce()
   */
  async exchangeOnce (): Promise<void> {
    this.updateTreeRole()
    const { parent, otherRoots } = this.treeRole
    if (parent !== undefined) await this.exchangeWith(parent)
    else await Promise.all(otherRoots.map((root) => this.exchangeWith(root)))
  }

  private updateTreeRole (): void {
    const { self, zone, clock, setNeighbours, mesh } = this.options
    const nowMs = clock.readMonotonicMs()
    const isAvailable = (daemon: string): boolean => mesh.isConnected(daemon) && nowMs >= (this.retryAtMs.get(daemon) ?? 0)
    if (nowMs - this.searchDepthAtMs >= SEARCH_DEPTH_INTERVAL_MS) {
      this.triedDepth = this.searchDepth
      // A daemon whose exchanges with all above it have failed tries others before their connections count as silent.
      const isCutOff = this.treeRole.parent === undefined && this.ranked.get(zone)?.some((daemon) => mesh.isConnected(daemon))
      this.searchDepth = computeSearchDepth(self, zone, this.ranked, this.searchDepth, isCutOff ? isAvailable : (daemon) => mesh.isConnected(daemon))
      this.searchDepthAtMs = nowMs
    }
    const previous = this.treeRole
    this.treeRole = selectTreeRole(self, zone, this.ranked, this.searchDepth, isAvailable)
    if (previous.neighbours.join() !== this.treeRole.neighbours.join()) setNeighbours(this.treeRole.neighbours)
    if (previous.parent !== this.treeRole.parent) this.options.logger.debug('parent in the tree changed', { uplink: this.treeRole.parent, heads: this.treeRole.otherRoots })
  }

  private async exchangeWith (peer: string): Promise<void> {
    const { mesh, clock, logger } = this.options
    const requestedAtMs = clock.readMonotonicMs()
    const message = { ...this.makeMessage(peer, this.listSubtreeLoads()), speeds: this.takeSubtreeSpeeds(peer) }
    const response = await mesh.callPeer<RelayMessage>(peer, 'fleet.exchange', message, EXCHANGE_TIMEOUT_MS)
    if (!response.ok) {
      logger.debug('peer exchange failed', { peer, error: describeError(response.error) })
      this.noteFailedExchange(peer)
      return
    }
    this.failures.delete(peer)
    const { value } = response
    const isParent = value.zone === this.options.zone
    const branch = isParent ? 'above' : `zone ${value.zone}`
    this.options.table.putPeerLoads(branch, parseLoads(value.loads))
    this.options.table.putPeerSpeeds(branch, value.speeds)
    if (isParent) this.parentHeardAtMs = clock.readMonotonicMs()
    this.lastContactAtMs = requestedAtMs
    this.recordAck(value, message.revision, requestedAtMs)
    // The child reconciles facts, as a parent has many children and no connection to them.
    this.options.reconcileFacts(peer, value.facts)
  }

  /** A peer that can't keep up with all that ask it is asked ever more rarely, so that it can with some. */
  private noteFailedExchange (peer: string): void {
    const failures = this.failures.get(peer) ?? 0
    this.failures.set(peer, failures + 1)
    this.retryAtMs.set(peer, this.options.clock.readMonotonicMs() + Math.min(MAX_FAILED_PEER_BACKOFF_MS, FAILED_PEER_BACKOFF_MS * 2 ** failures))
  }

  /** News that came with the response isn't sent back; a peer that has restarted gets everything again. */
  private recordAck (response: RelayMessage, sentRevision: number, requestedAtMs: number): void {
    const { news } = this.options
    const previous = this.receivedRevisions.get(response.from)
    const hasRestarted = previous !== undefined && previous.bootId !== response.bootId
    const isRevisionUnchanged = news.revision === sentRevision
    this.applyMessage(response, requestedAtMs)
    this.ackedRevisions.set(response.from, hasRestarted ? 0 : isRevisionUnchanged ? news.revision : sentRevision)
  }

  /**
   * Applies the state that a child, or the root of another data centre, has sent; the response carries what it lacks.
   *
   * @example
   * const response = relay.handleExchange(message)
   */
  handleExchange (message: RelayMessage): RelayMessage {
    const { table, zone, news } = this.options
    const isChild = message.zone === zone
    const branch = isChild ? `below ${message.from}` : `zone ${message.zone}`
    table.putPeerLoads(branch, parseLoads(message.loads))
    table.putPeerSpeeds(branch, message.speeds)
    const isSameProcess = message.heard?.bootId === this.options.bootId
    this.ackedRevisions.set(message.from, isSameProcess ? message.heard!.revision : 0)
    const response = this.makeMessage(message.from, isChild ? table.exportLoads((peer) => peer !== branch) : this.listSubtreeLoads())
    const speeds = isChild ? table.takeSpeeds(message.from, (peer) => peer !== branch) : this.takeSubtreeSpeeds(message.from)
    const isWhole = response.revision === news.revision
    this.applyMessage(message, this.options.estimateArrivalMs())
    // What the peer has just sent isn't sent back to it.
    return { ...response, speeds, revision: isWhole ? news.revision : response.revision }
  }

  private applyMessage (message: RelayMessage, madeAfterMs: number): void {
    const { news, applyUpdate: applyNews, leadership, comparePeerProgress } = this.options
    this.recordStoreRead(message, madeAfterMs)
    for (const item of message.news.filter(isRunnerUpdate)) {
      if (news.addUpdate(item)) applyNews(item)
    }
    this.receivedRevisions.set(message.from, { bootId: message.bootId, revision: message.revision })
    if (message.holder !== undefined) leadership.applyPeerLeader(message.holder)
    comparePeerProgress(message.from, { ...message, ...decodeProgress(message) })
  }

  /** Loads of this daemon and its descendants. */
  private listSubtreeLoads (): ReturnType<FleetRunnerTable['exportLoads']> {
    return this.options.table.exportLoads(isDescendant)
  }

  /** Speeds that this daemon and its descendants have seen and the peer hasn't been sent. */
  private takeSubtreeSpeeds (peer: string): readonly SpeedRow[] | undefined {
    return this.options.table.takeSpeeds(peer, (branch) => branch === undefined || isDescendant(branch))
  }

  private makeMessage (peer: string, loads: ReturnType<FleetRunnerTable['exportLoads']>): RelayMessage {
    const { self, zone, bootId, leadership, configurations, table, news, countDaemons, readFacts, findNewestVersion } = this.options
    const { updates, revision } = news.listBatch(this.ackedRevisions.get(peer) ?? 0, MAX_UPDATES)
    return {
      from: self,
      zone,
      bootId,
      holder: leadership.leader,
      version: configurations.version,
      newestVersion: findNewestVersion(),
      ...encodePosition(table.position),
      changedAt: readOffset(table.lastChangePosition),
      daemonCount: countDaemons(),
      facts: readFacts(),
      ...this.newestRead.report,
      loads: formatLoads(loads),
      news: updates,
      revision,
      heard: this.receivedRevisions.get(peer)
    }
  }
}

/** Whether a branch of loads and speeds is below this daemon in the tree. */
function isDescendant (branch: string): boolean {
  return branch.startsWith('below ')
}
