/**
 * Plans which models to load and unload on which runners. Pure: no clock, no I/O.
 *
 * It handles these load patterns:
 * - A rarely used model is requested while no runner has it loaded. It is loaded where that is fastest, evicting the
 *   replicas with the lowest eviction cost if there is no free memory.
 * - Demand shifts to another model within seconds, and bursts. Replicas are added before requests queue on the existing
 *   ones, on fast runners with little work first.
 * - A runner is lost with the only replica of a model.
 * - More models are in constant demand than fit into memory, so that no replica is ever idle. The models are loaded in
 *   turn, those in higher demand for longer.
 */
import { findLoadSource, findLoadDurationMs } from './FigquayFleetLoadSource.js'
import type { LoadReason, ModelPlanInput, ModelPlanStep, PlannerModel, PlannerRunner, UnplacedModel, UnplacedReason } from './FigquayFleetModelPlanTypes.js'
import { HORIZON_SECONDS, LOAD_COST_REQUESTS, ReplicaValues } from './FigquayFleetReplicaValue.js'
import { VictimChooser, type VictimSet } from './FigquayFleetVictims.js'

/** Fraction of a runner's slots that requests on one replica may use before another is added; smaller batches lose little speed. */
const SCALE_UP_SLOT_FRACTION = 0.4
/** Uncached prompt tokens of the requests on one replica above which another is added: about half a second of a runner's work. */
const SCALE_UP_PROMPT_TOKENS = 20_000
/** Requests in progress on a runner that cost as much as one second of loading time. */
const OPEN_REQUESTS_PER_COST_SECOND = 8
/**
 * Uncached prompt tokens per second on one replica above which another is added if there is free memory: a fifth of a
 * runner's prefill rate. Where a replica has to be evicted, the late requests decide instead.
 */
const PROMPT_TOKENS_PER_SECOND_PER_REPLICA = 7_000
/**
 * Replicas of a model that may load at once, as a fraction of its existing ones. At 1 their number can double in one
 * loading time, which follows a steep rise within a few.
 */
const MAX_LOADING_FRACTION = 1
/** Replicas of a model that may load at once, however few there are. */
const MIN_LOADING_LIMIT = 2
/** Models that one plan adds replicas of, those with the most late requests: bounds its effort. */
const MAX_MODELS_TO_EXTEND = 16
/** Cost of one pending prompt token on a runner of normal speed, in seconds of loading time. */
const COST_SECONDS_PER_PENDING_TOKEN = 1 / 10_000
/** Cost of the speed of a runner of normal speed, in seconds of loading time: a long prompt takes about this time on it. */
const SLOWDOWN_COST_SECONDS = 0.25
/** Fraction of the serving runners that may be blocked by loads from the weight store which no request waits for. */
const MAX_STORE_LOADING_FRACTION = 0.25
/** A second load of a model that requests wait for is started only if it is ready this much sooner than the first, in seconds. */
const MIN_SPEEDUP_SECONDS = 2
/** Arrivals of this time count as waiting, in seconds: the requests of callers who won't wait for a load are refused at once. */
const REFUSED_ARRIVAL_SECONDS = 2
/** Expected time for a replica in use to finish its requests before it is unloaded, in seconds. */
const DRAIN_SECONDS = 2
/**
 * Accepted cost of evicting a replica in use, for each second in which a model's requests have found no replica. It
 * grows until the model is loaded, so that no model starves.
 */
const IN_USE_EVICTION_COST_PER_UNAVAILABLE_SECOND = 0.5
/** A busy runner may be busy for longer than expected: costs of waiting for it, in seconds and as a fraction of the time to wait. */
const DEFERRAL_DOUBT_SECONDS = 0.25
const DEFERRAL_DOUBT_FRACTION = 0.25
/** Time until the next plan at least, in milliseconds. */
const NEXT_PLAN_MS = 100
const MS_PER_SECOND = 1_000

/** Runners that one plan looks at for loads from the weight store, over all models: bounds its effort. */
const MAX_STORE_EVALUATIONS = 20_000
/** Loads from the weight store that one plan begins although no request waits for them. */
const MAX_STORE_LOADS_AHEAD = 1

/**
 * Requests that wait for a model, or would if they could, weighted by the time for which there has been none, so that no rare
 * model waits forever.
 */
function computeUrgency ({ waitingRequests, requestsPerSecond, unavailableMs }: PlannerModel): number {
  return Math.max(waitingRequests, requestsPerSecond * REFUSED_ARRIVAL_SECONDS) * (1 + (unavailableMs / MS_PER_SECOND) ** 2)
}

