/**
 * Values replicas by the requests that come late or fail within the time in which demand shifts: what another replica
 * saves, and what the eviction of one costs. Pure: no clock, no I/O.
 *
 * It handles this load pattern: demand for some models outgrows their replicas while all memory is in use, so that each
 * further replica has to be weighed against one that is evicted.
 */
import { addWork, computePrefillSeconds, estimateLatePerSecond, NO_WORK, type LatenessLimits, type ReplicaWork, type RunnerWork } from './FigquayFleetReplicaLateness.js'
import type { PlannerModel, PlannerReplica, PlannerRunner } from './FigquayFleetModelPlanTypes.js'

/** Time for which a replica is expected to be of use, in seconds: demand shifts to other models within it. */
export const HORIZON_SECONDS = 8
/** Requests whose failure costs as much as a load: owners count it as one or two. */
export const LOAD_COST_REQUESTS = 1.5
/** Replicas of a model on which the effect of one more or less is evaluated; it is extrapolated to the others. */
const MAX_EVALUATED_REPLICAS = 6
/** Base cost of evicting a replica of which there are others: it may have been added for demand that has yet to arrive. */
const SURPLUS_EVICTION_COST = 0.05
/** Base cost of evicting the only replica of a model, however rarely it is requested. */
const LAST_EVICTION_COST = 1
/** Runners whose slowdowns differ by less than this share an evaluation. */
const SLOWDOWN_CLASS = 0.05
const MS_PER_SECOND = 1_000

/** Work of a model, and the serving runners that do it. */
interface ModelWork {
  readonly work: ReplicaWork
  readonly runners: readonly PlannerRunner[]
  /** Sum of the speeds of these runners: the work is divided in proportion to speed. */
  readonly speed: number
}

/** Replicas on a runner once the order under way is done, so that no other one is added for the same demand. */
function listExpectedReplicas ({ replicas, loading }: PlannerRunner): ReadonlyArray<Pick<PlannerReplica, 'model' | 'openRequests'>> {
  return loading === undefined || replicas.some(({ model }) => model === loading) ? replicas : [...replicas, { model: loading, openRequests: 0 }]
}

/** Values of replicas in one plan. */
export class ReplicaValues {
  private readonly modelWork = new Map<string, ModelWork>()
  private readonly runnerWork = new Map<string, RunnerWork>()
  private readonly latePerSecond = new Map<string, number>()
  private readonly relief = new Map<string, number>()
  private readonly burden = new Map<string, number>()

  private constructor (private readonly models: ReadonlyMap<string, PlannerModel>, private readonly limits: LatenessLimits) {}

  /**
   * @example
   * const values = ReplicaValues.create(runners, models, { objectiveMs: 807, maxPauseMs: 500, slots: 32 })
   */
  static create (runners: readonly PlannerRunner[], models: ReadonlyMap<string, PlannerModel>, limits: LatenessLimits): ReplicaValues {
    const values = new ReplicaValues(models, limits)
    values.indexWork(runners)
    return values
  }

  private indexWork (runners: readonly PlannerRunner[]): void {
    const serving = runners.filter((runner) => runner.isServing)
    const collected = new Map<string, { runners: PlannerRunner[], speed: number, openRequests: number }>()
    for (const runner of serving) {
      for (const { model, openRequests } of listExpectedReplicas(runner)) {
        const known = collected.get(model) ?? { runners: [], speed: 0, openRequests: 0 }
        collected.set(model, known)
        known.runners.push(runner)
        known.speed += 1 / runner.slowdown
        known.openRequests += openRequests
      }
    }
    for (const [name, { runners: held, speed, openRequests }] of collected) {
      const model = this.models.get(name)
      const work = { requestsPerSecond: model?.requestsPerSecond ?? 0, prefillSeconds: computePrefillSeconds(model?.uncachedTokensPerSecond ?? 0), openRequests }
      this.modelWork.set(name, { work, runners: held, speed })
    }
    for (const runner of serving) this.runnerWork.set(runner.id, this.sumWork(runner))
  }

  private sumWork (runner: PlannerRunner): RunnerWork {
    let sum = NO_WORK
    for (const { model } of listExpectedReplicas(runner)) {
      const { work, speed } = this.modelWork.get(model)!
      sum = addWork(sum, work, 1 / runner.slowdown / speed)
    }
    // Open requests are known by runner, which is more precise than the shares of its models.
    return { ...sum, openRequests: runner.openRequests }
  }

  /** Serving runners that hold a model. */
  listRunners (model: string): readonly PlannerRunner[] {
    return this.modelWork.get(model)?.runners ?? []
  }

