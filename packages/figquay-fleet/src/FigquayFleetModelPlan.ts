/**
 * Plans which models to load and unload on which runners. Pure: no clock, no I/O.
 *
 * It handles these load patterns:
 * - A rarely used model is requested while no runner has it loaded. It is loaded where that is fastest, evicting the
 *   replica with the lowest eviction cost if there is no free memory.
 * - Demand shifts to another model within seconds. Replicas are added as soon as requests queue on the existing ones.
 * - A runner is lost with the only replica of a model.
 * - More models are in constant demand than fit into memory, so that no replica is ever idle. The models are loaded in
 *   turn, those in higher demand for longer.
 */
import { findLoadSource, findLoadDurationMs } from './FigquayFleetLoadSource.js'
import type { ModelSpec } from './FigquayFleetTypes.js'

/** A model that is loaded on a runner, as planner input. */
export interface PlannerReplica {
  readonly model: string
  /** Requests in progress on this replica. */
  readonly openRequests: number
  /** Time since the replica was loaded, in milliseconds. */
  readonly ageMs: number
}

/** A runner, as planner input. */
export interface PlannerRunner {
  readonly id: string
  /** Time until the runner can take an order, in milliseconds; infinite if unknown. */
  readonly freeInMs: number
  /** Whether the runner accepts requests; only replicas on such runners are counted. */
  readonly isServing: boolean
  readonly freeMb: number
  readonly replicas: readonly PlannerReplica[]
  /** Models with their weights in the runner's main memory. */
  readonly inMemory: readonly string[]
  /** Models with their weights on the runner's disk. */
  readonly onDisk: readonly string[]
  readonly openRequests: number
  /** Prompt tokens of requests that have had no output yet. */
  readonly pendingTokens: number
}

/** A model, as planner input. */
export interface PlannerModel {
  readonly spec: ModelSpec
  readonly requestsPerSecond: number
  readonly promptTokensPerSecond: number
  /** Requests that wait for a replica. */
  readonly waitingRequests: number
  /** Time for which requests have found no replica, in milliseconds; 0 while there is one. */
  readonly unavailableMs: number
  /** Time until the first loading replica is ready, in milliseconds; undefined if none is loading. */
  readonly readyInMs: number | undefined
  readonly loadingReplicas: number
}

/** State of the fleet that a plan is based on. */
export interface ModelPlanInput {
  /** Requests that one runner processes concurrently. */
  readonly slotsPerRunner: number
  readonly runners: readonly PlannerRunner[]
  readonly models: readonly PlannerModel[]
  /** Whether the rate limit of the weight store allows another load now. */
  readonly canLoadFromStore: boolean
  /** Loads from the weight store in progress. */
  readonly activeStoreLoads: number
}

/** One step of a plan: a load, or an unload that frees memory for a load. */
export interface ModelPlanStep {
  readonly action: 'load' | 'unload'
  readonly runner: string
  /** Model to load or unload. */
  readonly model: string
  /** Model that is loaded in the end; the same as `model` unless the step is an unload. */
  readonly beneficiary: string
  /** Whether the beneficiary is loaded from the weight store. */
  readonly fromStore: boolean
  readonly reason: string
}

/** Fraction of a runner's slots that requests on one replica may use before another is added; smaller batches lose little speed. */
const SCALE_UP_SLOT_FRACTION = 0.4
/** Prompt tokens of the requests on one replica above which another is added: about one second of a runner's work. */
const SCALE_UP_PROMPT_TOKENS = 45_000
/** Requests in progress on a runner that cost as much as one second of loading time. */
const OPEN_REQUESTS_PER_COST_SECOND = 8
/** Prompt tokens per second that one replica processes without stalling concurrent streams: a third of a runner's prefill rate. */
const PROMPT_TOKENS_PER_SECOND_PER_REPLICA = 14_000
/**
 * Replicas of a model that may load at once, as a fraction of its existing ones. At 1 their number can double in one
 * loading time, which follows a steep rise within a few.
 */
