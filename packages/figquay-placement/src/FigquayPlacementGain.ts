/** Greedy placement by marginal gain: first one replica of each model, then moves whose gain exceeds their price. */
import { listRunnersWithReadyModel, listRunnersWithModel, PlacementPolicy, type PlannerModel, type PlannedMove, type PlannerRunner, type PlacementInput } from './FigquayPlacementPolicy.js'

/** Utilisation of a runner, as a fraction, above which requests miss the targets of their contract. */
const OVERLOAD_UTILISATION = 0.55
/** Weight of the quadratic term that favours an even load below that utilisation. */
const BALANCE_WEIGHT = 0.05
/** Value of a second replica, as a fraction of the demand that the loss of one runner would leave without a replica. */
const REDUNDANCY_VALUE_FRACTION = 0.08
const SECONDS_PER_MINUTE = 60
/** Minimum interval between two plans for gain. */
const MIN_GAIN_PLAN_INTERVAL_MS = 1_000

/** Estimates the loss of a runner at a load. Both are in busy runners. */
function computeLoss (load: number): number {
  return Math.max(0, load - OVERLOAD_UTILISATION) + BALANCE_WEIGHT * load * load
}

/** Load on each runner if the demand for each model is spread evenly over its replicas. */
class LoadDistribution {
  private readonly runnersByModel = new Map<string, string[]>()
  private readonly loadByRunner = new Map<string, number>()

  constructor (private readonly input: PlacementInput) {
    for (const model of input.models) {
      const runnerIds = listRunnersWithModel(input, model.id).map((runner) => runner.id)
      this.runnersByModel.set(model.id, runnerIds)
      for (const runnerId of runnerIds) this.loadByRunner.set(runnerId, this.readLoad(runnerId) + model.demand / runnerIds.length)
    }
  }

  readLoad (runner: string): number {
    return this.loadByRunner.get(runner) ?? 0
  }

  /** Loss avoided by an additional replica on a runner; negative if it adds to the loss. */
  computeGainOfAdding (model: PlannerModel, runner: string): number {
    const runnerIds = this.runnersByModel.get(model.id) ?? []
    return this.computeGain(model, runnerIds, [...runnerIds, runner])
  }

  /** Loss avoided by removing the replica on a runner; usually negative. */
  computeGainOfRemoving (model: PlannerModel, runner: string): number {
    const runnerIds = this.runnersByModel.get(model.id) ?? []
    return this.computeGain(model, runnerIds, runnerIds.filter((id) => id !== runner))
  }

  private computeGain (model: PlannerModel, before: readonly string[], after: readonly string[]): number {
    const affectedRunners = new Set([...before, ...after])
    let gain = 0
    for (const runner of affectedRunners) {
      const load = this.readLoad(runner)
      const oldShare = before.includes(runner) ? model.demand / before.length : 0
      const newShare = after.includes(runner) ? model.demand / after.length : 0
      gain += computeLoss(load) - computeLoss(load - oldShare + newShare)
    }
    return gain + this.computeRedundancyValue(model, after.length) - this.computeRedundancyValue(model, before.length)
  }

  private computeRedundancyValue (model: PlannerModel, replicaCount: number): number {
    return replicaCount >= 2 ? REDUNDANCY_VALUE_FRACTION * model.demand : 0
  }
}

interface CandidatePlan {
  readonly moves: readonly PlannedMove[]
  /** Requests per minute gained, minus the price of the moves. */
  readonly netGain: number
}

/** Placement policy by marginal gain. */
export class GainPlacement extends PlacementPolicy {
  private lastGainPlanAtMs = Number.NEGATIVE_INFINITY

  /**
   * @example
   * const policy = GainPlacement.create()
   */
  static create (): GainPlacement {
    return new GainPlacement()
  }

  override planMoves (input: PlacementInput): PlannedMove[] {
    const obsoleteUnloads = this.planObsoleteUnloads(input)
    const missingModels = input.models.filter((model) => listRunnersWithModel(input, model.id).length === 0)
    const firstReplicas = this.planFirstReplicas(input, missingModels)
    // A replica for every model takes priority over any gain.
    if (missingModels.length > 0) return [...obsoleteUnloads, ...firstReplicas]
    return [...obsoleteUnloads, ...this.planBestGain(input)]
  }

