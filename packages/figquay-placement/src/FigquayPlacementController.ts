/** Keeps the runners of the cells that this daemon holds as the plan wants them. */
import type { Clock, Logger, TaskGroup } from 'figquay'
import type { Configuration, Model, Pool } from 'figquay-contracts'
import type { Membership, Vm } from 'figquay-membership'
import type { RunnerReport, RunnerTable } from 'figquay-routing'
import type { MoveRecord } from './FigquayPlacementTypes.js'
import { makeModelId } from './FigquayPlacementUtils.js'
import { AdapterKeeper } from './FigquayPlacementAdapters.js'
import type { LeaseManager } from './FigquayPlacementLeaseKeeper.js'
import { RunnerLedger } from './FigquayPlacementLedger.js'
import type { OrderDispatcher } from './FigquayPlacementOrders.js'
import type { PlacementPolicy, PlannedModel, PlannedMove, PlannedRunner, PlanView } from './FigquayPlacementPolicy.js'

/** What the controller needs. */
export interface PlacementControllerOptions {
  readonly leases: LeaseManager
  readonly orders: OrderDispatcher
  readonly policy: PlacementPolicy
  readonly table: RunnerTable
  readonly membership: Membership
  readonly clock: Clock
  readonly logger: Logger
  readonly readConfiguration: () => Configuration | undefined
  /** Runners that the requests for a model keep busy, over all daemons. */
  readonly readDemand: (model: string) => { readonly busyRunners: number, readonly workPerRequest: number }
  /** Called after each order. */
  readonly onMove: (move: MoveRecord) => void
}

const ROUND_MS = 250
const KEPT_MOVES = 500
/** A runner gets no orders when its last report to this daemon itself is older than this, in milliseconds. */
const REPORT_EXPIRES_MS = 2_000
const FIRST_REPORTS_MS = 3_000

/** Places models and adapters on the runners of held cells. */
export class PlacementController {
  private readonly lastMoveAtMs = new Map<string, number>()
  private moves: readonly MoveRecord[] = []
  private loadCredit = 1
  private creditAtMs: number
  private readonly startedAtMs: number
  private readonly adapters: AdapterKeeper

  private constructor (private readonly options: PlacementControllerOptions) {
    this.startedAtMs = options.clock.readMonotonicMs()
    this.creditAtMs = this.startedAtMs
    const { orders, table, clock } = options
    this.adapters = AdapterKeeper.create({ orders, table, clock, noteMove: (move) => this.noteMove(move) })
  }

