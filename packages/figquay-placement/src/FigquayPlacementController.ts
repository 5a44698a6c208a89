/** Reconciles the runners of the cells that this daemon holds with the plan of the placement policy. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import type { Configuration, Model, Pool } from 'figquay-contracts'
import type { Membership, Vm } from 'figquay-membership'
import type { RunnerReport, RunnerTable } from 'figquay-routing'
import type { MoveRecord } from './FigquayPlacementTypes.js'
import { makeModelId } from './FigquayPlacementUtils.js'
import { AdapterLoader } from './FigquayPlacementAdapters.js'
import type { LeaseManager } from './FigquayPlacementLeaseManager.js'
import { RunnerLedger } from './FigquayPlacementLedger.js'
import type { OrderDispatcher } from './FigquayPlacementOrders.js'
import type { PlacementPolicy, PlannerModel, PlannedMove, PlannerRunner, PlacementInput } from './FigquayPlacementPolicy.js'

/** Dependencies of the placement controller. */
export interface PlacementControllerOptions {
  readonly leases: LeaseManager
  readonly orders: OrderDispatcher
  readonly policy: PlacementPolicy
  readonly table: RunnerTable
  readonly membership: Membership
  readonly clock: Clock
  readonly logger: Logger
  readonly readConfiguration: () => Configuration | undefined
  /** Mean number of runners that the requests for a model keep busy, over all daemons, and runner seconds per request. */
  readonly readDemand: (model: string) => { readonly busyRunners: number, readonly workPerRequest: number }
  /** Called with each move after its order was sent. */
  readonly onMove: (move: MoveRecord) => void
}

const LOOP_INTERVAL_MS = 250
const MAX_MOVE_HISTORY = 500
/** No orders are sent to a runner whose last report that this daemon requested itself is older. */
const MAX_REPORT_AGE_MS = 2_000
/** A daemon waits this long after its start for the reports of all runners of a cell. */
const INITIAL_REPORTS_TIMEOUT_MS = 3_000

/** Loads and unloads models and adapters on the runners of the held cells. */
export class PlacementController {
  private readonly lastMoveAtMs = new Map<string, number>()
  private moveHistory: readonly MoveRecord[] = []
  /** Tokens of the bucket that limits the rate of model loads. */
  private loadCredit = 1
  private creditUpdatedAtMs: number
  private readonly startedAtMs: number
  private readonly adapterLoader: AdapterLoader

  private constructor (private readonly options: PlacementControllerOptions) {
    this.startedAtMs = options.clock.readMonotonicMs()
    this.creditUpdatedAtMs = this.startedAtMs
    const { orders, table, clock } = options
    this.adapterLoader = AdapterLoader.create({ orders, table, clock, recordMove: (move) => this.recordMove(move) })
  }