const MAX_LOADING_FRACTION = 1
/** Replicas of a model that may load at once, however few there are. */
const MIN_LOADING_LIMIT = 2
/** Cost of one pending prompt token on a runner, in seconds of loading time. */
const COST_SECONDS_PER_PENDING_TOKEN = 1 / 10_000
/** A replica is not evicted before this age, in milliseconds; otherwise two models could evict each other in turn. */
const MIN_RESIDENCY_MS = 4_000
/** Weight of one request per second that loses its replica, against one second of loading time. */
const EVICTION_COST_PER_REQUEST_RATE = 1
/** Base cost of evicting a replica of which there are others: it may have been added for demand that has yet to arrive. */
const SURPLUS_REPLICA_EVICTION_COST = 0.05
/** Eviction cost up to which a model without requests is prefetched, if only the weight store has it. */
const MAX_PREFETCH_EVICTION_COST = 0.3
/** Base cost of evicting the only replica of a model, in seconds of loading time, however rarely it is requested. */
const LAST_REPLICA_EVICTION_COST = 0.5
/** Fraction of the serving runners that may be blocked by loads from the weight store which no request waits for. */
const MAX_STORE_LOADING_FRACTION = 0.25
/** A second load of a model that requests wait for is started only if it is ready this much sooner than the first, in seconds. */
const MIN_SPEEDUP_SECONDS = 2
/** Expected time for a replica in use to finish its requests before it is unloaded, in seconds. */
const DRAIN_SECONDS = 2
/**
 * Accepted cost of evicting a replica in use, for each second in which a model's requests have found no replica. It
 * grows until the model is loaded, so that no model starves.
 */
const IN_USE_EVICTION_COST_PER_UNAVAILABLE_SECOND = 0.5
const MS_PER_SECOND = 1_000

/** Why a model that requests wait for is not loaded now. */
export type UnplacedReason =
  /** The runner with the lowest cost has to finish another order first. */
  | 'the best runner is busy'
  /** Each replica that could be evicted was loaded too recently, has requests waiting or costs too much. */
  | 'no replica can be evicted'
  /** A load in progress will be ready nearly as soon. */
  | 'a replica is already loading'
  /** Only the weight store has the model, and it allows no more loads now. */
  | 'the weight store is at its limit'

/** A way of loading a model on one runner. */
interface PlacementOption {
  readonly step: ModelPlanStep
  /** In seconds of loading time. */
  readonly cost: number
  /** Time until the model would be ready, in seconds. */
  readonly readyInSeconds: number
  /** The runner is still busy; waiting for it is cheaper than using another one. */
  readonly isDeferred: boolean
}

/** Totals of each model, collected in one pass over the runners. */
class ModelIndex {
  /** Replicas on serving runners. */
  private readonly replicaCounts = new Map<string, number>()
  /** Requests in progress, over all replicas. */
  private readonly openRequests = new Map<string, number>()
  /** Runners with the weights in main memory or on disk. */
  private readonly cachingRunners = new Map<string, PlannerRunner[]>()
  readonly servingRunnerCount: number

  constructor (runners: readonly PlannerRunner[]) {
    this.servingRunnerCount = runners.filter((runner) => runner.isServing).length
    for (const runner of runners) {
      for (const { model, openRequests } of runner.replicas) {
        this.openRequests.set(model, (this.openRequests.get(model) ?? 0) + openRequests)
        if (runner.isServing) this.replicaCounts.set(model, (this.replicaCounts.get(model) ?? 0) + 1)
      }
      for (const model of new Set([...runner.inMemory, ...runner.onDisk])) {
        const cachingRunners = this.cachingRunners.get(model) ?? []
        this.cachingRunners.set(model, cachingRunners)
        cachingRunners.push(runner)
      }
    }
  }

