/** What a daemon and its peers tell each other: everybody everything in a small fleet, along a tree in a large one. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import { FleetNews, HintExchange, type FleetFacts, isNewsItem, type ConfigurationHolder, type Fact, type FleetDemand, type FleetHints, type FleetLeadership, type FleetRunnerTable, type Holdings, type HoldingsNews, type Need, type NewsItem } from 'figquay-fleet'
import { PeerMesh, type PeerAddress } from 'figquay-peers'
import { FactExchange, type FactsMessage } from './FigquayServingFactExchange.js'
import { FleetRelay, type RelayMessage } from './FigquayServingRelay.js'
import { ServingSuspects, type SuspectRequest } from './FigquayServingSuspects.js'
import { chooseRole, type FleetSnapshot, type PeerReading, type StoreRole } from './FigquayServingStoreFollower.js'

/** What the exchange with peers needs. */
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
  readonly listNeeds: () => readonly Need[]
  readonly noteAdapterUse: (runner: string, key: string) => void
  readonly facts: FleetFacts
  readonly makeSnapshot: (version: number, position: number) => FleetSnapshot
  readonly notePeer: (peer: string, reading: PeerReading) => void
  readonly measureStoreAge: () => number
  /** Daemons that have announced themselves, as far as this one knows. */
  readonly countDaemons: () => number
  /** Plans soon, as requests wait for something. */
  readonly planSoon: () => void
}

/** Hints go out this often, in milliseconds: a fraction of the time in which a runner's queue changes much. */
const HINT_INTERVAL_MS = 200
/** New needs are announced at once, but not more often than this, in milliseconds. */
const NEED_INTERVAL_MS = 10
/** Up to this many daemons everybody tells everybody; the messages of more would cost more than their requests. */
const MESH_DAEMONS = 16
/** In a large fleet the holder is told of demand this often, in milliseconds: well within the time in which it moves. */
const REPORT_INTERVAL_MS = 400

/** A daemon's exchange with its peers. */
export class ServingPeers {
  readonly hints: HintExchange
  readonly suspects: ServingSuspects
  private readonly factExchange: FactExchange
  private readonly mesh: PeerMesh
  private readonly relay: FleetRelay
  private readonly news: FleetNews
  private zones: ReadonlyMap<string, string> = new Map()
  private relayNeighbours: readonly string[] = []
  private knownHolder: string | undefined
  private lastHintsAtMs = Number.NEGATIVE_INFINITY
  private isHintPlanned = false
  private newsSerial = 0

