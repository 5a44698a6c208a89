/** The parts of one daemon, wired together. */
import moleculer, { type ServiceBroker } from 'moleculer'
import { JsonLogger, makeId, SystemClock, TaskGroup, type Clock, type Logger } from 'figquay'
import type { Configuration } from 'figquay-contracts'
import { OperatorGateway, type GatewayContext } from 'figquay-gateway'
import { IdempotencyExecutor } from 'figquay-idempotency'
import { Membership } from 'figquay-membership'
import { HintTable, PeerMesh, type PeerAddress, type PeerMethods } from 'figquay-peers'
import { LeaseKeeper, makeModelId, OrderBook, PlacementController } from 'figquay-placement'
import { BurnTracker, Metrics } from 'figquay-report'
import { CompletionRouter, CrashGuard, CustomerRateLimiter, Dispatcher, EngineMonitor, FirstTokenPredictor, LoadWatch, ModelDemand, RequestTraces, RetryBudget, RunnerTable, ServiceRouter, type RunnerReport } from 'figquay-routing'
import { HintExchange } from './FigquaydHintExchange.js'
import { makeOperatorMethods } from './FigquaydOperatorMethods.js'
import { makePeerMethods } from './FigquaydPeerMethods.js'
import type { ChosenPlugins } from './FigquaydPlugins.js'
import { Reservations } from './FigquaydReservations.js'
import type { Settings } from './FigquaydSettings.js'
import { SharedReports } from './FigquaydSharedReports.js'
import { readStatus, registerGauges, type StatusSource } from './FigquaydStatus.js'
import { DaemonStreams } from './FigquaydStreams.js'
import { Suspects } from './FigquaydSuspects.js'

const ADAPTER_CALL_MS = 1_000

/** All parts; nothing runs yet. */
export class DaemonParts {
  readonly clock: Clock = SystemClock.create()
  readonly logger: Logger
  readonly tasks: TaskGroup
  private readonly hints = HintTable.create()
  private readonly metrics = Metrics.create()
  private readonly crashes = CrashGuard.create()
  private readonly loads = LoadWatch.create(this.clock)
  private readonly predictor: FirstTokenPredictor
  private readonly burn: BurnTracker
  private readonly traces: RequestTraces
  readonly activeExchanges = new Set<string>()
  readonly membership: Membership
  readonly streams: DaemonStreams
  readonly mesh: PeerMesh
  private readonly reservations: Reservations
  private readonly suspects: Suspects
  private readonly reports: SharedReports
  private readonly table: RunnerTable
  private readonly dispatcher: Dispatcher
  readonly monitor: EngineMonitor
  private readonly limits: CustomerRateLimiter
  readonly hintExchange: HintExchange
  private readonly modelDemand: ModelDemand
  readonly leases: LeaseKeeper
  readonly placement: PlacementController
  readonly idempotency: IdempotencyExecutor
  readonly services: ServiceRouter
  private readonly retries = RetryBudget.create()
  readonly operators: OperatorGateway
  readonly broker: ServiceBroker
  readonly holder: string
  private draining = false

