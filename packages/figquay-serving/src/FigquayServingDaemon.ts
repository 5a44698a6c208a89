/** Composes the components of a serving daemon, starts and stops them, and schedules its placement runs. */
import { EVENT_LOOP_TICK_MS, EventLoopMonitor, makeId, TaskGroup, waitForInput, type Clock, type Logger, type Refusal } from 'figquay'
import { computePlanDelayMs, ConfigurationHolder, FleetDemand, FleetFacts, FleetLeadership, FleetPlacement, FleetRunnerTable, OrderDispatcher, PromptCacheIndex, type CrashFact, type Fact, type FleetStore, type Route, type Runner, type RunnerOrderClient } from 'figquay-fleet'
import { RetryBudget, type QuotaTolerance } from 'figquay-routing'
import { AccessGate } from './FigquayServingAccessGate.js'
import { AttemptTracker, PART_SUCCESS_WINDOW_MS } from './FigquayServingAttemptTracker.js'
import { ConfigurationSource } from './FigquayServingConfigurationSource.js'
import { ConfigurationSync } from './FigquayServingConfigurationSync.js'
import { DaemonRecords } from './FigquayServingDaemonRecords.js'
import { CrashHistory, isPartKey } from './FigquayServingCrashHistory.js'
import { PartSuccesses } from './FigquayServingPartSuccesses.js'
import { ServingDispatcher } from './FigquayServingDispatcher.js'
import { RequestForwarder, type ForwardingClient } from './FigquayServingForwarder.js'
import { FactStoreSync } from './FigquayServingFactStoreSync.js'
import { ServingPeers, type ServingPeersOptions } from './FigquayServingPeers.js'
import type { DrainWindow } from './FigquayServingRouteDurations.js'
import { FleetQuotas } from './FigquayServingQuotas.js'
import { ServingRouter } from './FigquayServingRouter.js'
import { RunnerContact } from './FigquayServingRunnerContact.js'
import { listRunnerStatus, type RunnerStatus } from './FigquayServingRunnerStatus.js'
import { StreamOrigins } from './FigquayServingStreamOrigins.js'
import { VersionHistory } from './FigquayServingVersionHistory.js'
import { StalenessGuard, type StateCurrency } from './FigquayServingStalenessGuard.js'
import type { StoreRole } from './FigquayServingStoreRole.js'
import type { ChangeBounds } from './FigquayServingStoreTiming.js'
import { StoreOutages } from './FigquayServingStoreOutages.js'
import { StoreWatcher } from './FigquayServingStoreWatcher.js'
import { shortenFingerprint } from './FigquayServingSuspectGate.js'
import { ServingTelemetry } from './FigquayServingTelemetry.js'
import type { RunnerExchangeClient } from './FigquayServingTypes.js'

/** Options of a daemon. */
export interface ServingDaemonOptions {
  /** `ip:port` at which peers reach this daemon; also its id. */
  readonly address: string
  readonly zone: string
  /** Identifies this process among those that have run at the address. */
  readonly bootId: string
  /** Addresses of daemons to contact first; they may be down. */
  readonly seeds: readonly string[]
  readonly peerSecrets: readonly string[]
  /** Retry budget of a service over all daemons. */
  readonly retries: { readonly perRequest: number, readonly burst: number }
  /** By how much the sum over all daemons may exceed a customer's quota. */
  readonly quotas: QuotaTolerance
  /** Processor cores of this VM, fractions included; unknown if undefined. */
  readonly processorCores?: number | undefined
  /** Times within which changes must take effect. */
  readonly bounds: ChangeBounds
  /** Interval at which runners renew their entries in the list, in milliseconds. */
  readonly heartbeatMs: number
  readonly clock: Clock
  readonly logger: Logger
  readonly store: FleetStore
  readonly orderClient: RunnerOrderClient
  readonly exchanges: RunnerExchangeClient
  /** Where this daemon takes requests from others, and how it forwards its own; without it, no request is forwarded. */
  readonly forwarding?: { readonly address: string, readonly client: ForwardingClient } | undefined
  readonly createMesh?: ServingPeersOptions['createMesh']
}

