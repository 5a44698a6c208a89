/** The holder's work: looks at demand and holdings again and again, and orders what the plans say. */
import type { Clock, Logger } from 'figquay'
import type { ConfigurationHolder } from './FigquayFleetConfiguration.js'
import type { FleetDemand } from './FigquayFleetDemand.js'
import type { FleetLeadership } from './FigquayFleetLeadership.js'
import type { FleetRunnerTable, RunnerView } from './FigquayFleetRunnerTable.js'
import { LoadBudget } from './FigquayFleetLoadBudget.js'
import { planAdapter, type AdapterHolder } from './FigquayFleetAdapterPlan.js'
import { planModels, type ModelMove, type ModelPlanView, type PlannedModel, type PlannedRunner } from './FigquayFleetModelPlan.js'
import { measureHeldMb } from './FigquayFleetOrderCheck.js'
import type { OrderBook } from './FigquayFleetOrderBook.js'
import { findSource, measureLoadMs, type CopySource } from './FigquayFleetCopies.js'
import { makeAdapterKey, type EnginePool, type ModelSpec, type Service } from './FigquayFleetTypes.js'

/** What placement needs. */
export interface FleetPlacementOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly demand: FleetDemand
  readonly leadership: FleetLeadership
  readonly orders: OrderBook
  /** Requests under way on a model at a runner, over all daemons. */
  readonly countOpen: (runner: string, model: string) => number
}

/** A model that was promised a runner, until it is there or the promise has run out. */
interface PlacementPromise {
  readonly model: string
  readonly runner: string
  readonly expectedAtMs: number
  readonly expiresAtMs: number
  readonly isFromStore: boolean
}

/** Shortest time until a runner with an open order is free, in milliseconds: one round of plans. */
const PLAN_STEP_MS = 100
/** Time that an unload takes when nothing runs on the model, in milliseconds. */
const UNLOAD_MS = 50
/** A promised load may take this many times as long as the configuration says, while many loads run. */
const SLOWEST_LOAD_FACTOR = 4
/** Adapters are spread ahead of demand this many at a time, so that orders on demand are not held up. */
const SPREAD_AT_ONCE = 4

/** Plans and orders while this daemon is the holder. */
export class FleetPlacement {
  private readonly budget = LoadBudget.create()
  private readonly promises = new Set<PlacementPromise>()
  private readonly loadedAtMs = new Map<string, number>()
  private readonly usedAtMs = new Map<string, number>()
  private readonly openAdapters = new Set<string>()
  private plannedFence: number | undefined

  private constructor (private readonly options: FleetPlacementOptions) {}

  /**
   * @example
   * const placement = FleetPlacement.create(options)
   */
  static create (options: FleetPlacementOptions): FleetPlacement {
    return new FleetPlacement(options)
  }

  /** Notes that a request has used an adapter at a runner. */
  noteAdapterUse (runner: string, key: string): void {
    this.usedAtMs.set(`${runner}\n${key}`, this.options.clock.readMonotonicMs())
  }

  /**
   * Plans once and starts what was planned; does nothing while another daemon is the holder.
   *
   * @example
   * placement.runPlans()
   */
  runPlans (): void {
    const { leadership, configurations, orders, clock } = this.options
    const fence = leadership.ownFence
    if (fence === undefined) {
      this.plannedFence = undefined
      return
    }
    if (fence !== this.plannedFence) this.takeOver(fence)
    const nowMs = clock.readMonotonicMs()
    for (const promise of this.promises) {
      if (nowMs > promise.expiresAtMs) this.promises.delete(promise)
    }
    for (const service of configurations.current?.services.values() ?? []) {
      if (service.engine !== undefined) this.runServicePlans(service, service.engine, orders)
    }
  }

  /** What the predecessor ordered isn't known: runners are read anew, and its loads are taken as begun. */
  private takeOver (fence: number): void {
    this.plannedFence = fence
    this.promises.clear()
    this.options.orders.clear()
    for (const service of this.options.configurations.current?.services.values() ?? []) {
      if (service.engine !== undefined) this.budget.noteSpent(service.engine.loadsPerSecond, this.options.clock.readMonotonicMs())
    }
  }

  private runServicePlans (service: Service, pool: EnginePool, orders: OrderBook): void {
    const views = this.options.table.listViews(service.name)
    this.runAdapterPlans(service, pool, views)
    for (const move of planModels(this.makeModelView(service, pool, views, orders))) {
      this.runMove(move, pool).catch((error: Error) => this.options.logger.error('move failed', { ...move, error: error.message }))
    }
  }

