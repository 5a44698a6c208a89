/** Model placement by the leader: plans loads and unloads from demand and loaded models, and sends the orders to the runners. */
import type { Clock, Logger } from 'figquay'
import type { ConfigurationHolder } from './FigquayFleetConfiguration.js'
import type { FleetDemand, ModelNeed } from './FigquayFleetDemand.js'
import type { FleetLeadership } from './FigquayFleetLeadership.js'
import type { FleetRunnerTable, RunnerView } from './FigquayFleetRunnerTable.js'
import { estimateRemainingMs, PendingLoads, type PendingLoad } from './FigquayFleetPendingLoads.js'
import { StoreLoadLimiter, type StoreLoad } from './FigquayFleetStoreLoadLimiter.js'
import { AdapterPlacement, type AdapterPlacementOptions } from './FigquayFleetAdapterPlacement.js'
import type { ModelForecast } from './FigquayFleetForecast.js'
import { ModelForecasts } from './FigquayFleetModelForecasts.js'
import { planModels } from './FigquayFleetModelPlan.js'
import type { ModelPlanInput, ModelPlanStep, PlannerModel, PlannerRunner, UnplacedModel, UnplacedReason } from './FigquayFleetModelPlanTypes.js'
import { measureUsedMb } from './FigquayFleetOrderCheck.js'
import type { OrderDispatcher } from './FigquayFleetOrderDispatcher.js'
import { makeRunnerModelKey } from './FigquayFleetHints.js'
import { findLoadSource, findLoadDurationMs, type LoadSource } from './FigquayFleetLoadSource.js'
import { makeAdapterKey, type EnginePool, type FleetConfiguration, type ModelSpec, type Route, type Service } from './FigquayFleetTypes.js'

/** Options of the placement. */
export interface FleetPlacementOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly configurations: ConfigurationHolder
  readonly table: FleetRunnerTable
  readonly demand: FleetDemand
  readonly leadership: FleetLeadership
  readonly orders: OrderDispatcher
  /** Requests in progress over all daemons, by the keys of `makeRunnerModelKey`. */
  readonly sumOpenRequests: () => ReadonlyMap<string, number>
  /** Counts a load by service and reason. */
  readonly noteLoad?: AdapterPlacementOptions['noteLoad']
}

/** Shortest assumed time until a busy runner is free, in milliseconds: one planning interval. */
const PLAN_STEP_MS = 100
/** Time that an order takes beside its execution, in milliseconds: it is sent, and the runner's report lags behind. */
const ORDER_MS = 200
/** Fraction of the loads which the weight store allows that may start for models without waiting requests. */
const LOAD_AHEAD_FRACTION = 0.8
/** Duration of an unload when the model has no requests, in milliseconds. */
const IDLE_UNLOAD_MS = 50
/** A load may take this many times its configured duration before it expires, as concurrent loads slow each other down. */
const MAX_LOAD_SLOWDOWN = 4
/** Longest wait for an unload, which drains the model's requests first, in milliseconds. */
const MAX_DRAIN_MS = 8_000
/** A model that isn't loaded counts as unavailable without interruption if requests for it recur within this time, in milliseconds. */
const UNAVAILABLE_GRACE_MS = 60_000
/** Shortest interval between two log lines about the same unavailable model, in milliseconds. */
const UNPLACED_LOG_INTERVAL_MS = 1_000

/** Such lines in one plan, the most urgent models first: each costs the leader processor time. */
const MAX_UNPLACED_LINES_PER_PLAN = 8
/** Interval between two log lines about the work of the leader, in milliseconds. */
const WORK_LOG_INTERVAL_MS = 2_000

/** Whether requests find a model or an adapter, and whether any ask for it. */
interface Availability {
  readonly isLoaded: boolean
  readonly isAwaited: boolean
}

/** Plans made, and the time that they took in milliseconds. */
interface LeaderWork {
  readonly plans: number
  readonly planMs: number
}

const NO_LEADER_WORK: LeaderWork = { plans: 0, planMs: 0 }