/** What a daemon knows of the configuration. */
export interface ConfigurationEvidence {
  /** Version in force here. */
  readonly version: number
  /** Newest version that is known to exist. */
  readonly newestVersion: number
  /** Names the newest read of the store that this daemon knows of, by the process that made it; undefined if it knows of none. */
  readonly storeRead: string | undefined
}

const PLAN_INTERVAL_MS = 100
/** Timeout of an invitation to lead, in milliseconds: less than what counts as a stall of the leader. */
const INVITATION_TIMEOUT_MS = 300
const LEADERSHIP_INTERVAL_MS = 100
/** Interval for writing facts and for checking unresolved attempts, in milliseconds: a fraction of the time after which a caller retries. */
const FACTS_INTERVAL_MS = 200
/** Smallest number of daemons that the retry budget of a service is divided by, used while fewer are known. */
const MIN_RETRY_SHARES = 8

/** Longest delay before a prompt part is cleared of crashes, in milliseconds: time for the acquittal of another daemon to arrive. */
const MAX_ACQUITTAL_DELAY_MS = 200

/** A serving daemon: routes requests, exchanges state with its peers and, as the leader, places models on runners. */
export class ServingDaemon {
  readonly configurations = ConfigurationHolder.create()
  readonly traces: ServingTelemetry
  readonly accessGate: AccessGate
  readonly router: ServingRouter
  private readonly contact: RunnerContact
  private readonly staleness: StalenessGuard
  private readonly tasks: TaskGroup
  private readonly eventLoop: EventLoopMonitor
  private readonly table: FleetRunnerTable
  private readonly peers: ServingPeers
  private readonly storeWatcher: StoreWatcher
  private readonly configurationSync: ConfigurationSync
  private readonly leadership: FleetLeadership
  private readonly placement: FleetPlacement
  private readonly dispatcher: ServingDispatcher
  private readonly facts: FleetFacts
  private readonly crashHistory: CrashHistory
  private readonly partSuccesses: PartSuccesses
  private readonly quotas: FleetQuotas
  private readonly factStore: FactStoreSync
  private readonly daemonRecords: DaemonRecords
  private readonly attemptWatch: AttemptTracker
  private readonly versions: VersionHistory
  private readonly streamOrigins: StreamOrigins
  /** Prompt parts that are about to be cleared of crashes. */
  private readonly scheduledAcquittals = new Set<string>()
  private readonly retryBudgets = new Map<string, RetryBudget>()
  private nextPlanAtMs = Number.NEGATIVE_INFINITY
  private isPlanScheduled = false
  private stopping = false