  /** Requests for a model that are expected to come late each second. */
  estimateLate (model: string): number {
    const held = this.modelWork.get(model)
    if (held === undefined || held.work.requestsPerSecond <= 0) return 0
    return this.sumOverRunners(held, (runner) => {
      const work = this.runnerWork.get(runner.id)!
      return work.requestsPerSecond <= 0 ? 0 : this.measureLate(runner) * held.work.requestsPerSecond / runner.slowdown / held.speed / work.requestsPerSecond
    })
  }

  private measureLate (runner: PlannerRunner): number {
    const known = this.latePerSecond.get(runner.id)
    if (known !== undefined) return known
    const late = this.evaluateLate(runner, NO_WORK, 0)
    this.latePerSecond.set(runner.id, late)
    return late
  }

  private evaluateLate (runner: PlannerRunner, work: ReplicaWork, fraction: number): number {
    return estimateLatePerSecond(addWork(this.runnerWork.get(runner.id) ?? NO_WORK, work, fraction), runner.slowdown, this.limits)
  }

  private sumOverRunners ({ runners }: ModelWork, measure: (runner: PlannerRunner) => number, except?: string): number {
    const stride = Math.max(1, Math.floor(runners.length / MAX_EVALUATED_REPLICAS))
    let sum = 0
    let count = 0
    for (let index = 0; index < runners.length; index += stride) {
      if (runners[index]!.id === except) continue
      sum += measure(runners[index]!)
      count += 1
    }
    const total = runners.length - (except === undefined ? 0 : 1)
    return count === 0 ? 0 : sum * total / count
  }

  /**
   * Requests that another replica of a model saves within the horizon, once it is ready; negative if the requests on its
   * runner lose more.
   *
   * @example
   * values.computeGain('manual', runner, 1.4)
   */
  computeGain (model: string, runner: PlannerRunner, readyInSeconds: number): number {
    const held = this.modelWork.get(model)
    if (held === undefined || readyInSeconds >= HORIZON_SECONDS) return 0
    const share = 1 / runner.slowdown / (held.speed + 1 / runner.slowdown)
    const added = this.evaluateLate(runner, held.work, share) - this.measureLate(runner)
    return (this.measureRelief(model, held, runner.slowdown, share) - added) * (HORIZON_SECONDS - readyInSeconds)
  }

  /** Fewer late requests per second on the existing replicas of a model if another runner takes a share of its work. */
  private measureRelief (model: string, held: ModelWork, slowdown: number, share: number): number {
    const key = `${model}\n${Math.round(slowdown / SLOWDOWN_CLASS)}`
    const known = this.relief.get(key)
    if (known !== undefined) return known
    const relief = this.sumOverRunners(held, (runner) => this.measureLate(runner) - this.evaluateLate(runner, held.work, -share / runner.slowdown / held.speed))
    this.relief.set(key, relief)
    return relief
  }

  /**
   * Requests that come late or fail within the horizon if a replica is evicted.
   *
   * @example
   * values.computeEvictionCost('manual', runner, 2)
   */
  computeEvictionCost (name: string, runner: PlannerRunner, replicas: number): number {
    const model = this.models.get(name)
    if (model === undefined) return 0
    const held = this.modelWork.get(name)
    if (replicas > 1 && held !== undefined && held.runners.length > 1) return SURPLUS_EVICTION_COST + this.computeRemovalLoss(name, held, runner) * HORIZON_SECONDS
    const requestsPerSecond = Math.max(model.requestsPerSecond, model.longTermRequestsPerSecond)
    const isRequestedProbability = 1 - Math.exp(-requestsPerSecond * HORIZON_SECONDS)
    // The weights stay on the runner's disk, but it is usually busy when they are needed again: another loads them from the store.
    return LAST_EVICTION_COST + isRequestedProbability * (LOAD_COST_REQUESTS + requestsPerSecond * (1 + model.spec.storeLoadMs / MS_PER_SECOND))
  }

  private computeRemovalLoss (name: string, held: ModelWork, runner: PlannerRunner): number {
    const share = 1 / runner.slowdown / held.speed
    const relieved = this.measureLate(runner) - this.evaluateLate(runner, held.work, -share)
    return Math.max(0, this.measureBurden(name, held, runner, share) - relieved)
  }

  /** More late requests per second on the other replicas of a model if one of them is evicted. */
  private measureBurden (name: string, held: ModelWork, evicted: PlannerRunner, share: number): number {
    const key = held.runners.length <= MAX_EVALUATED_REPLICAS ? `${name}\n${evicted.id}` : `${name}\n${Math.round(evicted.slowdown / SLOWDOWN_CLASS)}`
    const known = this.burden.get(key)
    if (known !== undefined) return known
    const remainingSpeed = held.speed - 1 / evicted.slowdown
    const burden = this.sumOverRunners(held, (runner) => this.evaluateLate(runner, held.work, share / runner.slowdown / remainingSpeed) - this.measureLate(runner), evicted.id)
    this.burden.set(key, burden)
    return burden
  }
}