  countReplicas (model: string): number {
    return this.replicaCounts.get(model) ?? 0
  }

  countOpenRequests (model: string): number {
    return this.openRequests.get(model) ?? 0
  }

  listCachingRunners (model: string): readonly PlannerRunner[] {
    return this.cachingRunners.get(model) ?? []
  }
}

/** A replica to evict. */
interface Victim {
  readonly model: string
  readonly evictionCost: number
  readonly isInUse: boolean
}

/** Why a replica is added, and what evictions it may cause. */
interface PlacementGoal {
  readonly reason: string
  /** Highest accepted cost of evicting an idle replica. */
  readonly maxEvictionCost: number
  /** Highest accepted cost of evicting a replica in use. */
  readonly maxInUseEvictionCost: number
}

/** Computes one plan; its input must not change meanwhile. */
class ModelPlanner {
  private readonly index: ModelIndex
  private readonly models: ReadonlyMap<string, PlannerModel>
  private readonly reservedRunners = new Set<string>()
  private readonly victims = new Map<string, Victim | undefined>()
  private canLoadFromStore: boolean

  constructor (private readonly input: ModelPlanInput, private readonly reportUnplaced: (model: string, reason: UnplacedReason, runner: string | undefined) => void) {
    this.index = new ModelIndex(input.runners)
    this.models = new Map(input.models.map((model) => [model.spec.name, model]))
    this.canLoadFromStore = input.canLoadFromStore
  }

  planSteps (): ModelPlanStep[] {
    const unloaded = this.input.models.filter((model) => this.countReplicas(model) === 0)
    const awaited = unloaded.filter((model) => model.waitingRequests > 0).sort((a, b) => b.waitingRequests - a.waitingRequests || b.requestsPerSecond - a.requestsPerSecond)
    const overloaded = this.input.models.filter((model) => this.countReplicasToAdd(model) > 0).sort((a, b) => b.requestsPerSecond - a.requestsPerSecond)
    const prefetchable = unloaded.filter((model) => model.waitingRequests === 0 && model.readyInMs === undefined).sort((a, b) => b.requestsPerSecond - a.requestsPerSecond)
    return [
      ...awaited.flatMap((model) => this.planAwaitedModel(model)),
      ...overloaded.flatMap((model) => this.planAdditionalReplicas(model)),
      ...prefetchable.flatMap((model) => this.planReplica(model, { reason: 'no runner has it loaded', maxEvictionCost: this.isCached(model) ? 0 : MAX_PREFETCH_EVICTION_COST, maxInUseEvictionCost: 0 }))
    ]
  }

  private planAwaitedModel (model: PlannerModel): ModelPlanStep[] {
    // Draining a replica in use blocks its runner; usually an idle one turns up before that would pay off.
    const maxInUseEvictionCost = IN_USE_EVICTION_COST_PER_UNAVAILABLE_SECOND * model.unavailableMs / MS_PER_SECOND
    const goal = { reason: 'requests are waiting and no runner has it loaded', maxEvictionCost: Number.POSITIVE_INFINITY, maxInUseEvictionCost }
    return this.planReplica(model, goal, (reason, runner) => this.reportUnplaced(model.spec.name, reason, runner))
  }

  private countReplicas (model: PlannerModel): number {
    return this.index.countReplicas(model.spec.name)
  }

  /** Whether a serving runner has the weights in main memory or on disk, so that the model would be ready soon. */
  private isCached ({ spec }: PlannerModel): boolean {
    return this.index.listCachingRunners(spec.name).some((runner) => runner.isServing)
  }