  private constructor (private readonly options: ServingDaemonOptions) {
    const { clock, logger, address, bootId, store, zone, orderClient, exchanges } = options
    const { configurations } = this
    this.tasks = TaskGroup.create(clock, logger)
    this.traces = ServingTelemetry.create(clock, logger)
    this.eventLoop = EventLoopMonitor.create({ clock, noteDelay: (delayMs) => this.traces.noteEventLoopDelay(delayMs) })
    this.table = FleetRunnerTable.create(clock)
    const facts = FleetFacts.create(clock)
    this.facts = facts
    this.crashHistory = CrashHistory.create((fact) => facts.isUnexpired(fact), (fact) => this.hasRunnerEnded(fact), ({ atMs }) => clock.now().getTime() - atMs)
    this.partSuccesses = PartSuccesses.create(clock)
    const { partSuccesses } = this
    this.versions = VersionHistory.create({ clock, table: this.table, publishFact: (fact) => this.publishDurableFact(fact), isLeader: () => this.leadership.isLeader })
    facts.registerListener((fact) => this.applyFact(fact))
    const demand = FleetDemand.create(clock)
    const memory = PromptCacheIndex.create(clock)
    const { table } = this
    this.leadership = FleetLeadership.create({ self: address, bootId, store, clock, logger, listConnected: () => this.peers.connectedPeers, ...options.processorCores === undefined ? {} : { processorCores: options.processorCores }, callSuccessor: (daemon, fence) => this.callSuccessor(daemon, fence), isEligible: () => this.storeWatcher.canWrite && !this.contact.isLost })
    const { leadership } = this
    this.factStore = FactStoreSync.create({ clock, logger, store, facts, isLeader: () => leadership.isLeader })
    this.daemonRecords = DaemonRecords.create({ clock, logger, store, canRestore: () => leadership.isLeader && this.storeWatcher.canWrite })
    this.contact = RunnerContact.create({ clock, listRunners: () => this.listReachableRunners(), probeLiveness: (runner) => exchanges.probeLiveness(runner), recordChange: (message, fields) => logger.info(message, fields) })
    const { contact } = this
    this.attemptWatch = AttemptTracker.create({ clock, table, exchanges, confirmContact: () => contact.confirmContact(), hasPartSucceeded: (key, sinceMs) => partSuccesses.hasSucceededSince(key, sinceMs), reportCrash: (runner, crash) => this.reportCrash('crash', runner, crash), reportPossibleCrash: (runner, crash) => this.reportCrash('doubt', runner, crash), recordProbe: (message, fields) => this.traces.recordProbe(message, fields) })
    const announceLeaving = (runner: string, bornMs: number): void => this.peers.announceLeaving(runner, bornMs)
    const orders = OrderDispatcher.create({ self: address, client: orderClient, table, leadership, clock, logger, announceHoldings: (runner, bornMs, holdings) => this.peers.announceHoldings(runner, bornMs, holdings), announceLeaving })
    this.placement = FleetPlacement.create({ clock, logger, configurations, table, demand, leadership, orders, sumOpenRequests: () => this.peers.hints.sumOpenRequests(), noteLoad: (service, kind, reason) => this.traces.notePlacementLoad(service, kind, reason) })
    this.streamOrigins = StreamOrigins.create({ self: address, clock, logger, tasks: this.tasks, versions: this.versions, isSynced: () => this.storeWatcher.isSynced, isLargeFleet: () => this.peers.isLargeFleet, listDaemons: () => this.peers.daemonZones, listConnected: () => this.peers.connectedPeers, callPeer: (peer, method, params, timeoutMs) => this.peers.callPeer(peer, method, params, timeoutMs) })
    this.dispatcher = ServingDispatcher.create({ clock, zone, configurations, table, memory, exchanges, isAvoided: (runner) => this.peers.requestLimiter.isAvoided(runner), countDaemons: () => Math.max(1, this.peers.daemonCount), announceNeeds: () => this.peers.announceNeeds() })
    this.configurationSync = ConfigurationSync.create({
      self: address,
      clock,
      logger,
      tasks: this.tasks,
      configurations,
      callPeer: (peer, method, params, timeoutMs) => this.peers.callPeer(peer, method, params, timeoutMs),
      listConnected: () => this.peers.connectedPeers,
      computeFallbackMs: () => this.peers.timing.configurationFallbackMs,
      isStoreReadRecent: () => this.peers.storeAges.storeAgeMs <= this.peers.timing.maxConfigurationAgeMs,
      readFromStore: (signal) => this.storeWatcher.readNewestConfiguration(signal)
    })
    const { configurationSync } = this
    this.accessGate = AccessGate.create({ clock, configurations, isNewest: () => configurationSync.isNewest, telemetry: this.traces })
    const configurationSource = ConfigurationSource.create({ clock, configurations, listPeersWith: (version) => configurationSync.listPeersWith(version) })
    this.quotas = FleetQuotas.create({
      self: address,
      bootId,
      clock,
      logger,
      configurations,
      leadership: this.leadership,
      tolerance: options.quotas,
      callPeer: (peer, method, params, timeoutMs) => this.peers.callPeer(peer, method, params, timeoutMs),
      listDaemons: () => this.storeWatcher.isSynced ? new Set(this.peers.daemonZones.keys()) : undefined,
      telemetry: this.traces
    })
    const outages = StoreOutages.create({ clock, heartbeatMs: options.heartbeatMs })
    this.peers = ServingPeers.create({
      self: { id: address, zone, address },
      bootId,
      seeds: options.seeds,
      secrets: options.peerSecrets,
      clock,
      logger,
      tasks: this.tasks,
      table,
      demand,
      configurations,
      leadership,
      listNeeds: () => this.dispatcher.listNeeds(),
      noteAdapterUse: (runner, key) => this.placement.recordAdapterUse(runner, key),
      facts,
      makeSnapshot: (request) => this.storeWatcher.makeSnapshot(request),
      serveConfiguration: (request) => configurationSource.serveRequest(request),
      findNewestVersion: () => configurationSync.newestVersion,
      noteVersions: (peer, versions) => configurationSync.noteAnnouncement(peer, versions),
      comparePeerProgress: (peer, progress) => {
        configurationSync.noteAnnouncement(peer, progress)
        this.storeWatcher.comparePeerProgress(peer, progress)
      },
      estimateArrivalMs: () => this.eventLoop.estimateArrivalMs(),
      findOwnRead: () => this.storeWatcher.ownRead,
      noteStoreRead: (report, reportedAtMs) => outages.noteRead(report, reportedAtMs),
      bounds: options.bounds,
      streamOrigins: () => this.streamOrigins,
      countDaemons: () => this.storeWatcher.daemonCount,
      makeForwardingOffer: () => ({ address: options.forwarding?.address, isAvailable: this.isReady && !contact.isLost }),
      processorCores: options.processorCores,
      takeQuota: (request) => this.quotas.handleTake(request),
      schedulePlanning: () => this.schedulePlanning(),
      createMesh: options.createMesh
    })
    this.storeWatcher = StoreWatcher.create({
      bootId,
      isSeed: options.seeds.length === 0 || options.seeds.includes(address),
      clock,
      logger,
      store,
      configurations,
      table,
      leadership,
      facts,
      factStore: this.factStore,
      daemonRecords: this.daemonRecords,
      setDaemons: (daemons, cores) => this.peers.setDaemons(daemons, cores),
      requestSnapshot: (request, peer) => this.peers.requestSnapshot(request, peer),
      adoptConfiguration: (configuration) => configurationSync.adoptFromStore(configuration),
      outages,
      findStoreRole: () => this.findStoreRole(),
      estimateArrivalMs: () => this.eventLoop.estimateArrivalMs(),
      computeTiming: () => this.peers.timing,
      noteStoreRead: (topic, outcome) => this.traces.noteStoreRead(topic, outcome),
      announceLeaving
    })
    this.staleness = StalenessGuard.create({ clock, readCurrency: () => this.readCurrency(), computeLimits: () => this.peers.stalenessLimits, recordChange: (message, fields) => logger.info(message, fields) })
    this.traces.observeRunners(() => this.listRunnerStatus())
    this.traces.observeStoreAges((topic) => this.storeWatcher.measureTopicAge(topic))
    this.traces.observeStateAges(() => ({ storeAgeMs: this.peers.storeAges.storeAgeMs, inputAgeMs: this.eventLoop.inputAgeMs }))
    this.traces.observeQuotas(() => this.quotas.listStatus())
    this.traces.observeUnplacedModels(() => this.placement.countUnplaced())
    this.router = ServingRouter.create({
      clock,
      configurations,
      accessGate: this.accessGate,
      table,
      memory,
      demand,
      dispatcher: this.dispatcher,
      exchanges,
      contact,
      staleness: this.staleness,
      forwarder: options.forwarding === undefined ? undefined : RequestForwarder.create({ self: address, zone, clock, client: options.forwarding.client, listDaemons: () => this.peers.daemonZones, listConnected: () => this.peers.connectedPeers, callPeer: (peer, method, params, timeoutMs) => this.peers.callPeer(peer, method, params, timeoutMs), telemetry: this.traces }),
      attemptTracker: this.attemptWatch,
      crashHistory: this.crashHistory,
      telemetry: this.traces,
      findRetryBudget: (service) => this.findBudget(service),
      publishAcquittal: (fingerprint) => this.publishDurableFact({ type: 'acquittal', id: makeId('acquittal'), fingerprint, atMs: clock.now().getTime() }),
      noteSuccessfulParts: (keys) => this.noteSuccessfulParts(keys),
      acquirePermit: (request) => this.peers.suspects.acquirePermit(request),
      releasePermit: (request) => this.peers.suspects.releasePermit(request),
      requestLimiter: this.peers.requestLimiter,
      quotas: this.quotas,
      noteAdapterUse: (runner, key) => this.peers.hints.recordAdapterUse(runner, key),
      streamOrigins: this.streamOrigins,
      announceLeaving,
      announceBackoff: (runner, bornMs, durationMs) => this.peers.announceBackoff(runner, bornMs, durationMs)
    })
  }

