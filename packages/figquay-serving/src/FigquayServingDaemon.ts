/** A daemon that serves a fleet: its parts, what they tell its peers, and how it starts and stops. */
import { hashText, TaskGroup, type Clock, type Logger } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetLeadership, FleetPlacement, FleetRunnerTable, HintExchange, OrderBook, PromptMemory, type FleetHints, type FleetStore, type Holdings, type RunnerOrderClient } from 'figquay-fleet'
import { PeerMesh } from 'figquay-peers'
import { CrashGuard, RetryBudget, type CrashCharge } from 'figquay-routing'
import { ServingDispatcher } from './FigquayServingDispatcher.js'
import { ServingRouter } from './FigquayServingRouter.js'
import { StoreFollower, type FleetSnapshot } from './FigquayServingStoreFollower.js'
import { ServingTraces } from './FigquayServingTraces.js'
import type { RunnerExchangeClient } from './FigquayServingTypes.js'

/** What a daemon needs. */
export interface ServingDaemonOptions {
  /** `ip:port` at which peers reach this daemon; its name among them. */
  readonly address: string
  readonly zone: string
  /** Tells this process from earlier ones. */
  readonly bootId: string
  /** Addresses of daemons to begin with; they may be gone. */
  readonly seeds: readonly string[]
  readonly peerSecrets: readonly string[]
  /** Retries that a service bears, over all daemons. */
  readonly retries: { readonly perRequest: number, readonly burst: number }
  readonly clock: Clock
  readonly logger: Logger
  readonly store: FleetStore
  readonly orderClient: RunnerOrderClient
  readonly exchanges: RunnerExchangeClient
}

/** Hints go out this often, in milliseconds: a fraction of the time in which a runner's queue changes much. */
const HINT_INTERVAL_MS = 200
/** New needs are announced at once, but not more often than this, in milliseconds. */
const NEED_INTERVAL_MS = 10
/** Daemons beyond which hints go out less often, so that a daemon's share of them stays the same. */
const HINTED_DAEMONS = 16
/** Daemons up to which everybody hears everybody: the holder must hear what all of them need. */
const FULL_MESH_LIMIT = 128
const PLAN_INTERVAL_MS = 100
const LEADERSHIP_INTERVAL_MS = 100
/** Daemons that the retries of a service are divided among when fewer are known. */
const FEWEST_DAEMONS = 8

interface HoldingsNotice {
  readonly runner: string
  readonly bornMs: number
  readonly holdings: Holdings
}

/** Daemons that read the list of runners for the others. */
const READERS = 2

/**
 * Whether a daemon is among those that read the list of runners for the ones that it is connected to.
 *
 * @example
 * isReader('10.0.0.1:80', []) // true: a daemon alone reads for itself
 */
export function isReader (self: string, connected: readonly string[]): boolean {
  const ownRank = hashText(self)
  return connected.filter((peer) => hashText(peer) < ownRank).length < READERS
}

/** One daemon of the fleet. */
export class ServingDaemon {
  readonly configurations = ConfigurationHolder.create()
  readonly traces: ServingTraces
  readonly router: ServingRouter
  private readonly tasks: TaskGroup
  private readonly table: FleetRunnerTable
  private readonly mesh: PeerMesh
  private readonly follower: StoreFollower
  private readonly leadership: FleetLeadership
  private readonly placement: FleetPlacement
  private readonly hints: HintExchange
  private readonly dispatcher: ServingDispatcher
  private readonly crashes = CrashGuard.create()
  private readonly budgets = new Map<string, RetryBudget>()
  private daemonCount = FEWEST_DAEMONS
  private lastHintsAtMs = Number.NEGATIVE_INFINITY
  private isHintPlanned = false
  private stopping = false

  private constructor (private readonly options: ServingDaemonOptions) {
    const { clock, logger, address, bootId, store, zone, orderClient, exchanges } = options
    const { configurations } = this
    this.tasks = TaskGroup.create(clock, logger)
    this.traces = ServingTraces.create(clock, logger)
    this.table = FleetRunnerTable.create(clock)
    const demand = FleetDemand.create(clock)
    const memory = PromptMemory.create(clock)
    const { table } = this
    this.mesh = PeerMesh.create({ self: { id: address, zone, address }, secrets: options.peerSecrets, methods: this.makePeerMethods(), clock, logger, fullMeshLimit: FULL_MESH_LIMIT })
    this.leadership = FleetLeadership.create({ self: address, bootId, store, clock, logger, listConnected: () => this.mesh.connectedPeers })
    const { leadership } = this
    const orders = OrderBook.create({ self: address, client: orderClient, table, leadership, clock, logger, announceHoldings: (runner, bornMs, holdings) => this.announceHoldings({ runner, bornMs, holdings }) })
    this.placement = FleetPlacement.create({ clock, logger, configurations, table, demand, leadership, orders, countOpen: (runner, model) => this.hints.countOpen(runner, model) })
    this.dispatcher = ServingDispatcher.create({ clock, zone, configurations, table, memory, announceNeeds: () => this.announceNeeds() })
    this.hints = HintExchange.create({ self: address, clock, table, demand, leadership, configurations, listNeeds: () => this.dispatcher.listNeeds(), noteAdapterUse: (runner, key) => this.placement.noteAdapterUse(runner, key) })
    this.follower = StoreFollower.create({ clock, logger, store, configurations, table, leadership, setDaemons: (daemons) => this.setDaemons(daemons), requestSnapshot: (version, position, peer) => this.requestSnapshot(version, position, peer), isReader: () => isReader(address, this.mesh.connectedPeers) })
    this.router = ServingRouter.create({
      clock,
      configurations,
      table,
      memory,
      demand,
      dispatcher: this.dispatcher,
      exchanges,
      crashes: this.crashes,
      traces: this.traces,
      findBudget: (service) => this.findBudget(service),
      chargeCrash: (fingerprints, upstream) => this.chargeCrash(fingerprints, upstream),
      noteAdapterUse: (runner, key) => this.hints.noteAdapterUse(runner, key)
    })
  }

