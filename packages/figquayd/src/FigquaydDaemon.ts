/** One daemon: all parts wired together, started in order and stopped without cutting anything off. */
import moleculer, { type ServiceBroker } from 'moleculer'
import { invariant, JsonLogger, makeId, SystemClock, TaskGroup, type Clock, type Logger } from 'figquay'
import type { Configuration } from 'figquay-contracts'
import { OperatorGateway, registerCallerGateway, type GatewayContext } from 'figquay-gateway'
import { IdempotencyRunner } from 'figquay-idempotency'
import { Membership } from 'figquay-membership'
import { HintSender, HintTable, PeerMesh, type HintParts, type Hints, type PeerAddress, type PeerMethods } from 'figquay-peers'
import { LeaseKeeper, makeModelId, OrderBook, PlacementController } from 'figquay-placement'
import { BurnTracker, Metrics, type DaemonStatus } from 'figquay-report'
import { CompletionRouter, CrashGuard, CustomerLimits, Dispatcher, EngineMonitor, FirstTokenPredictor, LoadWatch, ModelDemand, RequestTraces, RetryBudget, RunnerTable, ServiceRouter, type RunnerReport } from 'figquay-routing'
import { makeOperatorMethods } from './FigquaydOperatorMethods.js'
import { makePeerMethods } from './FigquaydPeerMethods.js'
import type { ChosenPlugins } from './FigquaydPlugins.js'
import { Reservations } from './FigquaydReservations.js'
import type { Settings } from './FigquaydSettings.js'
import { SharedReports } from './FigquaydSharedReports.js'
import { DaemonStreams } from './FigquaydStreams.js'
import { Suspects } from './FigquaydSuspects.js'

const HINT_INTERVAL_MS = 1_000
/** News for peers are gathered for this long, in milliseconds. */
const NEWS_DELAY_MS = 20
const DRAIN_POLL_MS = 50
const SETTLE_ORDERS_MS = 8_000
const ADAPTER_CALL_MS = 1_000

/** A running daemon. */
export class Daemon {
  private readonly clock: Clock = SystemClock.create()
  private readonly logger: Logger
  private readonly tasks: TaskGroup
  private readonly hints = HintTable.create()
  private readonly hintSender = HintSender.create()
  private readonly metrics = Metrics.create()
  private readonly crashes = CrashGuard.create()
  private readonly loads = LoadWatch.create(this.clock)
  private readonly predictor: FirstTokenPredictor
  private readonly burn: BurnTracker
  private readonly traces: RequestTraces
  private readonly activeExchanges = new Set<string>()
  private readonly membership: Membership
  private readonly streams: DaemonStreams
  private readonly mesh: PeerMesh
  private readonly reservations: Reservations
  private readonly suspects: Suspects
  private readonly reports: SharedReports
  private readonly table: RunnerTable
  private readonly dispatcher: Dispatcher
  private readonly monitor: EngineMonitor
  private readonly limits: CustomerLimits
  private readonly modelDemand: ModelDemand
  private readonly leases: LeaseKeeper
  private readonly placement: PlacementController
  private readonly idempotency: IdempotencyRunner
  private readonly services: ServiceRouter
  private readonly retries = RetryBudget.create()
  private readonly operators: OperatorGateway
  private readonly broker: ServiceBroker
  private readonly holder: string
  private undoCallers: (() => Promise<void>) | undefined
  private draining = false
  private hintsPlanned = false
  private stopping: Promise<void> | undefined