  /**
   * @example
   * const daemon = ServingDaemon.create(options)
   */
  static create (options: ServingDaemonOptions): ServingDaemon {
    return new ServingDaemon(options)
  }

  /** Whether the platform may route callers to this daemon. */
  get isReady (): boolean {
    return !this.stopping && this.storeWatcher.isSynced && this.configurationSync.confirmVersion()
  }

  /** What this daemon knows of the configuration, for the lines on requests without a route. */
  get configurationEvidence (): ConfigurationEvidence {
    return { version: this.configurations.version, newestVersion: this.configurationSync.newestVersion, storeRead: this.peers.newestStoreRead }
  }

  /**
   * Finds the route of a request, or the refusal of a request that has none.
   *
   * @example
   * daemon.resolveRoute('desk.example', '/orders/17')
   */
  resolveRoute (host: string, path: string): Route | Refusal {
    return this.configurationSync.resolveRoute(host, path)
  }

  /**
   * Resolves once what this daemon knows of routes and runners is current enough to act on, or news can't be had in time.
   *
   * @param signal Ends the wait.
   * @example
   * await daemon.waitUntilCurrent(signal)
   */
  async waitUntilCurrent (signal: AbortSignal): Promise<void> {
    // Behind the request, its caller's close may wait.
    if (this.eventLoop.isHeldUp) await waitForInput()
    if (this.staleness.refresh()) await this.staleness.waitUntilCurrent(signal)
  }

