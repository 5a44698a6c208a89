/** The holder's work: looks at demand and holdings again and again, and orders what the plans say. */
import type { Clock, Logger } from 'figquay'
import type { ConfigurationHolder } from './FigquayFleetConfiguration.js'
import type { FleetDemand } from './FigquayFleetDemand.js'
import type { FleetLeadership } from './FigquayFleetLeadership.js'
import type { FleetRunnerTable, RunnerView } from './FigquayFleetRunnerTable.js'
import { LoadBudget } from './FigquayFleetLoadBudget.js'
import { planAdapter, type AdapterHolder } from './FigquayFleetAdapterPlan.js'
import { planModels, type ModelMove, type ModelPlanView, type PlannedModel, type PlannedRunner, type UnplacedReason } from './FigquayFleetModelPlan.js'
import { countAdapters, measureHeldMb } from './FigquayFleetOrderCheck.js'
import type { OrderBook } from './FigquayFleetOrderBook.js'
import { makeOpenKey } from './FigquayFleetHints.js'
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
  /** Requests under way over all daemons, by runner and model as `makeOpenKey` joins them. */
  readonly sumOpen: () => ReadonlyMap<string, number>
}

/** A model that was promised a runner, until it is there or the promise has run out. */
/** What the promises say, gathered once for a plan. */
interface PromiseIndex {
  readonly byRunner: ReadonlyMap<string, PlacementPromise>
  readonly byModel: ReadonlyMap<string, readonly PlacementPromise[]>
}

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
/** An unload waits for the requests that run on the model, this long at most before the plan is given up, in milliseconds. */
const LONGEST_DRAIN_MS = 8_000
/** A model counts as missing all along when its next request comes within this time, in milliseconds. */
const MISSING_GRACE_MS = 5_000
/** A model that stays missing is logged this often, in milliseconds. */
const UNPLACED_LOG_MS = 1_000
/** Adapters are spread ahead of demand this many at a time, so that orders on demand are not held up. */
const SPREAD_AT_ONCE = 4

