/** Chooses which replicas are evicted on a runner to make room for a model. Pure: no clock, no I/O. */
import type { PlannerModel, PlannerReplica, PlannerRunner } from './FigquayFleetModelPlanTypes.js'

/** Replicas to evict from one runner. */
export interface VictimSet {
  /** Models, in the order in which they are unloaded; at least one. */
  readonly models: readonly string[]
  /** Requests that the eviction is expected to cost. */
  readonly evictionCost: number
  /** Whether one of them is processing requests, which it finishes first. */
  readonly isInUse: boolean
}

/** A replica that may be evicted. */
interface Victim {
  readonly model: string
  readonly weightsMb: number
  readonly evictionCost: number
  readonly isInUse: boolean
}

/** A replica is not evicted before this age, in milliseconds; otherwise two models could evict each other in turn. */
const MIN_RESIDENCY_MS = 4_000

/** Chooses victims for one plan. */
export class VictimChooser {
  private readonly victims = new Map<string, readonly Victim[]>()
  /** Chosen sets by runner and memory needed: models have few sizes, and a plan looks at each runner for many of them. */
  private readonly sets = new Map<string, Map<number, VictimSet | undefined>>()
  private readonly largestMb: number

  private constructor (private readonly models: ReadonlyMap<string, PlannerModel>, private readonly computeCost: (replica: PlannerReplica, runner: PlannerRunner) => number) {
    this.largestMb = [...models.values()].reduce((largest, { spec }) => Math.max(largest, spec.weightsMb), 0)
  }

  /**
   * @param computeCost Requests that the eviction of a replica is expected to cost.
   * @example
   * const chooser = VictimChooser.create(models, (replica) => 1)
   */
  static create (models: ReadonlyMap<string, PlannerModel>, computeCost: (replica: PlannerReplica, runner: PlannerRunner) => number): VictimChooser {
    return new VictimChooser(models, computeCost)
  }

  /**
   * The cheapest replicas that leave room for `neededMb` when they are evicted; replicas in use only if idle ones don't
   * suffice. Undefined if there is no such set. Models with waiting requests and replicas that were loaded recently stay.
   *
   * @example
   * chooser.chooseVictims(runner, 34_000)?.models
   */
  chooseVictims (runner: PlannerRunner, neededMb: number): VictimSet | undefined {
    const sets = this.sets.get(runner.id) ?? new Map<number, VictimSet | undefined>()
    this.sets.set(runner.id, sets)
    if (!sets.has(neededMb)) sets.set(neededMb, this.findVictims(runner, neededMb))
    return sets.get(neededMb)
  }

  private findVictims (runner: PlannerRunner, neededMb: number): VictimSet | undefined {
    const victims = this.listVictims(runner)
    const single = victims.find(({ weightsMb }) => runner.freeMb + weightsMb >= neededMb)
    const several = this.collectVictims(victims, neededMb - runner.freeMb)
    const sets = [...single === undefined ? [] : [makeSet([single])], ...several === undefined ? [] : [makeSet(several)]]
    return sets.sort((a, b) => Number(a.isInUse) - Number(b.isInUse) || a.evictionCost - b.evictionCost)[0]
  }

  /** Forgets the victims of runners, as the cost of evicting their replicas has changed. */
  invalidateRunners (runners: readonly PlannerRunner[]): void {
    for (const { id } of runners) {
      this.victims.delete(id)
      this.sets.delete(id)
    }
  }

  private listVictims (runner: PlannerRunner): readonly Victim[] {
    const known = this.victims.get(runner.id)
    if (known !== undefined) return known
    const victims = runner.replicas
      .filter((replica) => replica.ageMs >= MIN_RESIDENCY_MS && (this.models.get(replica.model)?.waitingRequests ?? 0) === 0)
      // A model that is no longer configured is assumed to be as large as the largest configured one.
      .map((replica): Victim => ({ model: replica.model, weightsMb: this.models.get(replica.model)?.spec.weightsMb ?? this.largestMb, evictionCost: this.computeCost(replica, runner), isInUse: replica.openRequests > 0 }))
      .sort((a, b) => Number(a.isInUse) - Number(b.isInUse) || a.evictionCost - b.evictionCost)
    this.victims.set(runner.id, victims)
    return victims
  }

  private collectVictims (victims: readonly Victim[], missingMb: number): readonly Victim[] | undefined {
    const chosen: Victim[] = []
    let freedMb = 0
    for (const victim of victims) {
      if (freedMb >= missingMb) break
      chosen.push(victim)
      freedMb += victim.weightsMb
    }
    if (freedMb < missingMb) return undefined
    // A smaller one that the last made needless stays.
    return chosen.filter((victim) => {
      const isNeeded = freedMb - victim.weightsMb < missingMb
      if (!isNeeded) freedMb -= victim.weightsMb
      return isNeeded
    })
  }
}

function makeSet (victims: readonly Victim[]): VictimSet {
  return { models: victims.map(({ model }) => model), evictionCost: victims.reduce((sum, victim) => sum + victim.evictionCost, 0), isInUse: victims.some((victim) => victim.isInUse) }
}