  /** Whether draining or the stop has begun. */
  get isStopping (): boolean {
    return this.stopping
  }

  /**
   * Listens for peers and starts all tasks.
   *
   * @example
   * await daemon.start()
   */
  async start (): Promise<void> {
    await this.peers.start()
    this.storeWatcher.startTasks(this.tasks)
    this.configurationSync.start()
    this.quotas.start(this.tasks)
    this.tasks.startTask('announcement', (signal) => this.storeWatcher.announceSelf(this.options.address, this.options.zone, this.options.processorCores, signal))
    this.tasks.startLoop('leadership', LEADERSHIP_INTERVAL_MS, () => this.leadership.refresh())
    this.tasks.startLoop('unresolved attempts', FACTS_INTERVAL_MS, async () => this.attemptWatch.refresh())
    this.tasks.startLoop('health', EVENT_LOOP_TICK_MS, async () => this.refreshHealth())
    this.tasks.startLoop('facts', FACTS_INTERVAL_MS, () => this.factStore.flush())
    this.tasks.startLoop('records of daemons', FACTS_INTERVAL_MS, () => this.daemonRecords.flush())
    this.tasks.startLoop('software versions', FACTS_INTERVAL_MS, async () => this.refreshVersions())
    this.tasks.startLoop('placement', PLAN_INTERVAL_MS, async () => this.runPlans())
  }

  /**
   * Starts draining: the daemon is no longer ready for callers, and requests in flight continue; those that can't end in time
   * are refused.
   *
   * @example
   * daemon.startDraining({ deadlineAtMs: clock.readMonotonicMs() + 7_000, isChosenUntilMs: clock.readMonotonicMs() + 2_500 })
   */
  startDraining (drain: DrainWindow): void {
    this.stopping = true
    this.dispatcher.setWaitDeadline(drain.deadlineAtMs)
    this.router.startDraining(drain)
  }

