/** Exchanges what every daemon must know along a tree: up to the first of the data centre, across, and down again. */
import { describeError, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { formatLoads, isNewsItem, parseLoads, type ConfigurationHolder, type FactsState, type FleetLeadership, type FleetNews, type FleetRunnerTable, type Holder, type LoadRow, type NewsItem } from 'figquay-fleet'
import type { PeerReading, StoreRole } from './FigquayServingStoreFollower.js'
import { measureDepth, rankDaemons, FIRST_PER_ZONE, selectPart, type FleetPart, type RankedDaemons } from './FigquayServingTopology.js'

/** What two daemons tell each other in one call and its answer. */
export interface RelayMessage {
  readonly from: string
  readonly zone: string
  /** Tells this process from earlier ones: its news begin anew. */
  readonly bootId: string
  readonly holder: Holder | undefined
  /** Configuration in force. */
  readonly version: number
  /** How far the list of runners has been read. */
  readonly position: number
  /** Where in it the last change was. */
  readonly changedAt: number
  /** Daemons that are known there. */
  readonly daemonCount: number
  readonly facts: FactsState
  /** Time since the store was last read, by this daemon or those above it, in milliseconds. */
  readonly storeAgeMs: number
  readonly loads: readonly LoadRow[]
  readonly news: readonly NewsItem[]
  /** Revision of the newest of this daemon's news that the other may have now. */
  readonly revision: number
  /** Newest revision of the other's news that this daemon has, of the process that it names. */
  readonly heard: { readonly bootId: string, readonly revision: number } | undefined
}

/** The part of the mesh that a relay uses. */
export interface RelayMesh {
  isConnected: (daemon: string) => boolean
  callPeer: <T>(daemon: string, method: string, params: unknown, timeoutMs: number) => Promise<Outcome<T, string>>
}

/** What a relay needs. */
export interface FleetRelayOptions {
  readonly self: string
  readonly zone: string
  readonly bootId: string
  readonly clock: Clock
  readonly logger: Logger
  readonly table: FleetRunnerTable
  readonly leadership: FleetLeadership
  readonly configurations: ConfigurationHolder
  readonly news: FleetNews
  readonly mesh: RelayMesh
  /** Time since this daemon itself last read the store, in milliseconds. */
  readonly measureStoreAge: () => number
  /** Daemons that have announced themselves, as far as this one knows. */
  readonly countDaemons: () => number
  /** Where this daemon's facts stand. */
  readonly readFacts: () => FactsState
  /** Compares a peer's facts with this daemon's. */
  readonly compareFacts: (peer: string, state: FactsState) => void
  /** Takes in an item that is new here. */
  readonly takeNews: (item: NewsItem) => void
  /** Compares how far a peer has read with this daemon. */
  readonly notePeer: (peer: string, reading: PeerReading) => void
  /** Called when this daemon's neighbours should be others. */
  readonly setNeighbours: (daemons: readonly string[]) => void
}

/** Time between two exchanges with the daemon above, in milliseconds: a fraction of the time in which a runner's queue changes much. */
const EXCHANGE_INTERVAL_MS = 200
/** Daemons beyond which exchanges are further apart, so that the first of a data centre has the same work. */
const EXCHANGING_DAEMONS = 120
/** An exchange that takes longer has failed, in milliseconds: two intervals. */
const EXCHANGE_TIMEOUT_MS = 400
/** A daemon with which an exchange failed isn't tried for this long, in milliseconds, while another can be. */
const SHUNNED_MS = 1_000
/** Connections are chosen anew this often, in milliseconds: longer than connecting takes. */
const CHOICE_INTERVAL_MS = 500
/** A daemon whose source has not read the store for this long reads it itself, in milliseconds: longer than a read that finds nothing new. */
const STALE_STORE_MS = 3_000
/** A daemon that has had no exchange for this long reads the store itself, in milliseconds. */
const STALE_UPLINK_MS = 1_000

/** One daemon's part in the tree. */
export class FleetRelay {
  private ranked: RankedDaemons = new Map()
  private part: FleetPart = { neighbours: [], uplink: undefined, heads: [], isFirstHead: true }
  private depth = FIRST_PER_ZONE
  private chosenAtMs = Number.NEGATIVE_INFINITY
  private daemonCount = 1
  private heardAtMs = Number.NEGATIVE_INFINITY
  /** When the store was last read by a daemon that this one has heard of, as far as it was told. */
  private toldReadAtMs = Number.NEGATIVE_INFINITY
  private readonly shunnedUntilMs = new Map<string, number>()
  /** By peer: its process, what of its news was heard, and what of one's own it has. */
  private readonly heard = new Map<string, { readonly bootId: string, readonly revision: number }>()
  private readonly told = new Map<string, number>()

  private constructor (private readonly options: FleetRelayOptions) {}

  /**
   * @example
   * const relay = FleetRelay.create(options)
   */
  static create (options: FleetRelayOptions): FleetRelay {
    return new FleetRelay(options)
  }

  /** How this daemon follows the store: the first of one data centre reads, those of the others look, the rest hear of it. */
  get storeRole (): StoreRole {
    const { part } = this
    if (part.uplink === undefined) return part.isFirstHead ? 'reader' : 'looker'
    const isUninformed = this.options.clock.readMonotonicMs() - this.heardAtMs > STALE_UPLINK_MS || this.isStoreStale
    return isUninformed ? 'reader' : 'listener'
  }

  /** Time since this daemon, or one that it has heard of in a fleet of any size, last read the store, in milliseconds. */
  get storeAgeMs (): number {
    const { clock, measureStoreAge } = this.options
    // A finite number, as JSON has no other.
    return Math.min(measureStoreAge(), clock.readMonotonicMs() - this.toldReadAtMs, Number.MAX_SAFE_INTEGER)
  }

  /** Whether nobody whom this daemon hears has read the store for too long: no part in the fleet lets it go on hearing only. */
  get isStoreStale (): boolean {
    return this.storeAgeMs > STALE_STORE_MS
  }

  /** Notes how long ago a peer, or one that it has heard of, read the store. */
  noteStoreAge (ageMs: number): void {
    if (Number.isFinite(ageMs)) this.toldReadAtMs = Math.max(this.toldReadAtMs, this.options.clock.readMonotonicMs() - ageMs)
  }

  /**
   * Replaces the daemons that there are, with their data centres.
   *
   * @example
   * relay.setDaemons(new Map([['10.0.0.1:80', 'a']]))
   */
  setDaemons (zones: ReadonlyMap<string, string>): void {
    this.ranked = rankDaemons(zones)
    this.daemonCount = zones.size
    this.chosenAtMs = Number.NEGATIVE_INFINITY
  }

  /**
   * Exchanges again and again while `isWanted`; a peer's answer that can't be read ends one exchange, not the series.
   *
   * @example
   * relay.startExchanges(tasks, () => daemons.size > 16)
   */
  startExchanges (tasks: TaskGroup, isWanted: () => boolean): void {
    tasks.startLoop('exchanges', 0, async (signal) => {
      const { clock } = this.options
      const startedAtMs = clock.readMonotonicMs()
      try {
        if (isWanted()) await this.exchangeOnce()
      } finally {
        const intervalMs = EXCHANGE_INTERVAL_MS * Math.max(1, this.daemonCount / EXCHANGING_DAEMONS)
        await clock.waitFor(Math.max(1, startedAtMs + intervalMs - clock.readMonotonicMs()), signal)
      }
    })
  }

  /**
   * Exchanges once with the daemon above or, as the first of a data centre, with the other firsts.
   *
   * @example
   * await relay.exchangeOnce()
   */
  async exchangeOnce (): Promise<void> {
    this.choosePart()
    const { uplink, heads } = this.part
    if (uplink !== undefined) await this.exchangeWith(uplink)
    else await Promise.all(heads.map((head) => this.exchangeWith(head)))
  }

  private choosePart (): void {
    const { self, zone, clock, setNeighbours, mesh } = this.options
    const nowMs = clock.readMonotonicMs()
    const canUse = (daemon: string): boolean => mesh.isConnected(daemon) && nowMs >= (this.shunnedUntilMs.get(daemon) ?? 0)
    if (nowMs - this.chosenAtMs >= CHOICE_INTERVAL_MS) {
      this.depth = measureDepth(self, zone, this.ranked, this.depth, (daemon) => mesh.isConnected(daemon))
      this.chosenAtMs = nowMs
    }
    const before = this.part
    this.part = selectPart(self, zone, this.ranked, this.depth, canUse)
    if (before.neighbours.join() !== this.part.neighbours.join()) setNeighbours(this.part.neighbours)
    if (before.uplink !== this.part.uplink) this.options.logger.debug('tells another daemon', { uplink: this.part.uplink, heads: this.part.heads })
  }

  private async exchangeWith (peer: string): Promise<void> {
    const { mesh, clock, logger } = this.options
    const sentRevision = this.options.news.revision
    const answer = await mesh.callPeer<RelayMessage>(peer, 'fleet.exchange', this.makeMessage(peer, this.listUpward()), EXCHANGE_TIMEOUT_MS)
    if (!answer.ok) {
      logger.debug('exchange failed', { peer, error: describeError(answer.error) })
      this.shunnedUntilMs.set(peer, clock.readMonotonicMs() + SHUNNED_MS)
      return
    }
    const { value } = answer
    const isAbove = value.zone === this.options.zone
    this.options.table.putPeerLoads(isAbove ? 'above' : `zone ${value.zone}`, parseLoads(value.loads))
    if (isAbove) this.heardAtMs = clock.readMonotonicMs()
    this.noteTold(value, sentRevision)
    // The daemon below asks: the one above has many below it, and no connection to them.
    this.options.compareFacts(peer, value.facts)
  }

  /** What the answer brought needs no sending back; a peer that has restarted is told everything again. */
  private noteTold (answer: RelayMessage, sentRevision: number): void {
    const { news } = this.options
    const earlier = this.heard.get(answer.from)
    const hasRestarted = earlier !== undefined && earlier.bootId !== answer.bootId
    const isAllSent = news.revision === sentRevision
    this.takeMessage(answer)
    this.told.set(answer.from, hasRestarted ? 0 : isAllSent ? news.revision : sentRevision)
  }

  /**
   * Takes in what a daemon below, or the first of another data centre, tells; the answer tells it the rest.
   *
   * @example
   * const answer = relay.answerExchange(message)
   */
  answerExchange (message: RelayMessage): RelayMessage {
    const { table, zone, news } = this.options
    const isBelow = message.zone === zone
    const branch = isBelow ? `below ${message.from}` : `zone ${message.zone}`
    table.putPeerLoads(branch, parseLoads(message.loads))
    const isKnown = message.heard?.bootId === this.options.bootId
    this.told.set(message.from, isKnown ? message.heard!.revision : 0)
    const answer = this.makeMessage(message.from, isBelow ? table.exportLoads((peer) => peer !== branch) : this.listUpward())
    this.takeMessage(message)
    return { ...answer, revision: news.revision }
  }

  private takeMessage (message: RelayMessage): void {
    const { news, takeNews, leadership, notePeer } = this.options
    this.noteStoreAge(message.storeAgeMs)
    for (const item of message.news.filter(isNewsItem)) {
      if (news.addItem(item)) takeNews(item)
    }
    this.heard.set(message.from, { bootId: message.bootId, revision: message.revision })
    if (message.holder !== undefined) leadership.noteRumour(message.holder)
    notePeer(message.from, message)
  }

  /** Loads of this daemon and of those below it. */
  private listUpward (): ReturnType<FleetRunnerTable['exportLoads']> {
    return this.options.table.exportLoads((peer) => peer.startsWith('below '))
  }

  private makeMessage (peer: string, loads: ReturnType<FleetRunnerTable['exportLoads']>): RelayMessage {
    const { self, zone, bootId, leadership, configurations, table, news, countDaemons, readFacts } = this.options
    return {
      from: self,
      zone,
      bootId,
      holder: leadership.holder,
      version: configurations.version,
      position: table.position,
      changedAt: table.changedAt,
      daemonCount: countDaemons(),
      facts: readFacts(),
      storeAgeMs: Math.round(this.storeAgeMs),
      loads: formatLoads(loads),
      news: news.listAfter(this.told.get(peer) ?? 0),
      revision: news.revision,
      heard: this.heard.get(peer)
    }
  }
}
