/** Placement by gain: every model one copy first, then moves that win more than their price. */
import { listReady, listServing, PlacementPolicy, type PlannedModel, type PlannedMove, type PlannedRunner, type PlanView } from './FigquayPlacementPolicy.js'

/** Utilisation of a runner above which requests miss their contract. */
const COMFORTABLE_LOAD = 0.55
/** Weight of even load below that. */
const BALANCE_WEIGHT = 0.05
/** Value of a second copy, as a part of the demand that one lost runner would leave without any. */
const INSURANCE_PART = 0.08
const SECONDS_PER_MINUTE = 60
/** Gains are weighed this often at most, in milliseconds. */
const GAIN_INTERVAL_MS = 1_000

/** Expected loss of a runner under a load, in busy runners. */
function measureLoss (load: number): number {
  return Math.max(0, load - COMFORTABLE_LOAD) + BALANCE_WEIGHT * load * load
}

/** Demand on each runner when each model's demand is spread evenly over its copies. */
class LoadModel {
  private readonly holders = new Map<string, string[]>()
  private readonly loads = new Map<string, number>()

  constructor (private readonly view: PlanView) {
    for (const model of view.models) {
      const serving = listServing(view, model.id).map((runner) => runner.id)
      this.holders.set(model.id, serving)
      for (const runner of serving) this.loads.set(runner, this.readLoad(runner) + model.demand / serving.length)
    }
  }

  readLoad (runner: string): number {
    return this.loads.get(runner) ?? 0
  }

  /** Loss that a further copy on a runner takes away; negative when it adds some. */
  measureAdding (model: PlannedModel, runner: string): number {
    const holders = this.holders.get(model.id) ?? []
    return this.measureChange(model, holders, [...holders, runner])
  }

  /** Loss that one copy less takes away; negative as a rule. */
  measureRemoving (model: PlannedModel, runner: string): number {
    const holders = this.holders.get(model.id) ?? []
    return this.measureChange(model, holders, holders.filter((holder) => holder !== runner))
  }

  private measureChange (model: PlannedModel, before: readonly string[], after: readonly string[]): number {
    const touched = new Set([...before, ...after])
    let gain = 0
    for (const runner of touched) {
      const load = this.readLoad(runner)
      const oldPart = before.includes(runner) ? model.demand / before.length : 0
      const newPart = after.includes(runner) ? model.demand / after.length : 0
      gain += measureLoss(load) - measureLoss(load - oldPart + newPart)
    }
    return gain + this.measureInsurance(model, after.length) - this.measureInsurance(model, before.length)
  }

  private measureInsurance (model: PlannedModel, copies: number): number {
    return copies >= 2 ? INSURANCE_PART * model.demand : 0
  }
}

interface Candidate {
  readonly moves: readonly PlannedMove[]
  /** Requests per minute won, less the price. */
  readonly profit: number
}

/** Placement by marginal gain. */
export class GainPlacement extends PlacementPolicy {
  private lastGainAtMs = Number.NEGATIVE_INFINITY

  /**
   * @example
   * const policy = GainPlacement.create()
   */
  static create (): GainPlacement {
    return new GainPlacement()
  }

  override planMoves (view: PlanView): PlannedMove[] {
    const obsolete = this.planObsolete(view)
    const missing = view.models.filter((model) => listServing(view, model.id).length === 0)
    const floor = this.planFloor(view, missing)
    // Reachability goes before any gain.
    if (missing.length > 0) return [...obsolete, ...floor]
    return [...obsolete, ...this.planGain(view)]
  }

  /** Versions and models that nobody asks for any more, once what replaces them serves. */
  private planObsolete (view: PlanView): PlannedMove[] {
    const wanted = new Set(view.models.map((model) => model.id))
    return view.runners.filter((runner) => runner.isUsable).flatMap((runner) => runner.copies
      .filter((copy) => copy.phase === 'ready' && !wanted.has(copy.id) && !runner.busySubjects.has(copy.id) && this.isReplaced(view, copy.id))
      .map((copy) => makeUnload(runner, copy.id, copy.bytes, 'no longer in the configuration')))
  }

  /** Until the wanted version is ready one older version serves; any others only take its room. */
  private isReplaced (view: PlanView, oldId: string): boolean {
    const name = readModelName(oldId)
    const successor = view.models.find((model) => readModelName(model.id) === name)
    if (successor === undefined || listReady(view, successor.id).length > 0) return true
    return findFallback(view, name) !== oldId
  }

  /** One copy of each model that has none, the most wanted first. */
  private planFloor (view: PlanView, missing: readonly PlannedModel[]): PlannedMove[] {
    const moves: PlannedMove[] = []
    const free = new Map(view.runners.map((runner) => [runner.id, runner.freeBytes]))
    let loadsLeft = view.loadsLeft
    for (const model of [...missing].sort((a, b) => b.demand - a.demand || b.bytes - a.bytes)) {
      const target = this.findRoomiest(view, model, free)
      if (target === undefined) {
        moves.push(...this.planRoom(view, model, moves))
        continue
      }
      if (loadsLeft <= 0) break
      loadsLeft -= 1
      free.set(target.id, free.get(target.id)! - model.bytes)
      moves.push(makeLoad(target, model, 'no runner holds the model'))
    }
    return moves
  }

  private findRoomiest (view: PlanView, model: PlannedModel, free: ReadonlyMap<string, number>): PlannedRunner | undefined {
    return view.runners
      .filter((runner) => runner.isUsable && free.get(runner.id)! >= model.bytes && !hasSubject(runner, model.id))
      .sort((a, b) => free.get(b.id)! - free.get(a.id)!)[0]
  }