  private constructor (private readonly options: ServingPeersOptions) {
    const { self, bootId, clock, logger, table, demand, configurations, listNeeds, noteAdapterUse, notePeer, measureStoreAge, countDaemons, leadership, facts } = options
    this.news = FleetNews.create(clock)
    this.mesh = PeerMesh.create({ self, secrets: options.secrets, methods: this.makeMethods(), clock, logger })
    this.hints = HintExchange.create({ self: self.id, clock, table, demand, leadership, configurations, listNeeds, noteAdapterUse, countDaemons, readFacts: () => facts.state, measureStoreAge })
    const callPeer: PeerMesh['callPeer'] = (peer, method, params, timeoutMs) => this.mesh.callPeer(peer, method, params, timeoutMs)
    this.suspects = ServingSuspects.create({ self: self.id, clock, callPeer, listConnected: () => this.mesh.connectedPeers, findHolder: () => leadership.holder?.daemon })
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
      measureStoreAge,
      countDaemons,
      readFacts: () => facts.state,
      compareFacts: (peer, state) => this.factExchange.comparePeer(peer, state),
      takeNews: (item) => this.takeNews(item),
      notePeer,
      setNeighbours: (neighbours) => {
        this.relayNeighbours = neighbours
        this.updateMesh()
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

  /** Daemons that can be called now. */
  get connectedPeers (): readonly string[] {
    return this.mesh.connectedPeers
  }

  /** Daemons that are known, this one included. */
  get daemonCount (): number {
    return this.zones.size
  }

  /** Whether the fleet is too large for everybody to tell everybody. */
  get isTree (): boolean {
    return this.zones.size > MESH_DAEMONS
  }

  /**
   * How this daemon follows the store. Whether the fleet is a large one each daemon knows only as far as it knows the
   * others: one that takes it for small waits for words that those of a large one don't send.
   */
  get storeRole (): StoreRole {
    if (this.isTree) return this.relay.storeRole
    const role = chooseRole(this.options.self.id, this.connectedPeers)
    return role === 'listener' && this.relay.isStoreStale ? 'reader' : role
  }

  /**
   * Listens for peers and starts telling them.
   *
   * @example
   * await peers.start()
   */
  async start (): Promise<void> {
    const [host, port] = this.options.self.address.split(':') as [string, string]
    await this.mesh.listen(host, Number(port))
    this.setDaemons(new Map())
    this.options.tasks.startTask('hints', (signal) => this.runHints(signal))
    this.relay.startExchanges(this.options.tasks, () => this.isTree)
  }

  /** Ends all connections. */
  close (): void {
    this.mesh.close()
  }

  /** Replaces the daemons that there are, with their data centres. */
  setDaemons (daemons: ReadonlyMap<string, string>): void {
    const { self, seeds } = this.options
    this.zones = new Map([...seeds.map((seed): [string, string] => [seed, self.zone]), ...daemons, [self.id, self.zone]])
    // A seed's data centre isn't known until its own record is read: it is left out of the ranking until then.
    this.relay.setDaemons(new Map([...daemons, [self.id, self.zone]]))
    this.updateMesh()
  }

  /** Asks a peer, or any, for what is newer than this daemon's picture. */
  async requestSnapshot (version: number, position: number, wanted: string | undefined): Promise<FleetSnapshot | undefined> {
    const peers = this.mesh.connectedPeers
    const peer = wanted ?? peers[Math.floor(Math.random() * peers.length)]
    if (peer === undefined) return undefined
    const snapshot = await this.mesh.callPeer<FleetSnapshot>(peer, 'fleet.read', { version, position })
    return snapshot.ok ? snapshot.value : undefined
  }

  /** Tells the holder of a new need without waiting for the next hints. */
  announceNeeds (): void {
    if (this.isHintPlanned) return
    const { clock, tasks, planSoon } = this.options
    this.isHintPlanned = true
    const sinceMs = clock.readMonotonicMs() - this.lastHintsAtMs
    clock.waitFor(Math.max(0, NEED_INTERVAL_MS - sinceMs), tasks.signal).then(() => {
      this.isHintPlanned = false
      this.sendHints()
      planSoon()
    })
  }

  /** Tells what a runner holds: at once those that wait for it, the others soon. */
  announceHoldings (runner: string, bornMs: number, holdings: Holdings): void {
    const item: HoldingsNews = { type: 'holdings', runner, bornMs, holdings, fence: this.options.leadership.ownFence ?? 0, serial: ++this.newsSerial }
    if (!this.isTree) {
      this.mesh.sendToAll('fleet.news', [item])
      return
    }
    this.news.addItem(item)
    const needy = new Set(holdings.models.flatMap((held) => this.options.demand.listNeedy(held.name)))
    for (const daemon of needy) this.sendDirectly(daemon, [item])
  }

  /** Tells that a runner leaves; the list of runners may say so later, or not at all to a peer that can't read it. */
  announceLeaving (runner: string, bornMs: number): void {
    this.announceNews([{ type: 'leaving', runner, bornMs }])
    this.publishFact({ type: 'leaving', id: `leaving/${runner}/${bornMs}`, runner, bornMs, atMs: this.options.clock.now().getTime() })
  }

  /** Tells what binds every daemon for as long as it holds. */
  publishFact (fact: Fact): void {
    this.factExchange.publishFact(fact)
  }

  private announceNews (items: readonly NewsItem[]): void {
    if (this.isTree) for (const item of items) this.news.addItem(item)
    else this.mesh.sendToAll('fleet.news', items)
  }

  private makeMethods () {
    return {
      'fleet.hints': (hints: FleetHints) => {
        this.hints.takeHints(hints)
        this.correctPeer(hints)
        this.relay.noteStoreAge(hints.storeAgeMs)
        this.options.notePeer(hints.from, hints)
        this.factExchange.comparePeer(hints.from, hints.facts)
        if (hints.needs.length > 0) this.options.planSoon()
      },
      'fleet.reading': ({ from, reading }: { readonly from: string, readonly reading: PeerReading }) => this.options.notePeer(from, reading),
      'fleet.report': (hints: FleetHints) => this.takeReport(hints),
      'fleet.exchange': (message: RelayMessage) => this.relay.answerExchange(message),
      'fleet.news': (items: readonly unknown[]) => {
        for (const item of items.filter(isNewsItem)) if (this.news.addItem(item)) this.takeNews(item)
      },
      'fleet.facts': (message: FactsMessage) => this.factExchange.answerPeer(message),
      'suspect.take': (request: SuspectRequest) => this.suspects.answerTake(request),
      'suspect.return': (request: SuspectRequest) => this.suspects.answerReturn(request),
      'fleet.read': ({ version, position }: { readonly version: number, readonly position: number }) => this.options.makeSnapshot(version, position)
    }
  }

  /** A peer that tells everybody everything takes a large fleet for a small one, and hears of none in it unless it is told. */
  private correctPeer ({ from, daemonCount }: FleetHints): void {
    const { self, configurations, table, countDaemons, logger } = this.options
    if (!this.isTree || daemonCount >= countDaemons()) return
    const reading: PeerReading = { version: configurations.version, position: table.position, changedAt: table.changedAt, daemonCount: countDaemons() }
    this.mesh.callPeer(from, 'fleet.reading', { from: self.id, reading }).then((outcome) => {
      if (!outcome.ok) logger.debug('peer knows too few daemons; its next words are answered again', { peer: from, error: outcome.error })
    })
  }

  private takeNews (item: NewsItem): void {
    if (item.type === 'holdings') this.options.table.putHoldings(item.runner, item.bornMs, item.holdings)
    else this.options.table.markLeaving(item.runner, item.bornMs)
  }

  private takeReport (hints: FleetHints): void {
    this.hints.takeReport(hints)
    if (hints.needs.length === 0) return
    // What a daemon waits for may be there already: the news hasn't reached it yet.
    const models = new Set(hints.needs.map((need) => need.model))
    const items = this.news.listAfter(0).filter((item) => item.type === 'holdings' && item.holdings.models.some((held) => models.has(held.name)))
    if (items.length > 0) this.sendDirectly(hints.from, items)
    this.options.planSoon()
  }

  private sendDirectly (daemon: string, items: readonly NewsItem[]): void {
    this.mesh.callPeer(daemon, 'fleet.news', items).then((outcome) => {
      if (!outcome.ok) this.options.logger.debug('news not delivered; it goes by the tree', { daemon, error: outcome.error })
    })
  }

  private async runHints (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sendHints()
      await this.options.clock.waitFor(this.isTree ? REPORT_INTERVAL_MS : HINT_INTERVAL_MS, signal)
    }
  }

  private sendHints (): void {
    this.lastHintsAtMs = this.options.clock.readMonotonicMs()
    if (!this.isTree) {
      this.mesh.sendToAll('fleet.hints', this.hints.makeHints())
      return
    }
    const holder = this.options.leadership.holder
    if (holder?.daemon !== this.knownHolder) {
      this.knownHolder = holder?.daemon
      this.updateMesh()
    }
    if (holder === undefined || holder.daemon === this.options.self.id) this.hints.refreshOwn()
    else if (this.mesh.isConnected(holder.daemon)) this.mesh.sendTo(holder.daemon, 'fleet.report', this.hints.makeReport(holder.fence))
  }

  private updateMesh (): void {
    const { self, tasks } = this.options
    const known = [...this.zones].filter(([id]) => id !== self.id).map(([id, zone]) => ({ id, zone, address: id }))
    const wanted = new Set([...this.relayNeighbours, ...this.knownHolder === undefined ? [] : [this.knownHolder]])
    this.mesh.setDaemons(known, tasks, this.isTree ? known.filter((peer) => wanted.has(peer.id)) : known)
  }
}