  /**
   * @example
   * const controller = PlacementController.create(options)
   */
  static create (options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options)
  }

  /** The most recent moves, oldest first. */
  get history (): readonly MoveRecord[] {
    return this.moveHistory
  }

  /**
   * Starts the tasks that maintain leases and reconcile the held cells.
   *
   * @example
   * controller.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('leases', LOOP_INTERVAL_MS, () => this.options.leases.maintainLeases(this.listCells()))
    tasks.startLoop('placement', LOOP_INTERVAL_MS, () => this.reconcileCells())
  }

  /** Finds the cell of a runner: its pool, or its part of the pool in one data centre if the pool is planned by zone. */
  findCell (vm: Vm): string {
    const pool = this.options.readConfiguration()?.findPool(vm.group)
    return pool?.plannedBy === 'zone' ? `${vm.group}@${vm.zone}` : vm.group
  }

  /**
   * Loads an adapter that a request waits for; returns false if it isn't ready in time or this daemon can't load it.
   *
   * @example
   * const isReady = await controller.loadAdapter('engine-2', 'manual-3', 'cairo')
   */
  async loadAdapter (runner: string, modelName: string, adapterName: string): Promise<boolean> {
    const configuration = this.options.readConfiguration()
    const model = configuration?.findModel(modelName)
    const adapter = model?.adapters.find((candidate) => candidate.name === adapterName)
    const vm = this.options.membership.findVm(runner)
    const pool = model === undefined ? undefined : configuration!.findPool(model.pool)
    if (adapter === undefined || vm === undefined || pool === undefined) return false
    return await this.adapterLoader.loadAdapter({ cell: this.findCell(vm), pool, runner }, { id: `${modelName}:${adapterName}`, bytes: adapter.size })
  }

  private listCells (): string[] {
    return [...new Set(this.options.membership.listVms('engine').map((vm) => this.findCell(vm)))]
  }

  private async reconcileCells (): Promise<void> {
    const configuration = this.options.readConfiguration()
    if (configuration === undefined) return
    this.settleAllOrders(configuration)
    for (const cell of this.options.leases.listHeldCells()) {
      const vms = this.options.membership.listVms('engine').filter((vm) => this.findCell(vm) === cell)
      const pool = configuration.findPool(vms[0]?.group ?? '')
      if (pool !== undefined && this.hasInitialReports(vms)) await this.reconcileCell(cell, pool, vms, configuration)
    }
  }

  /** Whether every runner has reported, or the wait for that is over. A daemon that plans earlier would load models again. */
  private hasInitialReports (vms: readonly Vm[]): boolean {
    const uptimeMs = this.options.clock.readMonotonicMs() - this.startedAtMs
    return uptimeMs > INITIAL_REPORTS_TIMEOUT_MS || vms.every((vm) => this.options.table.findReport(vm.id) !== undefined)
  }

  private settleAllOrders (configuration: Configuration): void {
    for (const vm of this.options.membership.listVms('engine')) {
      const pool = configuration.findPool(vm.group)
      const report = this.options.table.findReport(vm.id)
      if (pool !== undefined && report !== undefined) this.options.orders.settleOrders(this.findCell(vm), pool, report)
    }
  }

  private async reconcileCell (cell: string, pool: Pool, vms: readonly Vm[], configuration: Configuration): Promise<void> {
    const prepared = await Promise.all(vms.map(async (vm) => {
      const report = this.options.table.findReport(vm.id)
      const isReady = report !== undefined && this.isReportFresh(report) && await this.options.orders.prepareRunner(cell, pool, report)
      return { vm, report, isReady }
    }))
    const input = this.makePlacementInput(pool, configuration, prepared)
    const moves = this.options.policy.planMoves(input)
    await Promise.all(moves.map((move) => this.executeMove(cell, pool, move)))
    await this.adapterLoader.preloadAdapters(cell, pool, configuration, input)
  }

  private isReportFresh (report: RunnerReport): boolean {
    return report.downSinceMs === undefined && this.options.clock.readMonotonicMs() - report.requestedAtMs < MAX_REPORT_AGE_MS
  }

  private makePlacementInput (pool: Pool, configuration: Configuration, prepared: ReadonlyArray<{ vm: Vm, report: RunnerReport | undefined, isReady: boolean }>): PlacementInput {
    const runners = prepared.flatMap(({ vm, report, isReady }) => report === undefined ? [] : [this.makePlannerRunner(pool, vm, report, isReady)])
    const models = configuration.deployment.models.filter((model) => model.pool === pool.name).map((model) => this.makePlannerModel(model))
    const pendingLoads = runners.reduce((sum, runner) => sum + runner.replicas.filter((replica) => replica.phase === 'loading').length, 0)
    const policy = configuration.deployment.policy
    return { runners, models, policy, nowMs: this.options.clock.readMonotonicMs(), loadsLeft: Math.min(policy.loadsAtOnce - pendingLoads, this.refillLoadCredit(policy.loadsPerSecond)) }
  }

  private makePlannerRunner (pool: Pool, vm: Vm, report: RunnerReport, isReady: boolean): PlannerRunner {
    const ledger = RunnerLedger.create(report.state, this.options.orders.listOpenOrders(vm.id))
    const replicas = ledger.listReplicas('models')
    return {
      id: vm.id,
      zone: vm.zone,
      isServing: this.options.table.isUsableAndNotLeaving(report),
      isSchedulable: isReady && this.options.table.isUsableAndNotLeaving(report),
      freeBytes: pool.memory - pool.adapterMemory - ledger.sumReservedBytes('models'),
      replicas,
      modelsWithOpenOrder: new Set(replicas.filter((replica) => ledger.hasOpenOrder(replica.id)).map((replica) => replica.id)),
      lastMoveAtMs: this.lastMoveAtMs.get(vm.id) ?? Number.NEGATIVE_INFINITY
    }
  }

  private makePlannerModel (model: Model): PlannerModel {
    const { busyRunners, workPerRequest } = this.options.readDemand(model.name)
    return { id: makeModelId(model), bytes: model.size, demand: busyRunners, workPerRequest }
  }

  /** Refills the token bucket for the weight store's load rate; returns how many loads may start now. */
  private refillLoadCredit (loadsPerSecond: number): number {
    const nowMs = this.options.clock.readMonotonicMs()
    this.loadCredit = Math.min(Math.max(1, loadsPerSecond), this.loadCredit + (nowMs - this.creditUpdatedAtMs) * loadsPerSecond / 1_000)
    this.creditUpdatedAtMs = nowMs
    return Math.floor(this.loadCredit)
  }

  private async executeMove (cell: string, pool: Pool, move: PlannedMove): Promise<void> {
    const report = this.options.table.findReport(move.runner)
    if (report === undefined) return
    if (move.action === 'load-model') this.loadCredit -= 1
    this.lastMoveAtMs.set(move.runner, this.options.clock.readMonotonicMs())
    const result = await this.options.orders.sendOrder({ cell, pool, report, action: move.action, subject: move.subject, bytes: move.bytes })
    this.recordMove({ action: move.action, runner: move.runner, subject: move.subject, reason: move.reason, result: result ?? 'unknown' })
  }

  private recordMove (move: Omit<MoveRecord, 'at'>): void {
    const record = { at: this.options.clock.now().toISOString(), ...move }
    this.moveHistory = [...this.moveHistory, record].slice(-MAX_MOVE_HISTORY)
    this.options.logger.info('move', { ...record })
    this.options.onMove(record)
  }
}
