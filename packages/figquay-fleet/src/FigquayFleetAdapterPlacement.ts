/** Placement of adapters by the leader: those that requests wait for first, then further copies of those in demand, then free slots. */
import { setBounded, type Clock, type Logger } from 'figquay'
import { planAdapter, planAdapterCopy, type AdapterCandidate, type AdapterLoad, type AdapterPlanStep, type HeldAdapter } from './FigquayFleetAdapterPlan.js'
import type { AdapterState } from './FigquayFleetModelForecasts.js'
import type { LoadReason } from './FigquayFleetModelPlanTypes.js'
import { AdapterUse } from './FigquayFleetAdapterUse.js'
import type { FleetDemand, ModelNeed } from './FigquayFleetDemand.js'
import { countUsedAdapterSlots } from './FigquayFleetOrderCheck.js'
import type { OrderDispatcher } from './FigquayFleetOrderDispatcher.js'
import type { RunnerView } from './FigquayFleetRunnerTable.js'
import { makeAdapterKey, type EnginePool, type Service } from './FigquayFleetTypes.js'

/** Why an adapter is loaded. */
export type AdapterLoadReason = 'requests are waiting for it' | 'the runners that hold it are busy' | 'an adapter slot is free'

/** Why an awaited adapter is not loaded now. */
type BlockedReason =
  /** No runner that accepts requests has the model. */
  | 'no runner has the model'
  /** A runner holds it, but the daemons with the requests don't know, or can't use it. */
  | 'a runner holds it'
  /** No runner with the model can take an order now. */
  | 'the runners with the model are busy'
  /** All adapters on the runners with the model were used just now. */
  | 'no adapter can be evicted'
  /** Too many orders are under way. */
  | 'too many orders'

/** Dependencies of the placement of adapters. */
export interface AdapterPlacementOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly demand: FleetDemand
  readonly orders: OrderDispatcher
  /** Notes that requests wait for an adapter, and returns for how long they have, in milliseconds. */
  readonly trackUnavailability: (key: string) => number
  /** Ends that time, as the adapter is loaded. */
  readonly clearUnavailability: (key: string) => void
  /** Counts a load by service and reason. */
  readonly noteLoad: (service: string, kind: 'model' | 'adapter', reason: LoadReason | AdapterLoadReason) => void
}

/** Adapters that one plan may load ahead of demand; more would delay the orders for adapters that requests wait for. */
const MAX_PRELOADS_PER_PLAN = 4
/** Further copies that one plan may load, for the same reason. */
const MAX_COPIES_PER_PLAN = 2
/** An adapter counts as in demand for this long after its last use, in milliseconds: several hint intervals. */
const IN_DEMAND_MS = 1_000
/** Requests that still wait for an adapter this long after a runner holds it get another copy, in milliseconds: needs that are met expire sooner. */
const MAX_WAIT_DESPITE_COPY_MS = 1_500
/** Shortest interval between two log lines about the same unavailable adapter, in milliseconds. */
const UNAVAILABLE_LOG_INTERVAL_MS = 1_000
/** Such lines in one plan, the adapters that have been missing for longest first: each costs the leader processor time. */
const MAX_LINES_PER_PLAN = 4
/** Adapters of which the last log line is remembered: more than are awaited at once. */
const MAX_LOGGED_ADAPTERS = 1_000
/** Prompt tokens that a runner of normal speed prefills per second. */
const PREFILL_TOKENS_PER_SECOND = 38_000

/** Plans adapters and sends the orders for them. */
export class AdapterPlacement {
  private readonly use: AdapterUse
  private readonly loadingAdapters = new Set<string>()
  /** Awaited adapters that the last plan could not load. */
  private blockedAdapters = new Map<string, AdapterState>()
  /** Time of the last log line about an adapter that is unavailable. */
  private readonly loggedAtMs = new Map<string, number>()
  private linesInPlan = 0
  /** Time since which requests have waited for an adapter although a runner holds it. */
  private awaitedDespiteCopyAtMs: ReadonlyMap<string, number> = new Map()

  private constructor (private readonly options: AdapterPlacementOptions) {
    this.use = AdapterUse.create(options.clock)
  }