  /** Replicas to add to the existing and loading ones, as far as they may start loading now; 0 for a model without a replica. */
  private countReplicasToAdd (model: PlannerModel): number {
    const replicas = this.countReplicas(model)
    if (replicas === 0) return 0
    const neededForTokenRate = 1 + Math.floor(model.promptTokensPerSecond / PROMPT_TOKENS_PER_SECOND_PER_REPLICA)
    const neededForOpenRequests = Math.ceil((this.index.countOpenRequests(model.spec.name) + model.waitingRequests) / this.computeRequestsPerReplica(model))
    const maxLoading = Math.max(MIN_LOADING_LIMIT, Math.floor(replicas * MAX_LOADING_FRACTION))
    return Math.min(Math.max(neededForTokenRate, neededForOpenRequests) - replicas, maxLoading) - model.loadingReplicas
  }

  /** Requests that one replica can take. Fewer with long prompts, which delay each other and concurrent streams. */
  private computeRequestsPerReplica ({ requestsPerSecond, promptTokensPerSecond }: PlannerModel): number {
    const tokensPerRequest = requestsPerSecond > 0 ? promptTokensPerSecond / requestsPerSecond : 0
    return Math.max(1, Math.min(this.input.slotsPerRunner * SCALE_UP_SLOT_FRACTION, SCALE_UP_PROMPT_TOKENS / Math.max(1, tokensPerRequest)))
  }

  private planAdditionalReplicas (model: PlannerModel): ModelPlanStep[] {
    return Array.from({ length: this.countReplicasToAdd(model) }).flatMap(() => this.planReplica({ ...model, readyInMs: undefined }, { reason: 'its replicas are overloaded', maxEvictionCost: model.requestsPerSecond, maxInUseEvictionCost: 0 }))
  }

  /** The cheapest step towards another replica, if the goal allows one and it can start now. */
  private planReplica (model: PlannerModel, goal: PlacementGoal, reportRejection: (reason: UnplacedReason, runner: string | undefined) => void = () => {}): ModelPlanStep[] {
    const best = this.findBestOption(model, goal)
    const rejection = this.findRejection(model, best)
    // The runner's next order is reserved for this model, so that no other model waits for it as well.
    if (best?.isDeferred === true) this.reservedRunners.add(best.step.runner)
    if (rejection !== undefined) reportRejection(rejection, best?.step.runner)
    if (rejection !== undefined || best === undefined) return []
    this.reservedRunners.add(best.step.runner)
    if (best.step.fromStore) this.canLoadFromStore = false
    return [best.step]
  }

  private findBestOption (model: PlannerModel, goal: PlacementGoal): PlacementOption | undefined {
    let best: PlacementOption | undefined
    for (const runner of this.mayLoadFromStore(model) ? this.input.runners : this.index.listCachingRunners(model.spec.name)) {
      if (!this.isCandidate(runner, model)) continue
      const option = this.evaluateOption(model, runner, goal)
      if (option !== undefined && (best === undefined || option.cost < best.cost)) best = option
    }
    return best
  }

  private isCandidate (runner: PlannerRunner, { spec }: PlannerModel): boolean {
    return Number.isFinite(runner.freeInMs) && !this.reservedRunners.has(runner.id) && !runner.replicas.some((replica) => replica.model === spec.name)
  }

  /** Why the best option is not taken now; undefined if it is. */
  private findRejection (model: PlannerModel, best: PlacementOption | undefined): UnplacedReason | undefined {
    if (best === undefined) return this.mayLoadFromStore(model) || this.isCached(model) ? 'no replica can be evicted' : 'the weight store is at its limit'
    if (best.isDeferred) return 'the best runner is busy'
    return this.isMuchSooner(model, best) ? undefined : 'a replica is already loading'
  }

  /** Whether an option would be ready well before the replica that is already loading. */
  private isMuchSooner ({ readyInMs }: PlannerModel, option: PlacementOption): boolean {
    return readyInMs === undefined || readyInMs / MS_PER_SECOND > option.readyInSeconds + MIN_SPEEDUP_SECONDS
  }