  private constructor (private readonly settings: Settings, private readonly plugins: ChosenPlugins) {
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
    this.monitor = EngineMonitor.create({ clock, logger: this.logger, membership: this.membership, engines: plugins.engines, table: this.table, isWatched: (vm) => plugins.selector.usesReportedLoad || this.reports.isWatched(vm), isLoadUsed: plugins.selector.usesReportedLoad, onReport: (report) => this.takeOwnReport(report) })
    this.limits = CustomerLimits.create({ clock, hints: this.hints, countDaemons: () => this.countServingDaemons() })
    this.leases = LeaseKeeper.create({ holder: this.holder, stream: this.streams.placement, appender: this.streams.placementAppender, membership: this.membership, clock, logger: this.logger })
    this.placement = this.makePlacement()
    this.idempotency = IdempotencyRunner.create({ daemon: this.holder, partitions: this.streams.claims, clock, logger: this.logger, isDaemonGone: (holder) => this.isHolderGone(holder) })
    this.services = ServiceRouter.create({ clock, logger: this.logger, membership: this.membership, client: plugins.services, retries: this.retries, traces: this.traces })
    this.operators = this.makeOperators()
    this.broker = new moleculer.ServiceBroker({ nodeID: settings.id, logger: false, metrics: false, skipProcessEventRegistration: true, requestTimeout: 0 })
    this.registerGauges()
  }

  /**
   * @example
   * const daemon = Daemon.create(settings, plugins)
   * await daemon.start()
   */
  static create (settings: Settings, plugins: ChosenPlugins): Daemon {
    return new Daemon(settings, plugins)
  }

  /** Listens and starts every task. */
  async start (): Promise<void> {
    const { listen } = this.settings
    await this.membership.refresh()
    await this.mesh.listen(listen.peers.host, listen.peers.port)
    await this.operators.listen(listen.operators.host, listen.operators.port)
    this.membership.start(this.tasks)
    this.membership.registerListener(() => this.connectPeers())
    this.membership.registerListener(() => this.planHints())
    this.connectPeers()
    this.streams.start(this.tasks, this.mesh)
    this.monitor.start(this.tasks)
    this.services.start(this.tasks)
    this.placement.start(this.tasks)
    this.tasks.startLoop('hints', HINT_INTERVAL_MS, async () => this.sendHints())
    this.undoCallers = registerCallerGateway(this.broker, this.makeGatewayContext(), listen.callers)
    await this.broker.start()
    this.logger.info('listening', { callers: listen.callers, operators: listen.operators, peers: listen.peers })
  }

  /**
   * Stops gracefully: nothing in flight is cut off, however long it takes. A second call changes nothing.
   *
   * @example
   * process.on('SIGTERM', () => daemon.stop())
   */
  stop (): Promise<void> {
    this.stopping ??= this.drain()
    return this.stopping
  }

  private async drain (): Promise<void> {
    this.draining = true
    this.logger.info('draining', { active: this.activeExchanges.size })
    await this.leases.releaseAll()
    // Until the balancer has seen that this daemon is not ready it still sends callers here.
    await this.clock.waitFor(this.settings.drainGrace)
    while (this.activeExchanges.size > 0) await this.clock.waitFor(DRAIN_POLL_MS)
    await this.undoCallers?.()
    await this.idempotency.flush()
    await this.waitForOrders()
    await this.tasks.stop()
    this.operators.close()
    this.mesh.close()
    await this.broker.stop()
    for (const plugin of [this.plugins.log, this.plugins.roster, this.plugins.engines, this.plugins.services]) plugin.close()
    this.logger.info('stopped')
  }

  /** Orders that may still act are settled before the one that can settle them goes. */
  private async waitForOrders (): Promise<void> {
    const { placement } = this.streams
    await placement.waitUntil(() => placement.fold.countIntentsOf(this.holder) === 0, SETTLE_ORDERS_MS)
  }

  private get ownAddress (): PeerAddress {
    const { host, port } = this.settings.listen.peers
    return { id: this.settings.id, zone: this.settings.zone, address: `${host}:${port}` }
  }

  private readConfiguration (): Configuration | undefined {
    return this.streams.configuration.position > 0 ? this.streams.configuration.fold.configuration : undefined
  }