  /** Unloads second copies on the runner where that costs least; the load follows once they are gone. */
  private planRoom (view: PlanView, model: PlannedModel, planned: readonly PlannedMove[]): PlannedMove[] {
    const loads = new LoadModel(view)
    const unloading = new Set(planned.filter((move) => move.action === 'unload-model').map((move) => move.subject))
    const options = view.runners.filter((runner) => runner.isUsable && !hasSubject(runner, model.id)).flatMap((runner) => {
      // What is already on its way out makes room too.
      const leaving = runner.copies.filter((copy) => copy.phase === 'leaving').reduce((sum, copy) => sum + copy.bytes, 0)
      if (runner.freeBytes + leaving >= model.bytes) return [{ moves: [], profit: Number.POSITIVE_INFINITY }]
      const option = this.findVictims(view, loads, runner, model.bytes - runner.freeBytes - leaving, unloading)
      return option === undefined ? [] : [option]
    })
    return [...options.sort((a, b) => b.profit - a.profit)[0]?.moves ?? []]
  }

  /** Second copies on a runner that make enough room, the least missed first. */
  private findVictims (view: PlanView, loads: LoadModel, runner: PlannedRunner, bytes: number, excluded: ReadonlySet<string>): Candidate | undefined {
    const spare = runner.copies
      .filter((copy) => copy.phase === 'ready' && !runner.busySubjects.has(copy.id) && !excluded.has(copy.id) && isReadyElsewhere(view, copy.id, runner))
      .map((copy) => ({ copy, cost: this.measureRemovalCost(view, loads, copy.id, runner.id) }))
      .sort((a, b) => a.cost - b.cost)
    const moves: PlannedMove[] = []
    let found = 0
    let profit = 0
    for (const { copy, cost } of spare) {
      if (found >= bytes) break
      found += copy.bytes
      profit -= cost
      moves.push(makeUnload(runner, copy.id, copy.bytes, 'makes room; another copy serves'))
    }
    return found >= bytes ? { moves, profit } : undefined
  }

  /** Requests per minute that are lost with a copy. */
  private measureRemovalCost (view: PlanView, loads: LoadModel, modelId: string, runner: string): number {
    const model = view.models.find((candidate) => candidate.id === modelId)
    return model === undefined ? 0 : convertToRequests(-loads.measureRemoving(model, runner), model)
  }

  /** The one best move whose gain is above its price. */
  private planGain (view: PlanView): PlannedMove[] {
    if (view.loadsLeft <= 0 || view.nowMs - this.lastGainAtMs < GAIN_INTERVAL_MS) return []
    this.lastGainAtMs = view.nowMs
    const loads = new LoadModel(view)
    const rested = view.runners.filter((runner) => runner.isUsable && view.nowMs - runner.lastMoveAtMs >= view.policy.coolDown)
    const candidates = view.models.filter((model) => model.demand > 0).flatMap((model) => rested
      .filter((runner) => !hasSubject(runner, model.id) && !runner.busySubjects.has(model.id))
      .flatMap((runner) => this.weighCopy(view, loads, model, runner)))
    const best = candidates.sort((a, b) => b.profit - a.profit)[0]
    return best === undefined || best.profit <= 0 ? [] : [...best.moves]
  }

  private weighCopy (view: PlanView, loads: LoadModel, model: PlannedModel, runner: PlannedRunner): Candidate[] {
    const gain = convertToRequests(loads.measureAdding(model, runner.id), model)
    if (gain <= view.policy.movePrice) return []
    if (runner.freeBytes >= model.bytes) return [{ moves: [makeLoad(runner, model, `wins ${gain.toFixed(1)} requests a minute`)], profit: gain - view.policy.movePrice }]
    const victims = this.findVictims(view, loads, runner, model.bytes - runner.freeBytes, new Set())
    if (victims === undefined) return []
    const price = view.policy.movePrice * (1 + victims.moves.length)
    return [{ moves: victims.moves, profit: gain + victims.profit - price }]
  }
}

/** Name part of `name@version`. */
function readModelName (modelId: string): string {
  return modelId.split('@')[0]!
}

/** The older version that serves a model for now: the latest by its name. */
function findFallback (view: PlanView, name: string): string | undefined {
  const ready = view.runners.filter((runner) => runner.isServing)
    .flatMap((runner) => runner.copies.filter((copy) => copy.phase === 'ready' && readModelName(copy.id) === name).map((copy) => copy.id))
  return ready.sort().at(-1)
}

function convertToRequests (busyRunners: number, model: PlannedModel): number {
  return busyRunners / model.workPerRequest * SECONDS_PER_MINUTE
}

export function hasSubject (runner: PlannedRunner, subject: string): boolean {
  return runner.copies.some((copy) => copy.id === subject)
}

/** The last copy of a model is never unloaded. */
function isReadyElsewhere (view: PlanView, modelId: string, runner: PlannedRunner): boolean {
  return listReady(view, modelId).some((other) => other.id !== runner.id)
}

export function makeLoad (runner: PlannedRunner, model: PlannedModel, reason: string): PlannedMove {
  return { action: 'load-model', runner: runner.id, subject: model.id, bytes: model.bytes, reason }
}

export function makeUnload (runner: PlannedRunner, subject: string, bytes: number, reason: string): PlannedMove {
  return { action: 'unload-model', runner: runner.id, subject, bytes, reason }
}