/** Plans and runs loads and unloads while this daemon is the leader. */
export class FleetPlacement {
  private readonly storeLoadLimiter = StoreLoadLimiter.create()
  private readonly pendingLoads = PendingLoads.create()
  /** Time at which this daemon finished loading a model, by runner and model. */
  private readonly loadedAtMs = new Map<string, number>()
  private readonly adapters: AdapterPlacement
  private readonly forecasts = ModelForecasts.create()
  /** Models, and adapters by key, that requests wait for and no runner has loaded. */
  private readonly unavailableModels = new Map<string, { readonly sinceMs: number, lastRequestedAtMs: number, loggedAtMs: number }>()
  private routeTerms: { readonly configuration: FleetConfiguration | undefined, readonly terms: ReadonlyMap<string, RouteTerms> } | undefined
  private work: LeaderWork = NO_LEADER_WORK
  private workLoggedAtMs = Number.NEGATIVE_INFINITY
  /** Fencing token of the last plan; a different one means that leadership was taken over since. */
  private lastPlanFencingToken: number | undefined

  private constructor (private readonly options: FleetPlacementOptions) {
    this.adapters = AdapterPlacement.create({ noteLoad: () => {}, ...options, trackUnavailability: (key) => this.trackUnavailability(key, { isLoaded: false, isAwaited: true }, options.clock.readMonotonicMs()), clearUnavailability: (key) => this.unavailableModels.delete(key) })
  }

  /**
   * @example
   * const placement = FleetPlacement.create(options)
   */
  static create (options: FleetPlacementOptions): FleetPlacement {
    return new FleetPlacement(options)
  }

  /** Records that a request used an adapter on a runner. */
  recordAdapterUse (runner: string, key: string): void {
    this.adapters.recordUse(runner, key)
  }

  /**
   * Makes one plan and starts its steps; does nothing while this daemon may not send orders as the leader.
   *
   * @example
   * placement.runPlans()
   */
  runPlans (): void {
    const { leadership, configurations, orders, clock, table, logger } = this.options
    const fencingToken = leadership.fencingToken
    if (fencingToken === undefined) {
      if (!leadership.isLeader) this.lastPlanFencingToken = undefined
      return
    }
    if (fencingToken !== this.lastPlanFencingToken) this.takeOver(fencingToken)
    const nowMs = clock.readMonotonicMs()
    for (const { model, runner } of this.pendingLoads.dropLost((id) => table.findRunner(id), nowMs)) {
      logger.info('load is lost, as its runner left', { model, runner })
    }
    for (const service of configurations.current?.services.values() ?? []) {
      if (service.engine !== undefined) this.planService(service, service.engine, orders)
    }
    this.noteWork(nowMs)
  }

  /** Logs periodically how much the leader gets done, which explains why what requests wait for is loaded late. */
  private noteWork (startedAtMs: number): void {
    const { clock, logger, demand, orders } = this.options
    const nowMs = clock.readMonotonicMs()
    this.work = { plans: this.work.plans + 1, planMs: this.work.planMs + nowMs - startedAtMs }
    if (nowMs - this.workLoggedAtMs < WORK_LOG_INTERVAL_MS) return
    const needs = demand.listNeeds()
    logger.info('work of the leader', { ...this.work, planMs: Math.round(this.work.planMs), sinceMs: Number.isFinite(this.workLoggedAtMs) ? Math.round(nowMs - this.workLoggedAtMs) : undefined, awaitedModels: needs.filter(({ adapter }) => adapter === undefined).length, awaitedAdapters: needs.filter(({ adapter }) => adapter !== undefined).length, ordersUnderWay: orders.underWayCount, pendingLoads: this.pendingLoads.count, storeLoads: this.pendingLoads.storeLoadCount })
    this.work = NO_LEADER_WORK
    this.workLoggedAtMs = nowMs
  }

  /**
   * Forecasts when what requests wait for will be ready; empty unless this daemon is the leader and has planned. Needs that
   * are met, or that no plan has seen yet, have no forecast.
   *
   * @example
   * const forecasts = placement.listForecasts(hints.needs)
   */
  listForecasts (needs: readonly ModelNeed[]): ModelForecast[] {
    const { leadership, table, clock } = this.options
    const fence = leadership.fencingToken
    if (fence === undefined || fence !== this.lastPlanFencingToken) return []
    return needs.flatMap((need) => {
      const { service, model, adapter } = need
      const state = { isModelLoaded: table.hasRunnerWithModel(service, model), loads: this.pendingLoads.listLoads(service, model), adapter: adapter === undefined ? undefined : this.adapters.findState(makeAdapterKey(model, adapter)) }
      return this.forecasts.makeForecast(need, state, fence, clock.readMonotonicMs()) ?? []
    })
  }

  /** Models that requests wait for and the last plan of this leader could not load, by reason. */
  countUnplaced (): ReadonlyMap<UnplacedReason, number> {
    return this.options.leadership.isLeader ? this.forecasts.countUnplaced() : new Map()
  }