  /**
   * @example
   * const controller = PlacementController.create(options)
   */
  static create (options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options)
  }

  /** The latest moves, oldest first. */
  get history (): readonly MoveRecord[] {
    return this.moves
  }

  /**
   * Starts the task that keeps leases and makes moves.
   *
   * @example
   * controller.start(tasks)
   */
  start (tasks: TaskGroup): void {
    tasks.startLoop('leases', ROUND_MS, () => this.options.leases.keepLeases(this.listCells()))
    tasks.startLoop('placement', ROUND_MS, () => this.runRound())
  }

  /** Cell of a runner. */
  findCell (vm: Vm): string {
    const pool = this.options.readConfiguration()?.findPool(vm.group)
    return pool?.plannedBy === 'zone' ? `${vm.group}@${vm.zone}` : vm.group
  }

  /**
   * Loads an adapter that a request waits for; false when this daemon may not or cannot.
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
    return await this.adapters.loadAdapter({ cell: this.findCell(vm), pool, runner }, { id: `${modelName}:${adapterName}`, bytes: adapter.size })
  }

  private listCells (): string[] {
    return [...new Set(this.options.membership.listVms('engine').map((vm) => this.findCell(vm)))]
  }

  private async runRound (): Promise<void> {
    const configuration = this.options.readConfiguration()
    if (configuration === undefined) return
    this.settleAll(configuration)
    for (const cell of this.options.leases.listHeldCells()) {
      const vms = this.options.membership.listVms('engine').filter((vm) => this.findCell(vm) === cell)
      const pool = configuration.findPool(vms[0]?.group ?? '')
      if (pool !== undefined && this.isViewWhole(vms)) await this.runCell(cell, pool, vms, configuration)
    }
  }

  /** A daemon that has just started waits for the first reports, or it would load what is there already. */
  private isViewWhole (vms: readonly Vm[]): boolean {
    const livedMs = this.options.clock.readMonotonicMs() - this.startedAtMs
    return livedMs > FIRST_REPORTS_MS || vms.every((vm) => this.options.table.findReport(vm.id) !== undefined)
  }

  private settleAll (configuration: Configuration): void {
    for (const vm of this.options.membership.listVms('engine')) {
      const pool = configuration.findPool(vm.group)
      const report = this.options.table.findReport(vm.id)
      if (pool !== undefined && report !== undefined) this.options.orders.settleOrders(this.findCell(vm), pool, report)
    }
  }

  private async runCell (cell: string, pool: Pool, vms: readonly Vm[], configuration: Configuration): Promise<void> {
    const prepared = await Promise.all(vms.map(async (vm) => {
      const report = this.options.table.findReport(vm.id)
      const isReady = report !== undefined && this.isFresh(report) && await this.options.orders.prepareRunner(cell, pool, report)
      return { vm, report, isReady }
    }))
    const view = this.makeView(pool, configuration, prepared)
    const moves = this.options.policy.planMoves(view)
    await Promise.all(moves.map((move) => this.makeMove(cell, pool, move)))
    await this.adapters.keepAdapters(cell, pool, configuration, view)
  }

  private isFresh (report: RunnerReport): boolean {
    return report.downSinceMs === undefined && this.options.clock.readMonotonicMs() - report.requestedAtMs < REPORT_EXPIRES_MS
  }

  private makeView (pool: Pool, configuration: Configuration, prepared: ReadonlyArray<{ vm: Vm, report: RunnerReport | undefined, isReady: boolean }>): PlanView {
    const runners = prepared.flatMap(({ vm, report, isReady }) => report === undefined ? [] : [this.makeRunner(pool, vm, report, isReady)])
    const models = configuration.deployment.models.filter((model) => model.pool === pool.name).map((model) => this.makeModel(model))
    const loading = runners.reduce((sum, runner) => sum + runner.copies.filter((copy) => copy.phase === 'loading').length, 0)
    const policy = configuration.deployment.policy
    return { runners, models, policy, nowMs: this.options.clock.readMonotonicMs(), loadsLeft: Math.min(policy.loadsAtOnce - loading, this.readLoadCredit(policy.loadsPerSecond)) }
  }

  private makeRunner (pool: Pool, vm: Vm, report: RunnerReport, isReady: boolean): PlannedRunner {
    const ledger = RunnerLedger.create(report.state, this.options.orders.listOpen(vm.id))
    const copies = ledger.listCopies('models')
    return {
      id: vm.id,
      zone: vm.zone,
      isServing: this.options.table.isStaying(report),
      isUsable: isReady && this.options.table.isStaying(report),
      freeBytes: pool.memory - pool.adapterMemory - ledger.sumBytes('models'),
      copies,
      busySubjects: new Set(copies.filter((copy) => ledger.hasOpenOrder(copy.id)).map((copy) => copy.id)),
      lastMoveAtMs: this.lastMoveAtMs.get(vm.id) ?? Number.NEGATIVE_INFINITY
    }
  }

  private makeModel (model: Model): PlannedModel {
    const { busyRunners, workPerRequest } = this.options.readDemand(model.name)
    return { id: makeModelId(model), bytes: model.size, demand: busyRunners, workPerRequest }
  }

  /** Whole loads that may be started now, under the weight store's rate. */
  private readLoadCredit (perSecond: number): number {
    const now = this.options.clock.readMonotonicMs()
    this.loadCredit = Math.min(Math.max(1, perSecond), this.loadCredit + (now - this.creditAtMs) * perSecond / 1_000)
    this.creditAtMs = now
    return Math.floor(this.loadCredit)
  }

  private async makeMove (cell: string, pool: Pool, move: PlannedMove): Promise<void> {
    const report = this.options.table.findReport(move.runner)
    if (report === undefined) return
    if (move.action === 'load-model') this.loadCredit -= 1
    this.lastMoveAtMs.set(move.runner, this.options.clock.readMonotonicMs())
    const result = await this.options.orders.sendOrder({ cell, pool, report, action: move.action, subject: move.subject, bytes: move.bytes })
    this.noteMove({ action: move.action, runner: move.runner, subject: move.subject, reason: move.reason, result: result ?? 'unknown' })
  }

  private noteMove (move: Omit<MoveRecord, 'at'>): void {
    const record = { at: this.options.clock.now().toISOString(), ...move }
    this.moves = [...this.moves, record].slice(-KEPT_MOVES)
    this.options.logger.info('move', { ...record })
    this.options.onMove(record)
  }
}