  /** Loads from the weight store are slow and block their runners, so those that no request waits for are limited. */
  private mayLoadFromStore (model: PlannerModel): boolean {
    const isAwaited = model.waitingRequests > 0 && this.countReplicas(model) === 0
    return this.canLoadFromStore && (isAwaited || this.input.activeStoreLoads < Math.max(1, this.index.servingRunnerCount * MAX_STORE_LOADING_FRACTION))
  }

  private evaluateOption (model: PlannerModel, runner: PlannerRunner, goal: PlacementGoal): PlacementOption | undefined {
    const { spec } = model
    const source = findLoadSource(spec, runner)
    const fromStore = source === 'store'
    const loadSeconds = findLoadDurationMs(spec, source) / MS_PER_SECOND + runner.freeInMs / MS_PER_SECOND
    const isDeferred = runner.freeInMs > 0
    const queueingCost = runner.openRequests / OPEN_REQUESTS_PER_COST_SECOND + runner.pendingTokens * COST_SECONDS_PER_PENDING_TOKEN
    const step = { runner: runner.id, beneficiary: spec.name, fromStore, reason: goal.reason }
    if (runner.freeMb >= spec.weightsMb) {
      return { cost: loadSeconds + queueingCost, readyInSeconds: loadSeconds, isDeferred, step: { ...step, action: 'load', model: spec.name } }
    }
    const victim = this.findVictim(runner)
    if (victim === undefined || victim.evictionCost > (victim.isInUse ? goal.maxInUseEvictionCost : goal.maxEvictionCost)) return undefined
    const readyInSeconds = loadSeconds + (victim.isInUse ? DRAIN_SECONDS : 0)
    return { cost: readyInSeconds + queueingCost + victim.evictionCost, readyInSeconds, isDeferred, step: { ...step, action: 'unload', model: victim.model } }
  }

  /**
   * The replica on a runner with the lowest eviction cost; one in use only if none is idle. Models with waiting requests
   * and replicas that were loaded recently are not evicted.
   */
  private findVictim (runner: PlannerRunner): Victim | undefined {
    if (this.victims.has(runner.id)) return this.victims.get(runner.id)
    const [victim] = runner.replicas
      .filter((replica) => replica.ageMs >= MIN_RESIDENCY_MS && (this.models.get(replica.model)?.waitingRequests ?? 0) === 0)
      .map((replica) => ({ model: replica.model, evictionCost: this.computeEvictionCost(replica.model), isInUse: replica.openRequests > 0 }))
      .sort((a, b) => Number(a.isInUse) - Number(b.isInUse) || a.evictionCost - b.evictionCost)
    this.victims.set(runner.id, victim)
    return victim
  }

  /** Cost of evicting a replica: seconds of loading time, weighted by the requests that it serves. */
  private computeEvictionCost (modelName: string): number {
    const model = this.models.get(modelName)
    if (model === undefined) return 0
    const replicas = this.countReplicas(model)
    if (replicas > 1) return SURPLUS_REPLICA_EVICTION_COST + EVICTION_COST_PER_REQUEST_RATE * model.requestsPerSecond / replicas
    // The weights stay on the runner's disk, but it is usually busy when they are needed again: another loads them from the store.
    return LAST_REPLICA_EVICTION_COST + EVICTION_COST_PER_REQUEST_RATE * model.requestsPerSecond * (1 + model.spec.storeLoadMs / MS_PER_SECOND)
  }
}

/**
 * Plans the next loads and unloads, at most one per runner. The effort grows with the number of runners plus the number
 * of models, not with their product: runners with cached weights are indexed, and at most one model per plan is loaded
 * from the weight store.
 *
 * @param reportUnplaced Called for each model that requests wait for and that this plan does not load, with the runner
 * that would have been best.
 * @example
 * for (const step of planModels(input)) startStep(step)
 */
export function planModels (input: ModelPlanInput, reportUnplaced: (model: string, reason: UnplacedReason, runner: string | undefined) => void = () => {}): ModelPlanStep[] {
  return new ModelPlanner(input, reportUnplaced).planSteps()
}