  /** The previous leader's orders are unknown: runner state is read again, and the store's rate limit counts as used up. */
  private takeOver (fencingToken: number): void {
    this.lastPlanFencingToken = fencingToken
    this.pendingLoads.clear()
    this.forecasts.clear()
    this.adapters.startTerm()
    this.options.orders.invalidateState()
    for (const service of this.options.configurations.current?.services.values() ?? []) {
      if (service.engine !== undefined) this.storeLoadLimiter.assumeWindowSpent(service.engine.loadsPerSecond, this.options.clock.readMonotonicMs())
    }
  }

  private planService (service: Service, pool: EnginePool, orders: OrderDispatcher): void {
    const views = this.options.table.listViews(service.name)
    const input = this.makePlanInput(service, pool, views, orders)
    const unplaced: UnplacedModel[] = []
    // What is left over is planned anew: the steps come in the order of urgency.
    const steps = planModels(input, (model) => unplaced.push(model)).slice(0, this.options.orders.modelStepCapacity)
    this.forecasts.replacePlan(service.name, unplaced, this.options.clock.readMonotonicMs())
    for (const model of unplaced.filter((model) => this.isLogDue(model)).slice(0, MAX_UNPLACED_LINES_PER_PLAN)) this.logUnplaced(model)
    for (const step of steps) {
      this.runStep(step, service, pool).catch((error: Error) => this.options.logger.error('placement step failed', { ...step, error: error.message }))
    }
    // Loads of models are few, and requests for a model wait for longer than those for an adapter.
    this.adapters.planService(service, pool, views)
  }

  private isLogDue ({ model }: UnplacedModel): boolean {
    const unavailable = this.unavailableModels.get(model)
    return unavailable !== undefined && this.options.clock.readMonotonicMs() - unavailable.loggedAtMs >= UNPLACED_LOG_INTERVAL_MS
  }

  /** Logs periodically why a model is not loaded, which explains why its requests are refused. */
  private logUnplaced ({ model, reason, runner, readyInMs }: UnplacedModel): void {
    const unavailable = this.unavailableModels.get(model)!
    const nowMs = this.options.clock.readMonotonicMs()
    unavailable.loggedAtMs = nowMs
    this.options.logger.info('model is still unavailable', { model, reason, runner, missingMs: Math.round(nowMs - unavailable.sinceMs), expectedInMs: Number.isFinite(readyInMs) ? Math.round(readyInMs) : undefined })
  }

  /**
   * Returns for how long requests have found no replica of a model, or no runner with an adapter, in milliseconds. Gaps between
   * them count as well: what is asked for rarely would otherwise never take the place of what is in constant use.
   */
  private trackUnavailability (model: string, { isLoaded, isAwaited }: Availability, nowMs: number): number {
    const previous = this.unavailableModels.get(model)
    if (isLoaded || (previous !== undefined && nowMs - previous.lastRequestedAtMs > UNAVAILABLE_GRACE_MS)) this.unavailableModels.delete(model)
    if (isLoaded || !isAwaited) return 0
    const unavailable = this.unavailableModels.get(model) ?? { sinceMs: nowMs, lastRequestedAtMs: nowMs, loggedAtMs: nowMs }
    unavailable.lastRequestedAtMs = nowMs
    this.unavailableModels.set(model, unavailable)
    return nowMs - unavailable.sinceMs
  }