/** What speaks against a runner, in seconds of loading time: its work, its speed, and that it may be busy for longer than expected. */
function computeRunnerCost ({ freeInMs, openRequests, pendingTokens, slowdown }: PlannerRunner): number {
  const deferralCost = freeInMs > 0 ? DEFERRAL_DOUBT_SECONDS + freeInMs / MS_PER_SECOND * DEFERRAL_DOUBT_FRACTION : 0
  return deferralCost + openRequests / OPEN_REQUESTS_PER_COST_SECOND + slowdown * (pendingTokens * COST_SECONDS_PER_PENDING_TOKEN + SLOWDOWN_COST_SECONDS)
}

/** A way of loading a model on one runner. */
interface PlacementOption {
  readonly step: ModelPlanStep
  /** In seconds of loading time, or in requests that are late or fail. */
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

  /** Counts a replica that this plan evicts as gone. */
  removeReplica (model: string): void {
    this.replicaCounts.set(model, this.countReplicas(model) - 1)
  }

  countOpenRequests (model: string): number {
    return this.openRequests.get(model) ?? 0
  }

  listCachingRunners (model: string): readonly PlannerRunner[] {
    return this.cachingRunners.get(model) ?? []
  }
}

/** Why a replica is added, and what that may cost. */
interface PlacementGoal {
  readonly reason: LoadReason
  /** Whether victims may be evicted on a runner; undefined if the runner has room. */
  readonly isAcceptable: (victims: VictimSet | undefined, runner: PlannerRunner, readyInSeconds: number) => boolean
  /** Value of a replica on a runner, which reduces the cost of the option. */
  readonly computeGain: (runner: PlannerRunner, readyInSeconds: number) => number
}

/** Computes one plan; its input must not change meanwhile. */
class ModelPlanner {
  private readonly index: ModelIndex
  private readonly models: ReadonlyMap<string, PlannerModel>
  private readonly values: ReplicaValues
  private readonly victims: VictimChooser
  private readonly reservedRunners = new Set<string>()
  /** Loads from the weight store that this plan may still begin, for requests that wait and ahead of them. */
  private storeLoadsLeft: number
  private storeLoadsAheadLeft: number

  constructor (private readonly input: ModelPlanInput, private readonly reportUnplaced: (unplaced: UnplacedModel) => void) {
    this.index = new ModelIndex(input.runners)
    this.models = new Map(input.models.map((model) => [model.spec.name, model]))
    this.values = ReplicaValues.create(input.runners, this.models, { objectiveMs: input.objectiveMs, maxPauseMs: input.maxPauseMs, slots: input.slotsPerRunner })
    this.victims = VictimChooser.create(this.models, ({ model }, runner) => this.values.computeEvictionCost(model, runner, this.index.countReplicas(model)))
    const maxStoreLoads = Math.max(1, Math.floor(MAX_STORE_EVALUATIONS / Math.max(1, input.runners.length)))
    this.storeLoadsLeft = Math.min(input.storeLoadsAllowed, maxStoreLoads)
    this.storeLoadsAheadLeft = Math.min(input.storeLoadsAheadAllowed, MAX_STORE_LOADS_AHEAD)
  }

  planSteps (): ModelPlanStep[] {
    const unloaded = this.input.models.filter((model) => this.countReplicas(model) === 0)
    const awaited = unloaded.filter((model) => model.waitingRequests > 0).sort((a, b) => computeUrgency(b) - computeUrgency(a) || b.requestsPerSecond - a.requestsPerSecond)
    const prefetchable = unloaded.filter((model) => model.waitingRequests === 0 && model.readyInMs === undefined).sort((a, b) => b.longTermRequestsPerSecond - a.longTermRequestsPerSecond)
    return [
      ...awaited.flatMap((model) => this.planAwaitedModel(model)),
      ...this.listModelsToExtend().flatMap((model) => this.planAdditionalReplicas(model)),
      ...prefetchable.flatMap((model) => this.planPrefetch(model))
    ]
  }

  private planAwaitedModel (model: PlannerModel): ModelPlanStep[] {
    // Draining a replica in use blocks its runner; usually an idle one turns up before that would pay off.
    const maxInUseEvictionCost = IN_USE_EVICTION_COST_PER_UNAVAILABLE_SECOND * model.unavailableMs / MS_PER_SECOND
    const goal: PlacementGoal = {
      reason: 'requests are waiting and no runner has it loaded',
      isAcceptable: (victims) => victims === undefined || !victims.isInUse || victims.evictionCost <= maxInUseEvictionCost,
      computeGain: () => 0
    }
    return this.planReplica(model, goal, (reason, best) => this.reportUnplaced({ model: model.spec.name, reason, runner: best?.step.runner, readyInMs: this.estimateReadyMs(model, reason, best) }))
  }