  /** Unloads models and versions that are no longer configured, once their replacement is ready. */
  private planObsoleteUnloads (input: PlacementInput): PlannedMove[] {
    const wantedModels = new Set(input.models.map((model) => model.id))
    return input.runners.filter((runner) => runner.isSchedulable).flatMap((runner) => runner.replicas
      .filter((replica) => replica.phase === 'ready' && !wantedModels.has(replica.id) && !runner.modelsWithOpenOrder.has(replica.id) && this.isSuperseded(input, replica.id))
      .map((replica) => makeUnloadMove(runner, replica.id, replica.bytes, 'no longer in the configuration')))
  }

  /**
   * Whether an unconfigured version may be unloaded. Until the configured version is ready, one fallback version serves;
   * others occupy memory that the configured one needs.
   */
  private isSuperseded (input: PlacementInput, oldId: string): boolean {
    const name = parseModelName(oldId)
    const successor = input.models.find((model) => parseModelName(model.id) === name)
    if (successor === undefined || listRunnersWithReadyModel(input, successor.id).length > 0) return true
    return findFallbackVersion(input, name) !== oldId
  }

  /** Loads one replica of each model that has none, in descending order of demand. */
  private planFirstReplicas (input: PlacementInput, missingModels: readonly PlannerModel[]): PlannedMove[] {
    const moves: PlannedMove[] = []
    const freeBytesByRunner = new Map(input.runners.map((runner) => [runner.id, runner.freeBytes]))
    let loadsLeft = input.loadsLeft
    for (const model of [...missingModels].sort((a, b) => b.demand - a.demand || b.bytes - a.bytes)) {
      const target = this.findEmptiestRunner(input, model, freeBytesByRunner)
      if (target === undefined) {
        moves.push(...this.planEvictions(input, model, moves))
        continue
      }
      if (loadsLeft <= 0) break
      loadsLeft -= 1
      freeBytesByRunner.set(target.id, freeBytesByRunner.get(target.id)! - model.bytes)
      moves.push(makeLoadMove(target, model, 'no runner has the model loaded'))
    }
    return moves
  }

  private findEmptiestRunner (input: PlacementInput, model: PlannerModel, freeBytesByRunner: ReadonlyMap<string, number>): PlannerRunner | undefined {
    return input.runners
      .filter((runner) => runner.isSchedulable && freeBytesByRunner.get(runner.id)! >= model.bytes && !hasReplica(runner, model.id))
      .sort((a, b) => freeBytesByRunner.get(b.id)! - freeBytesByRunner.get(a.id)!)[0]
  }

  /** Evicts redundant replicas on the runner where that costs least. A later plan loads the model once they are unloaded. */
  private planEvictions (input: PlacementInput, model: PlannerModel, planned: readonly PlannedMove[]): PlannedMove[] {
    const loads = new LoadDistribution(input)
    const unloadingModels = new Set(planned.filter((move) => move.action === 'unload-model').map((move) => move.subject))
    const candidates = input.runners.filter((runner) => runner.isSchedulable && !hasReplica(runner, model.id)).flatMap((runner) => {
      // Memory of replicas that are being unloaded will be free too.
      const leavingBytes = runner.replicas.filter((replica) => replica.phase === 'leaving').reduce((sum, replica) => sum + replica.bytes, 0)
      if (runner.freeBytes + leavingBytes >= model.bytes) return [{ moves: [], netGain: Number.POSITIVE_INFINITY }]
      const candidate = this.planRunnerEvictions(input, loads, runner, model.bytes - runner.freeBytes - leavingBytes, unloadingModels)
      return candidate === undefined ? [] : [candidate]
    })
    return [...candidates.sort((a, b) => b.netGain - a.netGain)[0]?.moves ?? []]
  }

  /** Evicts redundant replicas on a runner, those with the lowest cost first, until enough memory is free. */
  private planRunnerEvictions (input: PlacementInput, loads: LoadDistribution, runner: PlannerRunner, neededBytes: number, excludedModels: ReadonlySet<string>): CandidatePlan | undefined {
    const victims = runner.replicas
      .filter((replica) => replica.phase === 'ready' && !runner.modelsWithOpenOrder.has(replica.id) && !excludedModels.has(replica.id) && isReadyElsewhere(input, replica.id, runner))
      .map((replica) => ({ replica, cost: this.computeRemovalCost(input, loads, replica.id, runner.id) }))
      .sort((a, b) => a.cost - b.cost)
    const moves: PlannedMove[] = []
    let freedBytes = 0
    let netGain = 0
    for (const { replica, cost } of victims) {
      if (freedBytes >= neededBytes) break
      freedBytes += replica.bytes
      netGain -= cost
      moves.push(makeUnloadMove(runner, replica.id, replica.bytes, 'evicted to make room; another replica is ready'))
    }
    return freedBytes >= neededBytes ? { moves, netGain } : undefined
  }