  /** Stops the tasks and closes the connections. */
  async stop (): Promise<void> {
    this.stopping = true
    this.peers.close()
    this.options.store.close()
    await this.tasks.stop()
  }

  private runPlans (): void {
    const { clock } = this.options
    const startedAtMs = clock.readMonotonicMs()
    if (startedAtMs < this.nextPlanAtMs) return
    this.placement.runPlans()
    const endedAtMs = clock.readMonotonicMs()
    this.nextPlanAtMs = endedAtMs + computePlanDelayMs(endedAtMs - startedAtMs)
  }

  /** Runs the placement plans once the pause since the last run is over, at once if it is. */
  private schedulePlanning (): void {
    if (this.isPlanScheduled) return
    const { clock } = this.options
    const waitMs = this.nextPlanAtMs - clock.readMonotonicMs()
    if (waitMs <= 0) {
      this.runPlans()
      return
    }
    this.isPlanScheduled = true
    clock.waitFor(waitMs, this.tasks.signal).then(() => {
      this.isPlanScheduled = false
      this.runPlans()
    })
  }

  /** Notes how late this daemon is, how current its state, and whether it reaches runners. */
  private refreshHealth (): void {
    this.eventLoop.tick()
    this.staleness.refresh()
    this.contact.refresh()
  }

  private readCurrency (): StateCurrency {
    const { peers, storeWatcher, configurationSync } = this
    // A daemon that starts has no state yet; it isn't ready, and refuses requests by itself.
    if (!storeWatcher.isSynced) return { storeAgeMs: 0, contactAgeMs: 0, behindForMs: 0, lacksChanges: false, isHeldUp: false }
    const { storeAgeMs, ownAgeMs } = peers.storeAges
    const contactAgeMs = Math.min(this.options.clock.readMonotonicMs() - peers.contactAtMs, ownAgeMs)
    return { storeAgeMs, contactAgeMs, behindForMs: configurationSync.behindForMs, lacksChanges: storeWatcher.lacksChanges, isHeldUp: this.eventLoop.isHeldUp }
  }

  /** Ids of the runners of a service that requests may be sent to. */
  listRunners (service: string): string[] {
    return this.table.listViews(service).map(({ runner }) => runner.id)
  }

  /** Ids of those of them that take new requests. */
  listCandidates (service: string): string[] {
    return this.table.listCandidates(service).map(({ runner }) => runner.id)
  }

  /** Runners of all services that take requests. */
  private listReachableRunners (): Runner[] {
    return [...this.configurations.current?.services.keys() ?? []].flatMap((service) => this.table.listCandidates(service).map(({ runner }) => runner))
  }

  /** The runners as this daemon sees them, for operators. */
  listRunnerStatus (): RunnerStatus[] {
    return listRunnerStatus(this.configurations.current, (service) => this.table.listViews(service))
  }

  /** How this daemon follows the store now. */
  get storeRole (): StoreRole {
    return this.findStoreRole()
  }

  private findStoreRole (): StoreRole {
    const role = this.peers.storeRole
    const { leadership, storeWatcher } = this
    const mustRead = leadership.mustReadStore || leadership.isRestartedLeader || leadership.isInvited || (leadership.isLeader && (storeWatcher.isSharedOutdated || this.daemonRecords.hasUnlisted))
    return role === 'listener' && mustRead ? 'looker' : role
  }

  private async callSuccessor (daemon: string, fence: number): Promise<boolean> {
    const reply = await this.peers.callPeer<boolean>(daemon, 'leader.invite', { fence }, INVITATION_TIMEOUT_MS)
    return reply.ok && reply.value
  }