  /**
   * @example
   * const adapters = AdapterPlacement.create(options)
   */
  static create (options: AdapterPlacementOptions): AdapterPlacement {
    return new AdapterPlacement(options)
  }

  /** Records that a request used an adapter on a runner. */
  recordUse (runner: string, key: string): void {
    this.use.noteUse(runner, key)
  }

  /** Starts a term as the leader: how adapters were used before is unknown. */
  startTerm (): void {
    this.use.assumeAllUsed()
  }

  /**
   * Why an awaited adapter of a loaded model is not loaded yet; undefined if no plan has seen the need.
   *
   * @example
   * adapters.findState('manual/a3') // 'loading'
   */
  findState (key: string): AdapterState | undefined {
    return this.loadingAdapters.has(key) ? 'loading' : this.blockedAdapters.get(key)
  }

  /**
   * Makes one plan for a service and starts its steps.
   *
   * @example
   * adapters.planService(service, pool, table.listViews(service.name))
   */
  planService (service: Service, pool: EnginePool, views: readonly RunnerView[]): void {
    const index = indexLoadedModels(views)
    const isOwnAdapter = (need: ModelNeed): boolean => need.service === service.name && need.adapter !== undefined
    const needs = this.options.demand.listNeeds().filter(isOwnAdapter)
    const current = new Set(needs.map(({ model, adapter }) => makeAdapterKey(model, adapter!)))
    const missed = this.options.demand.listMissedNeeds().filter((need) => isOwnAdapter(need) && !current.has(makeAdapterKey(need.model, need.adapter!)) && !index.runnersByAdapter.has(makeAdapterKey(need.model, need.adapter!)))
    // What has been asked for in vain for longest goes first, so that no adapter starves while others are in higher demand.
    const byUnavailability = [...needs, ...missed].map((need) => ({ need, unavailableMs: this.options.trackUnavailability(makeAdapterKey(need.model, need.adapter!)) }))
      .sort((a, b) => b.unavailableMs - a.unavailableMs)
    this.trackAwaitedDespiteCopy(needs, index)
    this.blockedAdapters = new Map()
    this.linesInPlan = 0
    for (const { need, unavailableMs } of byUnavailability) {
      this.startLoad(service, need.model, need.adapter!, pool, index, 'requests are waiting for it')
      this.logUnavailable(need, unavailableMs, index)
    }
    this.addCopies(service, pool, index)
    this.preloadAdapters(service, pool, index)
  }