  private makeModelView (service: Service, pool: EnginePool, views: readonly RunnerView[], orders: OrderBook): ModelPlanView {
    const { demand, clock } = this.options
    const waiting = new Map<string, number>()
    for (const need of demand.listNeeds()) {
      if (need.service === service.name && need.adapter === undefined) waiting.set(need.model, need.waiting)
    }
    const models = [...pool.models.values()].map((spec): PlannedModel => {
      const { requests, promptTokens } = demand.measureRate(spec.name)
      return { spec, rate: requests, tokenRate: promptTokens, waiting: waiting.get(spec.name) ?? 0, ...this.measureComing(spec.name) }
    })
    return {
      runners: views.map((view) => this.makePlannedRunner(view, pool, orders)),
      models,
      storeLoads: [...this.promises].filter((promise) => promise.isFromStore).length,
      canLoadFromStore: this.budget.canLoad(pool.loadsPerSecond, clock.readMonotonicMs())
    }
  }

  private measureComing (model: string): { readonly comingInMs: number | undefined, readonly comingCopies: number } {
    const nowMs = this.options.clock.readMonotonicMs()
    const times = [...this.promises].filter((promise) => promise.model === model).map((promise) => Math.max(0, promise.expectedAtMs - nowMs))
    return { comingInMs: times.length === 0 ? undefined : Math.min(...times), comingCopies: times.length }
  }

  /** Time until a runner may be given an order; infinite when it is of no use, or busy with what isn't known here. */
  private measureFree ({ runner, isTrusted }: RunnerView, orders: OrderBook): number {
    if (runner.isLeaving || !isTrusted || runner.holdings === undefined) return Number.POSITIVE_INFINITY
    const nowMs = this.options.clock.readMonotonicMs()
    const promise = [...this.promises].find((candidate) => candidate.runner === runner.id)
    // An overdue order may end at any moment: a runner that is promised is never free at once.
    if (promise !== undefined) return Math.max(PLAN_STEP_MS, promise.expectedAtMs - nowMs)
    if (runner.holdings.isBusy) return Number.POSITIVE_INFINITY
    return orders.isReady(runner.id) ? 0 : PLAN_STEP_MS
  }

  private makePlannedRunner (view: RunnerView, pool: EnginePool, orders: OrderBook): PlannedRunner {
    const { runner, load } = view
    const nowMs = this.options.clock.readMonotonicMs()
    const holdings = runner.holdings
    const copies = (holdings?.models ?? []).map((held) => ({
      model: held.name,
      openRequests: this.options.countOpen(runner.id, held.name),
      ageMs: nowMs - (this.loadedAtMs.get(`${runner.id}\n${held.name}`) ?? -Infinity)
    }))
    return {
      id: runner.id,
      freeInMs: this.measureFree(view, orders),
      isServing: !runner.isLeaving,
      freeMb: pool.weightsMb - measureHeldMb(runner.holdings?.models ?? [], pool),
      copies,
      inMemory: holdings?.inMemory ?? [],
      onDisk: holdings?.onDisk ?? [],
      openRequests: load.requests,
      pendingTokens: load.pendingTokens
    }
  }

  private async runMove (move: ModelMove, pool: EnginePool): Promise<void> {
    const spec = pool.models.get(move.beneficiary)
    const holdings = this.options.table.findRunner(move.runner)?.holdings
    if (spec === undefined || holdings === undefined) return
    const source = findSource(spec, holdings)
    const nowMs = this.options.clock.readMonotonicMs()
    const promise: PlacementPromise = {
      model: move.beneficiary,
      runner: move.runner,
      expectedAtMs: nowMs + measureLoadMs(spec, source) + UNLOAD_MS,
      expiresAtMs: nowMs + spec.storeLoadMs * SLOWEST_LOAD_FACTOR,
      isFromStore: source === 'store'
    }
    this.promises.add(promise)
    try {
      if (move.action === 'load' || await this.makeRoom(move, pool)) await this.loadModel(move, spec, source, pool)
    } finally {
      this.promises.delete(promise)
    }
  }

  private async makeRoom (move: ModelMove, pool: EnginePool): Promise<boolean> {
    const reason = `makes room for ${move.beneficiary}: ${move.reason}`
    const result = await this.options.orders.sendOrder({ runner: move.runner, action: 'unload', model: move.model, adapter: undefined, pool, reason })
    if (result === 'failed') return false
    await this.options.orders.waitForOrder(move.runner, UNLOAD_MS)
    return true
  }