  private constructor (readonly settings: Settings, readonly plugins: ChosenPlugins) {
    const { clock } = this
    this.logger = JsonLogger.create(settings.id, settings.logLevel)
    this.tasks = TaskGroup.create(clock, this.logger)
    this.holder = `${settings.id}/${makeId('run')}`
    this.burn = BurnTracker.create(clock)
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
    this.mesh = PeerMesh.create({ self: this.ownAddress, secrets: settings.peerSecrets, methods: this.makeMethods(), clock, logger: this.logger })
    this.table = RunnerTable.create({ clock, hints: this.hints, readLeavingMs: (runner) => this.membership.readLeavingMs(runner) })
    this.reports = this.makeReports()
    this.suspects = Suspects.create({ daemon: settings.id, clock, mesh: this.mesh, table: this.table, crashes: this.crashes, findHolder: (runner) => this.findHolder(runner) })
    this.modelDemand = ModelDemand.create({ clock, hints: this.hints, table: this.table })
    this.predictor = FirstTokenPredictor.create(this.table, clock)
    this.reservations = Reservations.create({ daemon: settings.id, clock, mesh: this.mesh, estimator: this.predictor, findHolder: (runner) => this.findHolder(runner) })
    this.dispatcher = this.makeDispatcher()
    this.monitor = this.makeMonitor()
    this.limits = CustomerRateLimiter.create({ clock, hints: this.hints, countDaemons: () => this.countServingDaemons() })
    this.leases = LeaseKeeper.create({ holder: this.holder, stream: this.streams.placement, appender: this.streams.placementAppender, membership: this.membership, clock, logger: this.logger })
    this.placement = this.makePlacement()
    this.idempotency = IdempotencyExecutor.create({ daemon: this.holder, partitions: this.streams.claims, clock, logger: this.logger, isDaemonGone: (holder) => this.isHolderGone(holder) })
    this.hintExchange = this.makeHintExchange()
    this.services = ServiceRouter.create({ clock, logger: this.logger, membership: this.membership, client: plugins.services, retryBudget: this.retries, traces: this.traces })
    this.operators = this.makeOperators()
    this.broker = new moleculer.ServiceBroker({ nodeID: settings.id, logger: false, metrics: false, skipProcessEventRegistration: true, requestTimeout: 0 })
    registerGauges(this.metrics, this.statusSource)
  }

  /**
   * @example
   * const parts = DaemonParts.create(settings, plugins)
   */
  static create (settings: Settings, plugins: ChosenPlugins): DaemonParts {
    return new DaemonParts(settings, plugins)
  }

  /** From now on the daemon is not ready for callers. */
  beginDraining (): void {
    this.draining = true
  }

  private get ownAddress (): PeerAddress {
    const { host, port } = this.settings.listen.peers
    return { id: this.settings.id, zone: this.settings.zone, address: `${host}:${port}` }
  }

  private readConfiguration (): Configuration | undefined {
    return this.streams.configuration.position > 0 ? this.streams.configuration.fold.configuration : undefined
  }

  private get isReady (): boolean {
    return !this.draining && this.membership.hasReadRoster && (this.readConfiguration()?.deployment.contracts.length ?? 0) > 0
  }

  private countServingDaemons (): number {
    return this.membership.listVms('daemon').filter((vm) => !this.membership.isLeaving(vm.id)).length
  }

  /** A claim's daemon can settle it only while the same process is there. */
  private isHolderGone (holder: string): boolean {
    if (holder === this.holder) return false
    const daemon = holder.split('/')[0]!
    if (daemon === this.settings.id) return true
    return this.membership.findVm(daemon) === undefined
  }

  /** Connects to the daemons that the roster lists. */
  connectPeers (): void {
    const daemons = this.membership.listVms('daemon').map((vm) => ({ id: vm.id, zone: vm.zone, address: vm.peer }))
    this.mesh.setDaemons(daemons, this.tasks)
  }

  private takeOwnReport (report: RunnerReport): void {
    this.suspects.clearUpstream(`${report.runner}/${report.state.bootId}`, report.requestedAtMs)
    this.takeReport(report)
  }

  private takeReport (report: RunnerReport): void {
    this.loads.noteReport(report)
    this.dispatcher.planPass()
  }

  private makeMethods (): PeerMethods {
    return makePeerMethods({
      streams: this.streams,
      burn: this.burn,
      traces: this.traces,
      readPlacement: () => this.placement,
      readSuspects: () => this.suspects,
      readReservations: () => this.reservations,
      readReports: () => this.reports,
      readStatus: () => readStatus(this.statusSource),
      takeHints: (parts) => this.hintExchange.takeHints(parts)
    })
  }

  private makeHintExchange (): HintExchange {
    return HintExchange.create({
      daemon: this.settings.id,
      clock: this.clock,
      mesh: this.mesh,
      hints: this.hints,
      table: this.table,
      limits: this.limits,
      modelDemand: this.modelDemand,
      membership: this.membership,
      streams: this.streams,
      reports: this.reports,
      onHints: () => this.dispatcher.planPass()
    })
  }

  private get statusSource (): StatusSource {
    return {
      daemon: this.settings.id,
      zone: this.settings.zone,
      streams: this.streams,
      mesh: this.mesh,
      leases: this.leases,
      countActive: () => this.activeExchanges.size,
      countQueued: () => this.dispatcher.queueLength,
      isReady: () => this.isReady,
      isDraining: () => this.draining
    }
  }