  /** Time until a model that is not loaded now will be, in milliseconds. */
  private estimateReadyMs (model: PlannerModel, reason: UnplacedReason, best: PlacementOption | undefined): number {
    if (reason === 'a replica is already loading') return model.readyInMs!
    if (reason === 'the weight store is at its limit') return Math.max(NEXT_PLAN_MS, this.input.storeWaitMs) + model.spec.storeLoadMs
    if (best !== undefined) return best.step.readyInMs
    return this.estimateRoomMs(model)
  }

  /** Time until replicas in use may be evicted for a model, and it is loaded in their place, in milliseconds; infinite if there are none. */
  private estimateRoomMs (model: PlannerModel): number {
    const option = this.findBestOption(model, { reason: 'requests are waiting and no runner has it loaded', isAcceptable: () => true, computeGain: () => 0 })
    if (option === undefined) return Number.POSITIVE_INFINITY
    const acceptableAfterMs = option.step.evictionCost / IN_USE_EVICTION_COST_PER_UNAVAILABLE_SECOND * MS_PER_SECOND
    return Math.max(0, acceptableAfterMs - model.unavailableMs) + option.step.readyInMs
  }

  /** A load that nobody waits for takes free memory, and no runner that requests are using. */
  private planPrefetch (model: PlannerModel): ModelPlanStep[] {
    return this.planReplica(model, {
      reason: 'no runner has it loaded',
      isAcceptable: (victims, runner) => victims === undefined && (runner.openRequests === 0 || this.isCachedOn(model, runner)),
      computeGain: () => 0
    })
  }

  private countReplicas (model: PlannerModel): number {
    return this.index.countReplicas(model.spec.name)
  }

  /** Whether a serving runner has the weights in main memory or on disk, so that the model would be ready soon. */
  private isCached ({ spec }: PlannerModel): boolean {
    return this.index.listCachingRunners(spec.name).some((runner) => runner.isServing)
  }

  private isCachedOn ({ spec }: PlannerModel, runner: PlannerRunner): boolean {
    return findLoadSource(spec, runner) !== 'store'
  }

  /** Models of which another replica may be worth its load, those with the most late requests first. */
  private listModelsToExtend (): PlannerModel[] {
    return this.input.models
      .filter((model) => this.countReplicas(model) > 0 && this.countLoadable(model) > 0)
      .map((model) => ({ model, late: this.values.estimateLate(model.spec.name) }))
      .filter(({ model, late }) => late * HORIZON_SECONDS > LOAD_COST_REQUESTS || this.countMissingReplicas(model) > 0)
      .sort((a, b) => b.late - a.late || b.model.requestsPerSecond - a.model.requestsPerSecond)
      .slice(0, MAX_MODELS_TO_EXTEND)
      .map(({ model }) => model)
  }

  /** Replicas that may start loading beside those that are loading. */
  private countLoadable (model: PlannerModel): number {
    return Math.max(MIN_LOADING_LIMIT, Math.floor(this.countReplicas(model) * MAX_LOADING_FRACTION)) - model.loadingReplicas
  }

  /** Replicas that demand calls for, besides the existing and the loading ones, if they are to process prompts without stalling streams. */
  private countMissingReplicas (model: PlannerModel): number {
    const neededForTokenRate = 1 + Math.floor(model.uncachedTokensPerSecond / PROMPT_TOKENS_PER_SECOND_PER_REPLICA)
    const neededForOpenRequests = Math.ceil((this.index.countOpenRequests(model.spec.name) + model.waitingRequests) / this.computeRequestsPerReplica(model))
    return Math.max(neededForTokenRate, neededForOpenRequests) - this.countReplicas(model) - model.loadingReplicas
  }

  /** Requests that one replica can take. Fewer with long prompts, which delay each other and concurrent streams. */
  private computeRequestsPerReplica ({ requestsPerSecond, uncachedTokensPerSecond }: PlannerModel): number {
    const tokensPerRequest = requestsPerSecond > 0 ? uncachedTokensPerSecond / requestsPerSecond : 0
    return Math.max(1, Math.min(this.input.slotsPerRunner * SCALE_UP_SLOT_FRACTION, SCALE_UP_PROMPT_TOKENS / Math.max(1, tokensPerRequest)))
  }

  private planAdditionalReplicas (model: PlannerModel): ModelPlanStep[] {
    const missing = Math.min(this.countMissingReplicas(model), this.countLoadable(model))
    const steps = Array.from({ length: Math.max(0, missing) }).flatMap(() => this.planReplica({ ...model, readyInMs: undefined }, this.makeThresholdGoal(model)))
    // What is loading relieves the replicas first: without this pause, a replay of shifting demand had a tenth more loads.
    return steps.length > 0 || model.loadingReplicas > 0 ? steps : this.planReplica({ ...model, readyInMs: undefined }, this.makeLatenessGoal(model))
  }