  /**
   * @example
   * const daemon = ServingDaemon.create(options)
   */
  static create (options: ServingDaemonOptions): ServingDaemon {
    return new ServingDaemon(options)
  }

  /** Whether the platform should send callers here. */
  get isReady (): boolean {
    return !this.stopping && this.follower.isInformed
  }

  /** Whether a graceful stop has begun. */
  get isStopping (): boolean {
    return this.stopping
  }

  /**
   * Listens for peers and starts following the store.
   *
   * @example
   * await daemon.start()
   */
  async start (): Promise<void> {
    const [host, port] = this.options.address.split(':') as [string, string]
    await this.mesh.listen(host, Number(port))
    this.setDaemons(new Map())
    this.follower.startTasks(this.tasks)
    this.tasks.startTask('announcement', (signal) => this.follower.announceSelf(this.options.address, this.options.zone, signal))
    this.tasks.startTask('hints', (signal) => this.runHints(signal))
    this.tasks.startLoop('leadership', LEADERSHIP_INTERVAL_MS, () => this.leadership.refresh())
    this.tasks.startLoop('placement', PLAN_INTERVAL_MS, async () => this.placement.runPlans())
  }

  /**
   * Says from now on that callers should go elsewhere; what is under way goes on.
   *
   * @param lastMs Time by which requests must have ended, on the monotonic clock.
   * @example
   * daemon.beginStop(clock.readMonotonicMs() + 7_000)
   */
  beginStop (lastMs: number): void {
    this.stopping = true
    this.dispatcher.setLastWait(lastMs)
  }

  /** Ends tasks and connections. */
  async stop (): Promise<void> {
    this.stopping = true
    this.mesh.close()
    this.options.store.close()
    await this.tasks.stop()
  }

  private makePeerMethods () {
    return {
      'fleet.hints': (hints: FleetHints) => {
        this.hints.takeHints(hints)
        this.follower.notePeer(hints.from, hints.version, hints.position)
        if (hints.needs.length > 0) this.placement.runPlans()
      },
      'fleet.holdings': ({ runner, bornMs, holdings }: HoldingsNotice) => this.table.putHoldings(runner, bornMs, holdings),
      'fleet.charges': (charges: readonly CrashCharge[]) => this.addCharges(charges),
      'fleet.read': ({ version, position }: { readonly version: number, readonly position: number }) => this.follower.makeSnapshot(version, position)
    }
  }

  private setDaemons (daemons: ReadonlyMap<string, string>): void {
    const { address, seeds, zone } = this.options
    const zones = new Map<string, string>([...seeds.map((seed): [string, string] => [seed, zone]), ...daemons])
    this.daemonCount = Math.max(FEWEST_DAEMONS, zones.size)
    zones.delete(address)
    this.mesh.setDaemons([...zones].map(([id, peerZone]) => ({ id, zone: peerZone, address: id })), this.tasks)
  }

  private async requestSnapshot (version: number, position: number, wanted: string | undefined): Promise<FleetSnapshot | undefined> {
    const peers = this.mesh.connectedPeers
    const peer = wanted ?? peers[Math.floor(Math.random() * peers.length)]
    if (peer === undefined) return undefined
    const snapshot = await this.mesh.callPeer<FleetSnapshot>(peer, 'fleet.read', { version, position })
    return snapshot.ok ? snapshot.value : undefined
  }

  private async runHints (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.sendHints()
      await this.options.clock.waitFor(HINT_INTERVAL_MS * Math.max(1, this.daemonCount / HINTED_DAEMONS), signal)
    }
  }

  private sendHints (): void {
    this.lastHintsAtMs = this.options.clock.readMonotonicMs()
    this.mesh.sendToAll('fleet.hints', this.hints.makeHints())
  }

  /** Tells the holder of a new need without waiting for the next hints. */
  private announceNeeds (): void {
    if (this.isHintPlanned) return
    this.isHintPlanned = true
    const sinceMs = this.options.clock.readMonotonicMs() - this.lastHintsAtMs
    this.options.clock.waitFor(Math.max(0, NEED_INTERVAL_MS - sinceMs), this.tasks.signal).then(() => {
      this.isHintPlanned = false
      this.sendHints()
      this.placement.runPlans()
    })
  }

  private announceHoldings (notice: HoldingsNotice): void {
    this.mesh.sendToAll('fleet.holdings', notice)
  }

  private findBudget (service: string): RetryBudget {
    const { perRequest, burst } = this.options.retries
    const share = burst / this.daemonCount
    const budget = this.budgets.get(service) ?? RetryBudget.create({ perRequest, largestReserve: share, firstReserve: share })
    this.budgets.set(service, budget)
    return budget
  }

  private chargeCrash (fingerprints: readonly string[], upstream: string): void {
    const charges = fingerprints.map((fingerprint) => ({ fingerprint, upstream }))
    this.options.logger.warn('runner crashed with requests in flight', { upstream, requests: fingerprints.length })
    this.addCharges(charges)
    this.mesh.sendToAll('fleet.charges', charges)
  }

  private addCharges (charges: readonly CrashCharge[]): void {
    for (const charge of charges) this.crashes.addCharge(charge, this.options.clock.readMonotonicMs())
  }
}