  private get isReady (): boolean {
    return !this.draining && this.membership.isKnown && (this.readConfiguration()?.deployment.contracts.length ?? 0) > 0
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

  private connectPeers (): void {
    const daemons = this.membership.listVms('daemon').map((vm) => ({ id: vm.id, zone: vm.zone, address: vm.peer }))
    this.mesh.setDaemons(daemons, this.tasks)
  }

  /** Sends hints soon, without waiting for their turn. */
  private planHints (): void {
    if (this.hintsPlanned) return
    this.hintsPlanned = true
    setTimeout(() => {
      this.hintsPlanned = false
      this.sendHints()
    }, NEWS_DELAY_MS)
  }

  private sendHints (): void {
    this.hints.dropExpired(this.clock.readMonotonicMs())
    const hints: Hints = {
      daemon: this.settings.id,
      positions: this.streams.listPositions(),
      ...this.table.exportInFlight(),
      customerDemand: this.limits.listDemand(),
      modelDemand: this.modelDemand.listOwn(),
      cells: this.reports.listVersions(),
      leaving: this.membership.listLeaving()
    }
    const parts = this.hintSender.selectParts(hints, this.clock.readMonotonicMs())
    if (parts !== undefined) this.mesh.sendToAll('hints.put', parts)
  }

  private takeHints (parts: Partial<HintParts> & { readonly daemon: string }): void {
    const hints = this.hints.putParts(parts, this.clock.readMonotonicMs())
    for (const vm of hints.leaving) this.membership.markLeaving(vm, 'peer')
    this.dispatcher.planPass()
    this.streams.catchUp(this.mesh, hints)
    this.reports.takeHints(hints)
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
      readStatus: () => this.readStatus(),
      takeHints: (parts) => this.takeHints(parts)
    })
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
      onNews: () => this.planHints(),
      onReport: (report) => this.takeReport(report)
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
      loads: this.loads,
      refreshRunners: (pool, sinceMs) => this.monitor.refreshRunners(pool, sinceMs),
      reserveRunner: (request) => this.reservations.reserveRunner(request),
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
      retries: this.retries,
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

  private makeGatewayContext (): GatewayContext {
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
      readStatus: () => this.readStatus(),
      startDrain: () => {
        process.kill(process.pid, 'SIGTERM')
      }
    })
    return OperatorGateway.create({ keyHashes: this.settings.operatorKeys, metrics: this.metrics, methods, isReady: () => this.isReady })
  }

  private readStatus (): DaemonStatus {
    return {
      daemon: this.settings.id,
      zone: this.settings.zone,
      ready: this.isReady,
      draining: this.draining,
      activeExchanges: this.activeExchanges.size,
      queueLength: this.dispatcher.queueLength,
      peers: this.mesh.connectedPeers,
      cells: this.leases.listHeld(),
      positions: this.streams.listPositions(),
      logReachable: this.streams.configuration.isReachable
    }
  }

  private registerGauges (): void {
    this.metrics.registerGauge('figquay_queue_length', 'Requests that wait for a runner', () => this.dispatcher.queueLength)
    this.metrics.registerGauge('figquay_active_exchanges', 'Exchanges with callers', () => this.activeExchanges.size)
    this.metrics.registerGauge('figquay_peer_bytes', 'Bytes carried between daemons so far', () => this.mesh.byteCount)
    this.metrics.registerGauge('figquay_log_appends', 'Appends sent to the log so far', () => this.streams.appendCount)
    this.metrics.registerGauge('figquay_log_reachable', '1 while the log answers', () => this.streams.configuration.isReachable ? 1 : 0)
    this.metrics.registerGauge('figquay_config_position', 'Next offset of the configuration stream', () => this.streams.configuration.position)
  }
}

/**
 * Refuses an environment in which Node.js would use io_uring.
 *
 * @example
 * checkEnvironment(process.env)
 */
export function checkEnvironment (environment: NodeJS.ProcessEnv): void {
  invariant((environment['UV_USE_IO_URING'] ?? '0') === '0', 'UV_USE_IO_URING is set: the daemon does not run with io_uring')
}