  private makePlanInput (service: Service, pool: EnginePool, views: readonly RunnerView[], orders: OrderDispatcher): ModelPlanInput {
    const { demand, clock } = this.options
    const waitingByModel = new Map<string, number>()
    for (const need of [...demand.listMissedNeeds(), ...demand.listNeeds()]) {
      if (need.service === service.name && need.adapter === undefined) waitingByModel.set(need.model, need.waiting)
    }
    const openRequests = this.options.sumOpenRequests()
    const nowMs = clock.readMonotonicMs()
    const pendingLoads = this.pendingLoads.indexByRunner()
    const unhealthy = new Set(views.filter(({ isHealthy }) => !isHealthy).map(({ runner }) => runner.id))
    const findLoads = this.pendingLoads.summarise(service.name, (id) => !orders.isUnresponsive(id) && !unhealthy.has(id), nowMs)
    const loadedModels = new Set(views.flatMap(({ runner }) => runner.isLeaving ? [] : (runner.holdings?.models ?? []).map(({ name }) => name)))
    const models = [...pool.models.values()].map((spec): PlannerModel => {
      const rate = demand.measureRate(spec.name)
      const waitingRequests = waitingByModel.get(spec.name) ?? 0
      const unavailableMs = this.trackUnavailability(spec.name, { isLoaded: loadedModels.has(spec.name), isAwaited: waitingRequests > 0 }, nowMs)
      return { spec, requestsPerSecond: rate.requests, uncachedTokensPerSecond: rate.uncachedTokens, longTermRequestsPerSecond: rate.longTermRequests, waitingRequests, unavailableMs, ...findLoads(spec.name) }
    })
    return {
      slotsPerRunner: pool.slots,
      ...this.findRouteTerms(service.name),
      runners: views.map((view) => this.makePlannerRunner(view, pool, orders, pendingLoads, openRequests)),
      models,
      activeStoreLoads: this.pendingLoads.storeLoadCount,
      storeLoadsAllowed: this.storeLoadLimiter.countStartable(pool.loadsPerSecond, nowMs),
      storeLoadsAheadAllowed: this.storeLoadLimiter.countStartable(pool.loadsPerSecond * LOAD_AHEAD_FRACTION, nowMs),
      storeWaitMs: this.storeLoadLimiter.measureWaitMs(pool.loadsPerSecond, nowMs)
    }
  }

  /** Strictest terms of the routes to a service, computed once per configuration, which may have many routes. */
  private findRouteTerms (service: string): RouteTerms {
    const { current } = this.options.configurations
    if (current !== this.routeTerms?.configuration) this.routeTerms = { configuration: current, terms: indexRouteTerms(current?.routes ?? []) }
    return this.routeTerms?.terms.get(service) ?? NO_TERMS
  }

  /** Time until a runner can take an order, in milliseconds; infinite if it is unusable, or busy for an unknown time. */
  private computeFreeInMs ({ runner, isHealthy }: RunnerView, orders: OrderDispatcher, pendingLoad: PendingLoad | undefined): number {
    if (runner.isLeaving || !isHealthy || runner.holdings === undefined) return Number.POSITIVE_INFINITY
    // No load waits for a runner that doesn't answer; it is only tried again after a backoff.
    if (orders.isUnresponsive(runner.id) && (pendingLoad !== undefined || !orders.isReady(runner.id))) return Number.POSITIVE_INFINITY
    if (pendingLoad !== undefined) return Math.max(PLAN_STEP_MS, estimateRemainingMs(pendingLoad, this.options.clock.readMonotonicMs()))
    if (runner.holdings.isBusy) return Number.POSITIVE_INFINITY
    return orders.isReady(runner.id) ? 0 : Math.max(PLAN_STEP_MS, orders.measurePauseMs(runner.id))
  }

  private makePlannerRunner (view: RunnerView, pool: EnginePool, orders: OrderDispatcher, pendingLoads: ReadonlyMap<string, PendingLoad>, openRequests: ReadonlyMap<string, number>): PlannerRunner {
    const { runner, load } = view
    const nowMs = this.options.clock.readMonotonicMs()
    const holdings = runner.holdings
    const replicas = (holdings?.models ?? []).map((model) => ({
      model: model.name,
      openRequests: openRequests.get(makeRunnerModelKey(runner.id, model.name)) ?? 0,
      ageMs: nowMs - (this.loadedAtMs.get(`${runner.id}\n${model.name}`) ?? -Infinity)
    }))
    return {
      id: runner.id,
      freeInMs: this.computeFreeInMs(view, orders, pendingLoads.get(runner.id)),
      isServing: !runner.isLeaving,
      freeMb: pool.weightsMb - measureUsedMb(runner.holdings?.models ?? [], pool),
      slowdown: view.usualSlowdown ?? 1,
      replicas,
      loading: pendingLoads.get(runner.id)?.model,
      inMemory: holdings?.inMemory ?? [],
      onDisk: holdings?.onDisk ?? [],
      // A runner that refuses requests counts as full, whatever load the daemons know of.
      openRequests: view.backoffMs > 0 ? Math.max(load.requests, runner.slots) : load.requests,
      pendingTokens: load.pendingTokens
    }
  }