  private makeReports (): SharedReports {
    return SharedReports.create({
      daemon: this.settings.id,
      clock: this.clock,
      mesh: this.mesh,
      membership: this.membership,
      table: this.table,
      findCell: (vm) => this.placement.findCell(vm),
      findHolder: (cell) => this.leases.findHolder(cell),
      onChange: () => this.hintExchange.planHints(),
      onReport: (report) => this.takeReport(report)
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
      isWatched: (vm) => usesReportedLoad || this.reports.isWatched(vm),
      isLoadUsed: usesReportedLoad,
      onReport: (report) => this.takeOwnReport(report)
    })
  }

  private makeDispatcher (): Dispatcher {
    return Dispatcher.create({
      clock: this.clock,
      table: this.table,
      predictor: this.predictor,
      selector: this.plugins.selector,
      admission: this.plugins.admission,
      crashes: this.crashes,
      demand: this.modelDemand,
      modelLoads: this.loads,
      refreshRunners: (pool, sinceMs) => this.monitor.refreshRunners(pool, sinceMs),
      reserveRoom: (request) => this.reservations.reserveRunner(request),
      endReservation: (runner, requestId) => this.reservations.endReservation(runner, requestId)
    })
  }

  private makePlacement (): PlacementController {
    const orders = OrderBook.create({
      holder: this.holder,
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

  private makeCompletions (): CompletionRouter {
    return CompletionRouter.create({
      clock: this.clock,
      logger: this.logger,
      engines: this.plugins.engines,
      dispatcher: this.dispatcher,
      table: this.table,
      predictor: this.predictor,
      retryBudget: this.retries,
      crashes: this.crashes,
      traces: this.traces,
      probeRunner: (runner) => this.monitor.probeRunner(runner),
      chargeRequest: (charge) => this.suspects.takeCharge(charge),
      loadAdapter: (runner, model, adapter) => this.loadAdapter(runner, model, adapter),
      takePermit: (runner, requestId) => this.suspects.takePermit(runner, requestId),
      returnPermit: (runner, requestId) => this.suspects.returnPermit(runner, requestId),
      readRank: (request) => this.plugins.admission.readRank(request),
      listModelIds: (model) => this.listModelIds(model)
    })
  }

  /** The current version first; older ones serve until it is ready somewhere. */
  private listModelIds (name: string): string[] {
    const model = this.readConfiguration()?.findModel(name)
    const current = model === undefined ? [] : [makeModelId(model)]
    const older = this.table.listReports().flatMap((report) => report.state.models.map((loaded) => loaded.id)).filter((id) => id.startsWith(`${name}@`))
    return [...new Set([...current, ...older])]
  }

  /** Only the holder of a runner's cell orders it; others ask the holder. */
  private async loadAdapter (runner: string, model: string, adapter: string): Promise<boolean> {
    const holder = this.findHolder(runner)
    if (holder === undefined) return false
    if (holder === this.settings.id) return await this.placement.loadAdapter(runner, model, adapter)
    const reply = await this.mesh.callPeer<boolean>(holder, 'placement.loadAdapter', { runner, model, adapter }, ADAPTER_CALL_MS)
    return reply.ok && reply.value
  }

  private findHolder (runner: string): string | undefined {
    const vm = this.membership.findVm(runner)
    return vm === undefined ? undefined : this.leases.findHolder(this.placement.findCell(vm))
  }

  /** What the gateway for callers needs. */
  makeGatewayContext (): GatewayContext {
    return {
      daemon: this.settings.id,
      clock: this.clock,
      logger: this.logger,
      completions: this.makeCompletions(),
      services: this.services,
      idempotency: this.idempotency,
      limits: this.limits,
      modelDemand: this.modelDemand,
      metrics: this.metrics,
      burn: this.burn,
      traces: this.traces,
      activeExchanges: this.activeExchanges,
      readConfiguration: () => this.readConfiguration(),
      isDraining: () => this.draining
    }
  }

  private makeOperators (): OperatorGateway {
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
