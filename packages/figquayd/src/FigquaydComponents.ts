/** Creates the components of a daemon and wires them together. */
import moleculer, { type ServiceBroker } from 'moleculer'
import { JsonLogger, makeId, SystemClock, TaskGroup, type Clock, type Logger } from 'figquay'
import type { Configuration } from 'figquay-contracts'
import { OperatorGateway, type GatewayContext } from 'figquay-gateway'
import { IdempotencyExecutor } from 'figquay-idempotency'
import { Membership } from 'figquay-membership'
import { HintTable, PeerMesh, type PeerAddress, type PeerMethods } from 'figquay-peers'
import { LeaseManager, makeModelId, OrderDispatcher, PlacementController } from 'figquay-placement'
import { BurnRateTracker, Metrics } from 'figquay-report'
import { CompletionRouter, CrashQuarantine, CustomerRateLimiter, Dispatcher, EngineMonitor, FirstTokenPredictor, ModelLoadTracker, ModelDemand, RequestTraces, RetryBudget, RunnerTable, ServiceRouter, type RunnerReport } from 'figquay-routing'
import { HintExchange } from './FigquaydHintExchange.js'
import { makeOperatorMethods } from './FigquaydOperatorMethods.js'
import { makePeerMethods } from './FigquaydPeerMethods.js'
import type { DaemonPlugins } from './FigquaydPlugins.js'
import { ReservationCoordinator } from './FigquaydReservationCoordinator.js'
import type { Settings } from './FigquaydSettings.js'
import { RunnerReportSync } from './FigquaydRunnerReportSync.js'
import { readStatus, registerGauges, type StatusSource } from './FigquaydStatus.js'
import { DaemonStreams } from './FigquaydStreams.js'
import { SuspectCoordinator } from './FigquaydSuspectCoordinator.js'

const ADAPTER_LOAD_TIMEOUT_MS = 1_000

/** All components of one daemon; creating them starts no task and opens no port. */
export class DaemonComponents {
  readonly clock: Clock = SystemClock.create()
  readonly logger: Logger
  readonly tasks: TaskGroup
  private readonly hintTable = HintTable.create()
  private readonly metrics = Metrics.create()
  private readonly quarantine = CrashQuarantine.create()
  private readonly modelLoads = ModelLoadTracker.create(this.clock)
  private readonly predictor: FirstTokenPredictor
  private readonly burn: BurnRateTracker
  private readonly traces: RequestTraces
  readonly activeExchanges = new Set<string>()
  readonly membership: Membership
  readonly streams: DaemonStreams
  readonly mesh: PeerMesh
  private readonly reservations: ReservationCoordinator
  private readonly suspects: SuspectCoordinator
  private readonly reportSync: RunnerReportSync
  private readonly table: RunnerTable
  private readonly dispatcher: Dispatcher
  readonly monitor: EngineMonitor
  private readonly rateLimiter: CustomerRateLimiter
  readonly hintExchange: HintExchange
  private readonly modelDemand: ModelDemand
  readonly leases: LeaseManager
  readonly placement: PlacementController
  readonly idempotency: IdempotencyExecutor
  readonly services: ServiceRouter
  private readonly retryBudget = RetryBudget.create()
  readonly operatorGateway: OperatorGateway
  readonly broker: ServiceBroker
  /** `daemon/run`: distinguishes this process from earlier ones of the same daemon. */
  readonly incarnationId: string
  private isDraining = false

  private constructor (readonly settings: Settings, readonly plugins: DaemonPlugins) {
    const { clock } = this
    this.logger = JsonLogger.create(settings.id, settings.logLevel)
    this.tasks = TaskGroup.create(clock, this.logger)
    this.incarnationId = `${settings.id}/${makeId('run')}`
    this.burn = BurnRateTracker.create(clock)
    this.traces = RequestTraces.create(clock)
    this.membership = Membership.create({ roster: plugins.roster, clock, logger: this.logger })
    this.streams = DaemonStreams.create({
      daemon: settings.id,
      log: plugins.log,
      clock,
      logger: this.logger,
      claimPartitions: settings.claimPartitions,
      snapshotEveryMs: settings.snapshots.every,
      snapshotRecords: settings.snapshots.records
    })
    this.mesh = PeerMesh.create({ self: this.ownAddress, secrets: settings.peerSecrets, methods: this.makePeerMethods(), clock, logger: this.logger })
    this.table = RunnerTable.create({ clock, hints: this.hintTable, readLeavingMs: (runner) => this.membership.readLeavingMs(runner) })
    this.reportSync = this.makeReportSync()
    this.suspects = SuspectCoordinator.create({ daemon: settings.id, clock, mesh: this.mesh, table: this.table, quarantine: this.quarantine, findHolder: (runner) => this.findHolder(runner) })
    this.modelDemand = ModelDemand.create({ clock, hints: this.hintTable, table: this.table })
    this.predictor = FirstTokenPredictor.create(this.table, clock)
    this.reservations = ReservationCoordinator.create({ daemon: settings.id, clock, mesh: this.mesh, estimator: this.predictor, findHolder: (runner) => this.findHolder(runner) })
    this.dispatcher = this.makeDispatcher()
    this.monitor = this.makeMonitor()
    this.rateLimiter = CustomerRateLimiter.create({ clock, hints: this.hintTable, countDaemons: () => this.countServingDaemons() })
    this.leases = LeaseManager.create({ holder: this.incarnationId, stream: this.streams.placement, appender: this.streams.placementAppender, membership: this.membership, clock, logger: this.logger })
    this.placement = this.makePlacement()
    this.idempotency = IdempotencyExecutor.create({ daemon: this.incarnationId, partitions: this.streams.claims, clock, logger: this.logger, hasDaemonExited: (incarnationId) => this.hasDaemonExited(incarnationId) })
    this.hintExchange = this.makeHintExchange()
    this.services = ServiceRouter.create({ clock, logger: this.logger, membership: this.membership, client: plugins.services, retryBudget: this.retryBudget, traces: this.traces })
    this.operatorGateway = this.makeOperatorGateway()
    this.broker = new moleculer.ServiceBroker({ nodeID: settings.id, logger: false, metrics: false, skipProcessEventRegistration: true, requestTimeout: 0 })
    registerGauges(this.metrics, this.statusSource)
  }