  /** Logs periodically why an awaited adapter is not loaded, which explains why its requests are refused. */
  private logUnavailable ({ model, adapter, waiting }: ModelNeed, unavailableMs: number, index: LoadedModelIndex): void {
    const { clock, logger, orders } = this.options
    const key = makeAdapterKey(model, adapter!)
    const nowMs = clock.readMonotonicMs()
    if (this.linesInPlan >= MAX_LINES_PER_PLAN || unavailableMs < UNAVAILABLE_LOG_INTERVAL_MS || this.loadingAdapters.has(key) || nowMs - (this.loggedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < UNAVAILABLE_LOG_INTERVAL_MS) return
    this.linesInPlan += 1
    setBounded(this.loggedAtMs, key, nowMs, MAX_LOGGED_ADAPTERS)
    const runners = index.runnersByModel.get(model) ?? []
    const holders = index.runnersByAdapter.get(key) ?? []
    const ready = runners.filter((view) => this.makeCandidate(view, index).isReady)
    logger.info('adapter is still unavailable', { model, adapter, waiting, reason: this.findBlockedReason(key, runners.length, holders.length), missingMs: Math.round(unavailableMs), runners: runners.length, readyRunners: ready.length, holders: holders.length, unhealthyRunners: runners.filter(({ isHealthy }) => !isHealthy).length, loadingRunners: runners.filter(({ runner }) => runner.holdings?.isBusy === true).length, hasOrderCapacity: orders.hasCapacity })
  }

  private findBlockedReason (key: string, runnerCount: number, holderCount: number): BlockedReason {
    if (runnerCount === 0) return 'no runner has the model'
    if (holderCount > 0 && !this.isCopyUseless(key)) return 'a runner holds it'
    if (!this.options.orders.hasCapacity) return 'too many orders'
    return this.blockedAdapters.get(key) === 'no room' ? 'no adapter can be evicted' : 'the runners with the model are busy'
  }

  private trackAwaitedDespiteCopy (needs: readonly ModelNeed[], { runnersByAdapter }: LoadedModelIndex): void {
    const nowMs = this.options.clock.readMonotonicMs()
    const keys = needs.map(({ model, adapter }) => makeAdapterKey(model, adapter!)).filter((key) => runnersByAdapter.has(key))
    this.awaitedDespiteCopyAtMs = new Map(keys.map((key) => [key, this.awaitedDespiteCopyAtMs.get(key) ?? nowMs]))
  }

  /** Loads further copies of adapters in demand whose runners are busy. */
  private addCopies (service: Service, pool: EnginePool, index: LoadedModelIndex): void {
    let startedCount = 0
    for (const key of this.use.listInUse(IN_DEMAND_MS)) {
      if (startedCount >= MAX_COPIES_PER_PLAN || !this.options.orders.hasCapacity) return
      const [model, adapter] = key.split('/') as [string, string]
      const runners = index.runnersByModel.get(model) ?? []
      const holders = index.runnersByAdapter.get(key) ?? []
      if (holders.length === 0 || holders.length >= runners.length || this.loadingAdapters.has(key)) continue
      const others = runners.filter((view) => !holders.includes(view))
      const step = planAdapterCopy(holders.map(measureLoad), others.map((view) => ({ ...this.makeCandidate(view, index), ...measureLoad(view) })), pool.adapterSlots)
      if (step === undefined) continue
      this.startStep(service, step, model, adapter, pool, 'the runners that hold it are busy')
      startedCount += 1
    }
  }

  /** Loads adapters without requests into free adapter slots. */
  private preloadAdapters (service: Service, pool: EnginePool, index: LoadedModelIndex): void {
    let startedCount = 0
    for (const [model, runners] of index.runnersByModel) {
      if (!this.options.orders.hasCapacity) return
      const hasFreeSlot = runners.some(({ runner }) => countUsedAdapterSlots(runner.holdings!) < pool.adapterSlots)
      const adapterCount = hasFreeSlot ? pool.models.get(model)?.adapterCount ?? 0 : 0
      for (let number = 1; number <= adapterCount; number += 1) {
        if (startedCount >= MAX_PRELOADS_PER_PLAN) return
        if (this.startLoad(service, model, `a${number}`, pool, index, 'an adapter slot is free')) startedCount += 1
      }
    }
  }

  /** Whether requests go on waiting for an adapter that a runner holds, as daemons know of no runner that they can use. */
  private isCopyUseless (key: string): boolean {
    return this.options.clock.readMonotonicMs() - (this.awaitedDespiteCopyAtMs.get(key) ?? Number.POSITIVE_INFINITY) >= MAX_WAIT_DESPITE_COPY_MS
  }

  /** Loads an adapter that no runner holds, or none that requests reach. */
  private startLoad (service: Service, model: string, adapter: string, pool: EnginePool, index: LoadedModelIndex, reason: AdapterLoadReason): boolean {
    const key = makeAdapterKey(model, adapter)
    if (!this.options.orders.hasCapacity || this.loadingAdapters.has(key)) return false
    const holders = index.runnersByAdapter.get(key) ?? []
    if (holders.length > 0 && !this.isCopyUseless(key)) return false
    const candidates = (index.runnersByModel.get(model) ?? []).filter((view) => !holders.includes(view)).map((view) => this.makeCandidate(view, index))
    if (candidates.length === 0) return false
    const step = planAdapter(candidates, pool.adapterSlots)
    const isRequested = reason !== 'an adapter slot is free'
    if (step === undefined && isRequested) this.blockedAdapters.set(key, candidates.some((candidate) => candidate.isReady) ? 'no room' : 'runner busy')
    if (step === undefined || (step.evicted !== undefined && !isRequested)) return false
    this.startStep(service, step, model, adapter, pool, reason)
    return true
  }

  private makeCandidate (view: RunnerView, index: LoadedModelIndex): AdapterCandidate {
    const { runner, load, isHealthy } = view
    return {
      id: runner.id,
      isReady: isHealthy && this.options.orders.isReady(runner.id) && !runner.holdings!.isBusy,
      adapters: this.listHeldAdapters(view, index),
      openRequests: load.requests
    }
  }

  /** Adapters of a runner; listed once in a plan, as a plan looks at each runner for many adapters. */
  private listHeldAdapters ({ runner }: RunnerView, { runnersByAdapter, heldAdapters }: LoadedModelIndex): readonly HeldAdapter[] {
    const known = heldAdapters.get(runner.id)
    if (known !== undefined) return known
    const loadedKeys = runner.holdings!.models.flatMap(({ name, adapters }) => adapters.map((adapter) => makeAdapterKey(name, adapter)))
    const held = [...loadedKeys, ...runner.holdings!.coming].map((key) => ({ key, idleMs: this.use.measureIdleMs(runner.id, key), hasOtherCopy: (runnersByAdapter.get(key)?.length ?? 0) > 1 }))
    heldAdapters.set(runner.id, held)
    return held
  }

  private startStep (service: Service, step: AdapterPlanStep, model: string, adapter: string, pool: EnginePool, reason: AdapterLoadReason): void {
    const key = makeAdapterKey(model, adapter)
    this.loadingAdapters.add(key)
    this.options.noteLoad(service.name, 'adapter', reason)
    this.runStep(step, model, adapter, pool, reason)
      .catch((error: Error) => this.options.logger.error('adapter placement failed', { key, error: error.message }))
      .finally(() => this.loadingAdapters.delete(key))
  }

  private async runStep ({ runner, evicted }: AdapterPlanStep, model: string, adapter: string, pool: EnginePool, reason: AdapterLoadReason): Promise<void> {
    const { orders } = this.options
    if (evicted !== undefined) {
      const [oldModel, oldAdapter] = evicted.split('/') as [string, string]
      if (await orders.sendOrder({ runner, action: 'unload', model: oldModel, adapter: oldAdapter, pool, reason: `makes room for ${model}/${adapter}` }) !== 'done') return
    }
    const result = await orders.sendOrder({ runner, action: 'load', model, adapter, pool, reason })
    if (result === 'done') this.options.clearUnavailability(makeAdapterKey(model, adapter))
    // One that was loaded without requests is the first to make way.
    if (reason !== 'an adapter slot is free') this.use.noteLoaded(runner, makeAdapterKey(model, adapter))
  }
}

/** Runners that accept requests, by loaded model and by loaded adapter. */
interface LoadedModelIndex {
  readonly runnersByModel: ReadonlyMap<string, readonly RunnerView[]>
  readonly runnersByAdapter: ReadonlyMap<string, readonly RunnerView[]>
  /** Adapters of each runner that this plan has looked at. */
  readonly heldAdapters: Map<string, readonly HeldAdapter[]>
}

function indexLoadedModels (views: readonly RunnerView[]): LoadedModelIndex {
  const runnersByModel = new Map<string, RunnerView[]>()
  const runnersByAdapter = new Map<string, RunnerView[]>()
  const addRunner = (index: Map<string, RunnerView[]>, key: string, view: RunnerView): void => {
    const known = index.get(key)
    if (known === undefined) index.set(key, [view])
    else known.push(view)
  }
  for (const view of views) {
    if (view.runner.isLeaving) continue
    for (const { name, adapters } of view.runner.holdings?.models ?? []) {
      addRunner(runnersByModel, name, view)
      for (const adapter of adapters) addRunner(runnersByAdapter, makeAdapterKey(name, adapter), view)
    }
  }
  return { runnersByModel, runnersByAdapter, heldAdapters: new Map() }
}

/** A runner that refuses requests counts as full, whatever load the daemons know of. */
function measureLoad ({ runner, load, slowdown, backoffMs }: RunnerView): AdapterLoad {
  const slotFraction = backoffMs > 0 ? 1 : load.requests / Math.max(1, runner.slots)
  return { busyness: slowdown * (load.pendingTokens / PREFILL_TOKENS_PER_SECOND + slotFraction) }
}