  /** Free memory is used as soon as the replicas have much work: it costs no other model a replica. */
  private makeThresholdGoal ({ spec }: PlannerModel): PlacementGoal {
    return {
      reason: 'its replicas are overloaded',
      isAcceptable: (victims) => victims === undefined,
      computeGain: (runner, readyInSeconds) => Math.max(0, this.values.computeGain(spec.name, runner, readyInSeconds))
    }
  }

  /** Any replica makes way for one that saves more requests than its eviction and the load cost. */
  private makeLatenessGoal ({ spec }: PlannerModel): PlacementGoal {
    return {
      reason: 'requests would come late on its replicas',
      isAcceptable: (victims, runner, readyInSeconds) => this.values.computeGain(spec.name, runner, readyInSeconds) > LOAD_COST_REQUESTS + (victims?.evictionCost ?? 0),
      computeGain: (runner, readyInSeconds) => this.values.computeGain(spec.name, runner, readyInSeconds)
    }
  }

  /** The cheapest step towards another replica, if the goal allows one and it can start now. */
  private planReplica (model: PlannerModel, goal: PlacementGoal, reportRejection: (reason: UnplacedReason, best: PlacementOption | undefined) => void = () => {}): ModelPlanStep[] {
    const best = this.findBestOption(model, goal)
    const rejection = this.findRejection(model, best)
    // The runner's next order is reserved for this model, so that no other model waits for it as well.
    if (best?.isDeferred === true) this.reservedRunners.add(best.step.runner)
    if (rejection !== undefined) reportRejection(rejection, best)
    if (rejection !== undefined || best === undefined) return []
    this.reservedRunners.add(best.step.runner)
    if (best.step.fromStore) {
      this.storeLoadsLeft -= 1
      this.storeLoadsAheadLeft -= 1
    }
    this.applyEvictions(best.step)
    return [best.step]
  }

  /** Two steps of one plan must not each take one of two replicas for a surplus one. */
  private applyEvictions (step: ModelPlanStep): void {
    if (step.action === 'load') return
    for (const model of [step.model, ...step.furtherVictims]) {
      this.index.removeReplica(model)
      this.victims.invalidateRunners(this.values.listRunners(model))
    }
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
    return Number.isFinite(runner.freeInMs) && !this.reservedRunners.has(runner.id) && runner.loading !== spec.name && !runner.replicas.some((replica) => replica.model === spec.name)
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
    if (this.storeLoadsLeft <= 0 || isAwaited) return this.storeLoadsLeft > 0
    return this.storeLoadsAheadLeft > 0 && this.input.activeStoreLoads < Math.max(1, this.index.servingRunnerCount * MAX_STORE_LOADING_FRACTION)
  }

  private evaluateOption (model: PlannerModel, runner: PlannerRunner, goal: PlacementGoal): PlacementOption | undefined {
    const { spec } = model
    const source = findLoadSource(spec, runner)
    const victims = runner.freeMb >= spec.weightsMb ? undefined : this.victims.chooseVictims(runner, spec.weightsMb)
    if (victims === undefined && runner.freeMb < spec.weightsMb) return undefined
    const readyInSeconds = (findLoadDurationMs(spec, source) + runner.freeInMs) / MS_PER_SECOND + (victims?.isInUse === true ? DRAIN_SECONDS : 0)
    if (!goal.isAcceptable(victims, runner, readyInSeconds)) return undefined
    const savedRequests = goal.computeGain(runner, readyInSeconds)
    const evictionCost = victims?.evictionCost ?? 0
    return {
      cost: readyInSeconds + computeRunnerCost(runner) + evictionCost - savedRequests,
      readyInSeconds,
      isDeferred: runner.freeInMs > 0,
      step: { action: victims === undefined ? 'load' : 'unload', runner: runner.id, model: victims?.models[0] ?? spec.name, furtherVictims: victims?.models.slice(1) ?? [], beneficiary: spec.name, fromStore: source === 'store', readyInMs: readyInSeconds * MS_PER_SECOND, savedRequests, evictionCost, reason: goal.reason }
    }
  }
}

/**
 * Plans the next loads and unloads, at most one per runner. The effort grows with the number of runners plus the number
 * of models, not with their product: runners with cached weights are indexed, few models per plan are loaded from the weight
 * store where there are many runners, and few get further replicas in one plan.
 *
 * @param reportUnplaced Called for each model that requests wait for and that this plan does not load.
 * @example
 * for (const step of planModels(input)) startStep(step)
 */
export function planModels (input: ModelPlanInput, reportUnplaced: (unplaced: UnplacedModel) => void = () => {}): ModelPlanStep[] {
  return new ModelPlanner(input, reportUnplaced).planSteps()
}