  private async runStep (step: ModelPlanStep, service: Service, pool: EnginePool): Promise<void> {
    const spec = pool.models.get(step.beneficiary)
    const runner = this.options.table.findRunner(step.runner)
    if (spec === undefined || runner?.holdings === undefined) return
    const source = findLoadSource(spec, runner.holdings)
    const nowMs = this.options.clock.readMonotonicMs()
    // Reserved before the unload, so that a model is evicted only for a load that is allowed to start.
    if (source === 'store' && !this.storeLoadLimiter.canStartLoad(pool.loadsPerSecond, nowMs)) return
    const storeLoad = source === 'store' ? this.storeLoadLimiter.reserveLoad() : undefined
    const orderCount = 1 + (step.action === 'load' ? 0 : 1 + step.furtherVictims.length)
    const pendingLoad: PendingLoad = {
      service: service.name,
      model: step.beneficiary,
      runner: step.runner,
      bornMs: runner.bornMs,
      expectedAtMs: nowMs + step.readyInMs + orderCount * ORDER_MS,
      expiresAtMs: nowMs + orderCount * MAX_DRAIN_MS + spec.storeLoadMs * MAX_LOAD_SLOWDOWN,
      isFromStore: storeLoad !== undefined,
      isOrdered: false
    }
    this.pendingLoads.add(pendingLoad)
    this.logStep(step, service)
    try {
      const canLoad = step.action === 'load' || await this.evictReplicas(step, pool)
      // The runner may have left meanwhile, and the load be planned elsewhere.
      if (canLoad && this.pendingLoads.has(pendingLoad)) await this.loadModel(step, spec, source, pool, pendingLoad, storeLoad)
    } finally {
      this.pendingLoads.delete(pendingLoad)
      if (storeLoad?.startedAtMs === Number.POSITIVE_INFINITY) this.storeLoadLimiter.cancelLoad(storeLoad)
    }
  }

  /** What decided a load: requests in expected numbers, and the replicas that it costs. */
  private logStep (step: ModelPlanStep, service: Service): void {
    const { model, beneficiary, runner, action, furtherVictims, reason, savedRequests, evictionCost, readyInMs } = step
    const evicted = action === 'load' ? [] : [model, ...furtherVictims]
    this.options.noteLoad?.(service.name, 'model', reason)
    this.options.logger.info('load planned', { model: beneficiary, runner, reason, evicted, savedRequests: formatTenth(savedRequests), evictionCost: formatTenth(evictionCost), expectedInMs: Math.round(readyInMs) })
  }

  private async evictReplicas (step: ModelPlanStep, pool: EnginePool): Promise<boolean> {
    const reason = `makes room for ${step.beneficiary}: ${step.reason}`
    for (const model of [step.model, ...step.furtherVictims]) {
      const result = await this.options.orders.sendOrder({ runner: step.runner, action: 'unload', model, adapter: undefined, pool, reason })
      if (result === 'failed') return false
      await this.options.orders.waitForOrder(step.runner, IDLE_UNLOAD_MS, MAX_DRAIN_MS)
    }
    return true
  }

  private async loadModel (step: ModelPlanStep, spec: ModelSpec, source: LoadSource, pool: EnginePool, pendingLoad: PendingLoad, storeLoad: StoreLoad | undefined): Promise<void> {
    const { orders, clock } = this.options
    const onSend = (): void => {
      pendingLoad.isOrdered = true
      if (storeLoad !== undefined) this.storeLoadLimiter.markStarted(storeLoad, clock.readMonotonicMs())
    }
    const result = await orders.sendOrder({ runner: step.runner, action: 'load', model: spec.name, adapter: undefined, pool, reason: step.reason, onSend })
    if (result === 'failed') return
    await orders.waitForOrder(step.runner, findLoadDurationMs(spec, source))
    this.loadedAtMs.set(`${step.runner}\n${spec.name}`, clock.readMonotonicMs())
  }
}

function formatTenth (value: number): number {
  return Math.round(value * 10) / 10
}

/** Strictest terms of the routes to a service, in milliseconds; 0 where none declares any. */
type RouteTerms = Pick<ModelPlanInput, 'objectiveMs' | 'maxPauseMs'>

const NO_TERMS: RouteTerms = { objectiveMs: 0, maxPauseMs: 0 }

function indexRouteTerms (routes: readonly Route[]): Map<string, RouteTerms> {
  const terms = new Map<string, RouteTerms>()
  for (const { targets, objectiveMs, maxPauseMs } of routes) {
    for (const { service } of targets) {
      const known = terms.get(service) ?? NO_TERMS
      terms.set(service, { objectiveMs: chooseStricter(known.objectiveMs, objectiveMs), maxPauseMs: chooseStricter(known.maxPauseMs, maxPauseMs) })
    }
  }
  return terms
}

function chooseStricter (a: number, b: number): number {
  return a > 0 && b > 0 ? Math.min(a, b) : Math.max(a, b)
}