  /** Requests per minute lost by removing a replica. */
  private computeRemovalCost (input: PlacementInput, loads: LoadDistribution, modelId: string, runner: string): number {
    const model = input.models.find((candidate) => candidate.id === modelId)
    return model === undefined ? 0 : convertToRequestsPerMinute(-loads.computeGainOfRemoving(model, runner), model)
  }

  /** Plans the replica with the highest net gain, if that is positive. */
  private planBestGain (input: PlacementInput): PlannedMove[] {
    if (input.loadsLeft <= 0 || input.nowMs - this.lastGainPlanAtMs < MIN_GAIN_PLAN_INTERVAL_MS) return []
    this.lastGainPlanAtMs = input.nowMs
    const loads = new LoadDistribution(input)
    const eligibleRunners = input.runners.filter((runner) => runner.isSchedulable && input.nowMs - runner.lastMoveAtMs >= input.policy.coolDown)
    const candidates = input.models.filter((model) => model.demand > 0).flatMap((model) => eligibleRunners
      .filter((runner) => !hasReplica(runner, model.id) && !runner.modelsWithOpenOrder.has(model.id))
      .flatMap((runner) => this.evaluateReplica(input, loads, model, runner)))
    const best = candidates.sort((a, b) => b.netGain - a.netGain)[0]
    return best === undefined || best.netGain <= 0 ? [] : [...best.moves]
  }

  /** Evaluates an additional replica. If memory is short, the plan has only the evictions; a later plan loads the model. */
  private evaluateReplica (input: PlacementInput, loads: LoadDistribution, model: PlannerModel, runner: PlannerRunner): CandidatePlan[] {
    const gain = convertToRequestsPerMinute(loads.computeGainOfAdding(model, runner.id), model)
    if (gain <= input.policy.movePrice) return []
    if (runner.freeBytes >= model.bytes) return [{ moves: [makeLoadMove(runner, model, `gains ${gain.toFixed(1)} requests per minute`)], netGain: gain - input.policy.movePrice }]
    const evictions = this.planRunnerEvictions(input, loads, runner, model.bytes - runner.freeBytes, new Set())
    if (evictions === undefined) return []
    const totalPrice = input.policy.movePrice * (1 + evictions.moves.length)
    return [{ moves: evictions.moves, netGain: gain + evictions.netGain - totalPrice }]
  }
}

/** Returns the name in a model id, `name@version`. */
function parseModelName (modelId: string): string {
  return modelId.split('@')[0]!
}

/** Finds the ready version that serves a model until the configured one is ready: the last one in the order of ids. */
function findFallbackVersion (input: PlacementInput, name: string): string | undefined {
  const readyIds = input.runners.filter((runner) => runner.isServing)
    .flatMap((runner) => runner.replicas.filter((replica) => replica.phase === 'ready' && parseModelName(replica.id) === name).map((replica) => replica.id))
  return readyIds.sort().at(-1)
}

function convertToRequestsPerMinute (busyRunners: number, model: PlannerModel): number {
  return busyRunners / model.workPerRequest * SECONDS_PER_MINUTE
}

export function hasReplica (runner: PlannerRunner, subject: string): boolean {
  return runner.replicas.some((replica) => replica.id === subject)
}

/** Whether another runner has a ready replica. The last replica of a model is never evicted. */
function isReadyElsewhere (input: PlacementInput, modelId: string, runner: PlannerRunner): boolean {
  return listRunnersWithReadyModel(input, modelId).some((other) => other.id !== runner.id)
}

export function makeLoadMove (runner: PlannerRunner, model: PlannerModel, reason: string): PlannedMove {
  return { action: 'load-model', runner: runner.id, subject: model.id, bytes: model.bytes, reason }
}

export function makeUnloadMove (runner: PlannerRunner, subject: string, bytes: number, reason: string): PlannedMove {
  return { action: 'unload-model', runner: runner.id, subject, bytes, reason }
}