  private refreshVersions (): void {
    const routes = this.configurations.current?.routes.filter(({ isResumable }) => isResumable) ?? []
    this.versions.refresh(new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service))), this.options.clock.now().getTime())
  }

  private findBudget (service: string): RetryBudget {
    const { perRequest, burst } = this.options.retries
    const share = burst / Math.max(MIN_RETRY_SHARES, this.peers.daemonCount)
    const budget = this.retryBudgets.get(service) ?? RetryBudget.create({ perRequest, maxBalance: share, initialBalance: share })
    this.retryBudgets.set(service, budget)
    return budget
  }

  /** Applies a new fact, whether it originates here or at a peer. */
  private applyFact (fact: Fact): void {
    this.crashHistory.addFact(fact)
    if (fact.type === 'version') this.versions.noteVersion(fact.service, fact.softwareVersion, this.options.clock.now().getTime() - fact.atMs)
    if (fact.type === 'leaving') this.table.markLeaving(fact.runner, fact.bornMs)
    if (fact.type !== 'crash' && fact.type !== 'doubt') return
    this.clearSuccessfulParts(fact)
    const fingerprints = [...fact.suspects, ...fact.bystanders]
    const quarantined = fingerprints.filter((fingerprint) => this.crashHistory.classifyRequest(fingerprint) === 'quarantined')
    this.options.logger.info(fact.type === 'crash' ? 'runner ended under requests' : 'runner may have ended under requests', {
      fact: fact.id, runner: fact.runner, bornMs: fact.bornMs, ageMs: this.options.clock.now().getTime() - fact.atMs, suspects: fact.suspects.map(shortenFingerprint), isolated: fact.isolated.length, bystanders: fact.bystanders.length, quarantined: quarantined.map(shortenFingerprint)
    })
  }

  private noteSuccessfulParts (partKeys: readonly string[]): void {
    for (const key of partKeys) {
      if (isPartKey(key)) this.partSuccesses.noteSuccess(key)
      if (this.crashHistory.listIncarnations(key).length > 0) this.scheduleAcquittal(key)
    }
  }

  /** Parts that a daemon charges because it knows of no success are cleared by the daemons that have had one lately. */
  private clearSuccessfulParts ({ suspects }: CrashFact): void {
    const sinceMs = this.options.clock.readMonotonicMs() - PART_SUCCESS_WINDOW_MS
    for (const key of suspects.filter(isPartKey)) if (this.partSuccesses.hasSucceededSince(key, sinceMs)) this.scheduleAcquittal(key)
  }

  /** Clears a prompt part of the crashes known now. Many daemons see it succeed at once, so each waits whether another is first. */
  private scheduleAcquittal (partKey: string): void {
    if (this.scheduledAcquittals.has(partKey)) return
    this.scheduledAcquittals.add(partKey)
    const { clock } = this.options
    const cleared = this.crashHistory.listIncarnations(partKey)
    clock.waitFor(Math.random() * MAX_ACQUITTAL_DELAY_MS, this.tasks.signal).then(() => {
      this.scheduledAcquittals.delete(partKey)
      const counted = new Set(this.crashHistory.listIncarnations(partKey))
      const incarnations = cleared.filter((incarnation) => counted.has(incarnation))
      if (incarnations.length === 0) return
      this.options.logger.info('prompt part cleared of crashes', { part: partKey, incarnations })
      for (const incarnation of incarnations) {
        // The same id at every daemon: what several find out at once is kept as one fact.
        this.publishDurableFact({ type: 'acquittal', id: `acquittal/${partKey}/${incarnation}`, fingerprint: partKey, incarnations: [incarnation], atMs: clock.now().getTime() })
      }
    })
  }

  /** Whether a runner's process has ended according to the list of runners, without having announced that it was leaving. */
  private hasRunnerEnded ({ runner, bornMs }: CrashFact): boolean {
    return this.storeWatcher.isSynced && this.table.findRunner(runner)?.bornMs !== bornMs && !this.table.isMarkedLeaving(runner, bornMs)
  }

  private reportCrash (type: CrashFact['type'], runner: Runner, crash: Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>): void {
    this.table.startCooldown(runner.id)
    this.publishDurableFact({ type, id: makeId(type), runner: runner.id, bornMs: runner.bornMs, atMs: this.options.clock.now().getTime(), ...crash })
  }

  /** Publishes a fact and queues it for the store, so that it survives this daemon. */
  private publishDurableFact (fact: Fact): void {
    this.factStore.addPending(fact)
    this.peers.publishFact(fact)
  }
}