  private async loadModel (move: ModelMove, spec: ModelSpec, source: CopySource, pool: EnginePool): Promise<void> {
    const { orders, clock } = this.options
    if (source === 'store') {
      if (!this.budget.canLoad(pool.loadsPerSecond, clock.readMonotonicMs())) return
      this.budget.noteLoad(clock.readMonotonicMs())
    }
    const result = await orders.sendOrder({ runner: move.runner, action: 'load', model: spec.name, adapter: undefined, pool, reason: move.reason })
    if (result === 'failed') return
    await orders.waitForOrder(move.runner, measureLoadMs(spec, source))
    this.loadedAtMs.set(`${move.runner}\n${spec.name}`, clock.readMonotonicMs())
  }

  private runAdapterPlans (service: Service, pool: EnginePool, views: readonly RunnerView[]): void {
    const wanted = this.options.demand.listNeeds().filter((need) => need.service === service.name && need.adapter !== undefined)
    for (const need of wanted) this.startAdapter(need.model, need.adapter!, pool, views, 'requests wait for it', true)
    this.spreadAdapters(pool, views)
  }

  /** Loads adapters that nobody has asked for yet into free places. */
  private spreadAdapters (pool: EnginePool, views: readonly RunnerView[]): void {
    let begun = 0
    for (const spec of pool.models.values()) {
      for (let number = 1; number <= spec.adapterCount; number += 1) {
        if (begun >= SPREAD_AT_ONCE) return
        if (this.startAdapter(spec.name, `a${number}`, pool, views, 'a place is free', false)) begun += 1
      }
    }
  }

  private startAdapter (model: string, adapter: string, pool: EnginePool, views: readonly RunnerView[], reason: string, mayEvict: boolean): boolean {
    const key = makeAdapterKey(model, adapter)
    if (this.openAdapters.has(key)) return false
    const holders = views.filter(({ runner }) => !runner.isLeaving && runner.holdings?.models.some((held) => held.name === model))
    if (holders.length === 0 || holders.some(({ runner }) => hasAdapter(runner.holdings!.models, model, adapter))) return false
    const move = planAdapter(holders.map((view) => this.makeAdapterHolder(view)), pool.adapterSlots)
    if (move === undefined || (move.evicted !== undefined && !mayEvict)) return false
    this.openAdapters.add(key)
    this.runAdapterMove(move.runner, move.evicted, model, adapter, pool, reason)
      .catch((error: Error) => this.options.logger.error('adapter move failed', { key, error: error.message }))
      .finally(() => this.openAdapters.delete(key))
    return true
  }

  private makeAdapterHolder ({ runner, load, isTrusted }: RunnerView): AdapterHolder {
    const nowMs = this.options.clock.readMonotonicMs()
    const held = runner.holdings!.models.flatMap(({ name, adapters }) => adapters.map((adapter) => makeAdapterKey(name, adapter)))
    const keys = [...held, ...runner.holdings!.coming]
    return {
      id: runner.id,
      isReady: isTrusted && this.options.orders.isReady(runner.id) && !runner.holdings!.isBusy,
      adapters: keys.map((key) => ({ key, idleMs: nowMs - (this.usedAtMs.get(`${runner.id}\n${key}`) ?? 0) })),
      openRequests: load.requests
    }
  }

  private async runAdapterMove (runner: string, evicted: string | undefined, model: string, adapter: string, pool: EnginePool, reason: string): Promise<void> {
    const { orders } = this.options
    if (evicted !== undefined) {
      const [oldModel, oldAdapter] = evicted.split('/') as [string, string]
      if (await orders.sendOrder({ runner, action: 'unload', model: oldModel, adapter: oldAdapter, pool, reason: `makes room for ${model}/${adapter}` }) !== 'done') return
    }
    await orders.sendOrder({ runner, action: 'load', model, adapter, pool, reason })
    this.noteAdapterUse(runner, makeAdapterKey(model, adapter))
  }
}

/**
 * Whether an adapter is on a runner.
 *
 * @example
 * hasAdapter(holdings.models, 'manual', 'a3')
 */
export function hasAdapter (models: ReadonlyArray<{ readonly name: string, readonly adapters: readonly string[] }>, model: string, adapter: string): boolean {
  return models.some((held) => held.name === model && held.adapters.includes(adapter))
}