  /**
   * @example
   * const components = DaemonComponents.create(settings, plugins)
   */
  static create (settings: Settings, plugins: DaemonPlugins): DaemonComponents {
    return new DaemonComponents(settings, plugins)
  }

  /** Marks the daemon as draining: it is no longer ready for callers. */
  startDraining (): void {
    this.isDraining = true
  }

  private get ownAddress (): PeerAddress {
    const { host, port } = this.settings.listen.peers
    return { id: this.settings.id, zone: this.settings.zone, address: `${host}:${port}` }
  }

  private readConfiguration (): Configuration | undefined {
    return this.streams.configuration.position > 0 ? this.streams.configuration.stateMachine.configuration : undefined
  }

  private get isReady (): boolean {
    return !this.isDraining && this.membership.hasReadRoster && (this.readConfiguration()?.deployment.contracts.length ?? 0) > 0
  }

  private countServingDaemons (): number {
    return this.membership.listVms('daemon').filter((vm) => !this.membership.isLeaving(vm.id)).length
  }

  /** Whether a daemon process has ended: only the process that made a claim can settle it. */
  private hasDaemonExited (incarnationId: string): boolean {
    if (incarnationId === this.incarnationId) return false
    const daemon = incarnationId.split('/')[0]!
    if (daemon === this.settings.id) return true
    return this.membership.findVm(daemon) === undefined
  }

  /** Updates the peer connections to the daemons listed by the roster. */
  connectPeers (): void {
    const daemons = this.membership.listVms('daemon').map((vm) => ({ id: vm.id, zone: vm.zone, address: vm.peer }))
    this.mesh.setDaemons(daemons, this.tasks)
  }

  private handlePolledReport (report: RunnerReport): void {
    this.suspects.clearUpstream(`${report.runner}/${report.state.bootId}`, report.requestedAtMs)
    this.handleReport(report)
  }

  private handleReport (report: RunnerReport): void {
    this.modelLoads.recordReport(report)
    this.dispatcher.schedulePass()
  }

  private makePeerMethods (): PeerMethods {
    return makePeerMethods({
      streams: this.streams,
      burn: this.burn,
      traces: this.traces,
      getPlacement: () => this.placement,
      getSuspects: () => this.suspects,
      getReservations: () => this.reservations,
      getReportSync: () => this.reportSync,
      readStatus: () => readStatus(this.statusSource),
      applyHints: (parts) => this.hintExchange.applyHints(parts)
    })
  }

  private makeHintExchange (): HintExchange {
    return HintExchange.create({
      daemon: this.settings.id,
      clock: this.clock,
      mesh: this.mesh,
      hintTable: this.hintTable,
      table: this.table,
      rateLimiter: this.rateLimiter,
      modelDemand: this.modelDemand,
      membership: this.membership,
      streams: this.streams,
      reportSync: this.reportSync,
      onHints: () => this.dispatcher.schedulePass()
    })
  }

  private get statusSource (): StatusSource {
    return {
      daemon: this.settings.id,
      zone: this.settings.zone,
      streams: this.streams,
      mesh: this.mesh,
      leases: this.leases,
      countActiveExchanges: () => this.activeExchanges.size,
      countQueuedRequests: () => this.dispatcher.queueLength,
      isReady: () => this.isReady,
      isDraining: () => this.isDraining
    }
  }

  private makeReportSync (): RunnerReportSync {
    return RunnerReportSync.create({
      daemon: this.settings.id,
      clock: this.clock,
      mesh: this.mesh,
      membership: this.membership,
      table: this.table,
      findCell: (vm) => this.placement.findCell(vm),
      findHolder: (cell) => this.leases.findHolder(cell),
      onVersionChange: () => this.hintExchange.scheduleHints(),
      onReport: (report) => this.handleReport(report)
    })
  }