/** Plans and orders while this daemon is the holder. */
export class FleetPlacement {
  private readonly budget = LoadBudget.create()
  private readonly promises = new Set<PlacementPromise>()
  private readonly loadedAtMs = new Map<string, number>()
  private readonly usedAtMs = new Map<string, number>()
  private readonly openAdapters = new Set<string>()
  /** Models that requests wait for and no runner holds. */
  private readonly missing = new Map<string, { readonly sinceMs: number, missedAtMs: number, loggedAtMs: number }>()
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
      if (!leadership.isHolder) this.plannedFence = undefined
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
    const view = this.makeModelView(service, pool, views, orders)
    for (const move of planModels(view, (model, reason, runner) => this.noteUnplaced(model, reason, runner))) {
      this.runMove(move, pool).catch((error: Error) => this.options.logger.error('move failed', { ...move, error: error.message }))
    }
  }

  /** A model that stays missing is worth a line now and then: it tells why its requests are refused. */
  private noteUnplaced (model: string, reason: UnplacedReason, runner: string | undefined): void {
    const missing = this.missing.get(model)
    const nowMs = this.options.clock.readMonotonicMs()
    if (missing === undefined || nowMs - missing.loggedAtMs < UNPLACED_LOG_MS) return
    missing.loggedAtMs = nowMs
    this.options.logger.info('model stays missing', { model, reason, runner, missingMs: Math.round(nowMs - missing.sinceMs) })
  }

  /** Keeps since when requests have found no copy of a model; a need that is told again within the grace is the same one. */
  private measureMissing (model: string, isMissed: boolean, nowMs: number): number {
    const known = this.missing.get(model)
    if (known !== undefined && nowMs - known.missedAtMs > MISSING_GRACE_MS) this.missing.delete(model)
    if (!isMissed) return 0
    const missing = this.missing.get(model) ?? { sinceMs: nowMs, missedAtMs: nowMs, loggedAtMs: nowMs }
    missing.missedAtMs = nowMs
    this.missing.set(model, missing)
    return nowMs - missing.sinceMs
  }

  private indexPromises (): PromiseIndex {
    const promises = [...this.promises]
    const byModel = new Map<string, PlacementPromise[]>()
    for (const promise of promises) byModel.set(promise.model, [...byModel.get(promise.model) ?? [], promise])
    return { byRunner: new Map(promises.map((promise) => [promise.runner, promise])), byModel }
  }

  private makeModelView (service: Service, pool: EnginePool, views: readonly RunnerView[], orders: OrderBook): ModelPlanView {
    const { demand, clock } = this.options
    const waiting = new Map<string, number>()
    for (const need of demand.listNeeds()) {
      if (need.service === service.name && need.adapter === undefined) waiting.set(need.model, need.waiting)
    }
    const promises = this.indexPromises()
    const open = this.options.sumOpen()
    const nowMs = clock.readMonotonicMs()
    const held = new Set(views.flatMap(({ runner }) => runner.isLeaving ? [] : (runner.holdings?.models ?? []).map(({ name }) => name)))
    const models = [...pool.models.values()].map((spec): PlannedModel => {
      const { requests, promptTokens } = demand.measureRate(spec.name)
      const wanted = waiting.get(spec.name) ?? 0
      const missingMs = this.measureMissing(spec.name, wanted > 0 && !held.has(spec.name), nowMs)
      return { spec, rate: requests, tokenRate: promptTokens, waiting: wanted, missingMs, ...this.measureComing(promises.byModel.get(spec.name) ?? []) }
    })
    return {
      slots: pool.slots,
      runners: views.map((view) => this.makePlannedRunner(view, pool, orders, promises, open)),
      models,
      storeLoads: [...this.promises].filter((promise) => promise.isFromStore).length,
      canLoadFromStore: this.budget.canLoad(pool.loadsPerSecond, nowMs)
    }
  }

  private measureComing (promises: readonly PlacementPromise[]): { readonly comingInMs: number | undefined, readonly comingCopies: number } {
    const nowMs = this.options.clock.readMonotonicMs()
    const times = promises.map((promise) => Math.max(0, promise.expectedAtMs - nowMs))
    return { comingInMs: times.length === 0 ? undefined : Math.min(...times), comingCopies: times.length }
  }

  /** Time until a runner may be given an order; infinite when it is of no use, or busy with what isn't known here. */
  private measureFree ({ runner, isTrusted }: RunnerView, orders: OrderBook, promise: PlacementPromise | undefined): number {
    if (runner.isLeaving || !isTrusted || runner.holdings === undefined) return Number.POSITIVE_INFINITY
    // Nothing waits for a runner that doesn't answer; it is tried again now and then all the same.
    if (orders.isSilent(runner.id) && (promise !== undefined || !orders.isReady(runner.id))) return Number.POSITIVE_INFINITY
    const untilExpectedMs = promise === undefined ? 0 : promise.expectedAtMs - this.options.clock.readMonotonicMs()
    // An overdue order is expected to take as long again as it is late: others shall not wait for it for ever.
    if (promise !== undefined) return Math.max(PLAN_STEP_MS, Math.abs(untilExpectedMs))
    if (runner.holdings.isBusy) return Number.POSITIVE_INFINITY
    return orders.isReady(runner.id) ? 0 : PLAN_STEP_MS
  }

  private makePlannedRunner (view: RunnerView, pool: EnginePool, orders: OrderBook, promises: PromiseIndex, open: ReadonlyMap<string, number>): PlannedRunner {
    const { runner, load } = view
    const nowMs = this.options.clock.readMonotonicMs()
    const holdings = runner.holdings
    const copies = (holdings?.models ?? []).map((held) => ({
      model: held.name,
      openRequests: open.get(makeOpenKey(runner.id, held.name)) ?? 0,
      ageMs: nowMs - (this.loadedAtMs.get(`${runner.id}\n${held.name}`) ?? -Infinity)
    }))
    return {
      id: runner.id,
      freeInMs: this.measureFree(view, orders, promises.byRunner.get(runner.id)),
      isServing: !runner.isLeaving,
      freeMb: pool.weightsMb - measureHeldMb(runner.holdings?.models ?? [], pool),
      copies,
      inMemory: holdings?.inMemory ?? [],
      onDisk: holdings?.onDisk ?? [],
      // A runner that wants nothing has no room, whatever its load looks like from here.
      openRequests: view.refusesForMs > 0 ? Math.max(load.requests, runner.slots) : load.requests,
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
      expiresAtMs: nowMs + LONGEST_DRAIN_MS + spec.storeLoadMs * SLOWEST_LOAD_FACTOR,
      isFromStore: source === 'store'
    }
    if (source === 'store') {
      // Taken before room is made: a model is given up only for a load that may begin.
      if (!this.budget.canLoad(pool.loadsPerSecond, nowMs)) return
      this.budget.noteLoad(nowMs)
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
    await this.options.orders.waitForOrder(move.runner, UNLOAD_MS, LONGEST_DRAIN_MS)
    return true
  }

  private async loadModel (move: ModelMove, spec: ModelSpec, source: CopySource, pool: EnginePool): Promise<void> {
    const { orders, clock } = this.options
    const result = await orders.sendOrder({ runner: move.runner, action: 'load', model: spec.name, adapter: undefined, pool, reason: move.reason })
    if (result === 'failed') return
    await orders.waitForOrder(move.runner, measureLoadMs(spec, source))
    this.loadedAtMs.set(`${move.runner}\n${spec.name}`, clock.readMonotonicMs())
  }

  private runAdapterPlans (service: Service, pool: EnginePool, views: readonly RunnerView[]): void {
    const index = indexHolders(views)
    const wanted = this.options.demand.listNeeds().filter((need) => need.service === service.name && need.adapter !== undefined)
    for (const need of wanted) this.startAdapter(need.model, need.adapter!, pool, index, 'requests wait for it', true)
    this.spreadAdapters(pool, index)
  }

  /** Loads adapters that nobody has asked for yet into free places. */
  private spreadAdapters (pool: EnginePool, index: HolderIndex): void {
    let begun = 0
    for (const [model, holders] of index.holders) {
      const hasPlace = holders.some(({ runner }) => countAdapters(runner.holdings!) < pool.adapterSlots)
      const count = hasPlace ? pool.models.get(model)?.adapterCount ?? 0 : 0
      for (let number = 1; number <= count; number += 1) {
        if (begun >= SPREAD_AT_ONCE) return
        if (this.startAdapter(model, `a${number}`, pool, index, 'a place is free', false)) begun += 1
      }
    }
  }

  private startAdapter (model: string, adapter: string, pool: EnginePool, { holders, adapters }: HolderIndex, reason: string, mayEvict: boolean): boolean {
    const key = makeAdapterKey(model, adapter)
    if (this.openAdapters.has(key) || adapters.has(key)) return false
    const candidates = holders.get(model)
    if (candidates === undefined) return false
    const move = planAdapter(candidates.map((view) => this.makeAdapterHolder(view)), pool.adapterSlots)
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

/** Which runners that take requests hold each model, and which adapters are somewhere. */
interface HolderIndex {
  readonly holders: ReadonlyMap<string, readonly RunnerView[]>
  readonly adapters: ReadonlySet<string>
}

function indexHolders (views: readonly RunnerView[]): HolderIndex {
  const holders = new Map<string, RunnerView[]>()
  const adapters = new Set<string>()
  for (const view of views) {
    if (view.runner.isLeaving) continue
    for (const { name, adapters: held } of view.runner.holdings?.models ?? []) {
      holders.set(name, [...holders.get(name) ?? [], view])
      for (const adapter of held) adapters.add(makeAdapterKey(name, adapter))
    }
  }
  return { holders, adapters }
}