  private makeMonitor (): EngineMonitor {
    const { usesReportedLoad } = this.plugins.selector
    return EngineMonitor.create({
      clock: this.clock,
      logger: this.logger,
      membership: this.membership,
      engines: this.plugins.engines,
      table: this.table,
      isPolledLocally: (vm) => usesReportedLoad || this.reportSync.isPolledLocally(vm),
      usesReportedLoad,
      onReport: (report) => this.handlePolledReport(report)
    })
  }

  private makeDispatcher (): Dispatcher {
    return Dispatcher.create({
      clock: this.clock,
      table: this.table,
      predictor: this.predictor,
      selector: this.plugins.selector,
      admission: this.plugins.admission,
      crashes: this.quarantine,
      demand: this.modelDemand,
      modelLoads: this.modelLoads,
      refreshRunners: (pool, sinceMs) => this.monitor.refreshRunners(pool, sinceMs),
      reserveCapacity: (request) => this.reservations.reserveCapacity(request),
      releaseReservation: (runner, requestId) => this.reservations.releaseReservation(runner, requestId)
    })
  }

  private makePlacement (): PlacementController {
    const orders = OrderDispatcher.create({
      holder: this.incarnationId,
      stream: this.streams.placement,
      appender: this.streams.placementAppender,
      leases: this.leases,
      membership: this.membership,
      engines: this.plugins.engines,
      clock: this.clock,
      logger: this.logger
    })
    return PlacementController.create({
      leases: this.leases,
      orders,
      policy: this.plugins.placement,
      table: this.table,
      membership: this.membership,
      clock: this.clock,
      logger: this.logger,
      readConfiguration: () => this.readConfiguration(),
      readDemand: (model) => this.modelDemand.readDemand(model),
      onMove: (move) => this.metrics.countMove(move.action, move.result)
    })
  }

  private makeCompletionRouter (): CompletionRouter {
    return CompletionRouter.create({
      clock: this.clock,
      logger: this.logger,
      engines: this.plugins.engines,
      dispatcher: this.dispatcher,
      table: this.table,
      predictor: this.predictor,
      retryBudget: this.retryBudget,
      quarantine: this.quarantine,
      traces: this.traces,
      probeRunner: (runner) => this.monitor.probeRunner(runner),
      reportCrash: (attribution) => this.suspects.recordCrash(attribution),
      loadAdapter: (runner, model, adapter) => this.loadAdapter(runner, model, adapter),
      acquirePermit: (runner, requestId) => this.suspects.acquirePermit(runner, requestId),
      releasePermit: (runner, requestId) => this.suspects.releasePermit(runner, requestId),
      readRank: (request) => this.plugins.admission.getEnginePriority(request),
      listModelIds: (model) => this.listModelIds(model)
    })
  }

  /** Lists the current version first; older loaded versions serve until the current one is ready on a runner. */
  private listModelIds (name: string): string[] {
    const model = this.readConfiguration()?.findModel(name)
    const current = model === undefined ? [] : [makeModelId(model)]
    const olderVersions = this.table.listReports().flatMap((report) => report.state.models.map((loaded) => loaded.id)).filter((id) => id.startsWith(`${name}@`))
    return [...new Set([...current, ...olderVersions])]
  }

  /** Loads an adapter through the daemon that holds the lease on the runner's cell; only that one sends orders to the runner. */
  private async loadAdapter (runner: string, model: string, adapter: string): Promise<boolean> {
    const holder = this.findHolder(runner)
    if (holder === undefined) return false
    if (holder === this.settings.id) return await this.placement.loadAdapter(runner, model, adapter)
    const reply = await this.mesh.callPeer<boolean>(holder, 'placement.loadAdapter', { runner, model, adapter }, ADAPTER_LOAD_TIMEOUT_MS)
    return reply.ok && reply.value
  }

  private findHolder (runner: string): string | undefined {
    const vm = this.membership.findVm(runner)
    return vm === undefined ? undefined : this.leases.findHolder(this.placement.findCell(vm))
  }

  /** Makes the dependencies of the caller gateway. */
  makeGatewayContext (): GatewayContext {
    return {
      daemon: this.settings.id,
      clock: this.clock,
      logger: this.logger,
      completionRouter: this.makeCompletionRouter(),
      serviceRouter: this.services,
      idempotencyExecutor: this.idempotency,
      customerRateLimiter: this.rateLimiter,
      modelDemand: this.modelDemand,
      metrics: this.metrics,
      burnRateTracker: this.burn,
      traces: this.traces,
      activeExchanges: this.activeExchanges,
      readConfiguration: () => this.readConfiguration(),
      isDraining: () => this.isDraining
    }
  }

  private makeOperatorGateway (): OperatorGateway {
    const methods = makeOperatorMethods({
      daemon: this.settings.id,
      clock: this.clock,
      streams: this.streams,
      mesh: this.mesh,
      table: this.table,
      leases: this.leases,
      placement: this.placement,
      traces: this.traces,
      burn: this.burn,
      readStatus: () => readStatus(this.statusSource),
      startDrain: () => {
        process.kill(process.pid, 'SIGTERM')
      }
    })
    return OperatorGateway.create({ keyHashes: this.settings.operatorKeys, metrics: this.metrics, methods, isReady: () => this.isReady })
  }
}
