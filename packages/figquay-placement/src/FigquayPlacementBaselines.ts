/** Naive ways of placing models, to compare with. */
import type { PluginRegistry } from 'figquay'
import { GainPlacement, hasSubject, makeLoad, makeUnload } from './FigquayPlacementGain.js'
import { listServing, PlacementPolicy, type PlannedModel, type PlannedMove, type PlannedRunner, type PlanView } from './FigquayPlacementPolicy.js'

/** Load on a copy above which the threshold baseline adds one, in busy runners. */
const COPY_THRESHOLD = 0.7

/** The most free runner without a model takes it; when it is full its least wanted model goes first. */
function planOnFreest (view: PlanView, model: PlannedModel, used: Set<string>): PlannedMove | undefined {
  const target = view.runners.filter((runner) => runner.isUsable && !used.has(runner.id) && !hasSubject(runner, model.id)).sort((a, b) => b.freeBytes - a.freeBytes)[0]
  if (target === undefined) return undefined
  used.add(target.id)
  return target.freeBytes >= model.bytes ? makeLoad(target, model, 'asked for') : planEviction(view, target)
}

function planEviction (view: PlanView, runner: PlannedRunner): PlannedMove | undefined {
  const readDemand = (id: string): number => view.models.find((model) => model.id === id)?.demand ?? 0
  const oldest = runner.copies.filter((copy) => copy.phase === 'ready').sort((a, b) => readDemand(a.id) - readDemand(b.id))[0]
  return oldest === undefined ? undefined : makeUnload(runner, oldest.id, oldest.bytes, 'least recently used')
}

function planAll (view: PlanView, wanted: readonly PlannedModel[]): PlannedMove[] {
  const used = new Set<string>()
  const moves = wanted.map((model) => planOnFreest(view, model, used))
  return moves.filter((move) => move !== undefined).slice(0, Math.max(0, view.loadsLeft))
}

/** Load what is asked for, evict what was asked for least recently. */
export class RecentUsePlacement extends PlacementPolicy {
  /**
   * @example
   * const policy = RecentUsePlacement.create()
   */
  static create (): RecentUsePlacement {
    return new RecentUsePlacement()
  }

  override planMoves (view: PlanView): PlannedMove[] {
    const wanted = view.models.filter((model) => model.demand > 0 && listServing(view, model.id).length === 0)
    return planAll(view, wanted.sort((a, b) => b.demand - a.demand))
  }
}

/** As many copies as keep the load on each under a threshold, like a common autoscaler; evicts what is asked for least. */
export class ThresholdPlacement extends PlacementPolicy {
  /**
   * @example
   * const policy = ThresholdPlacement.create()
   */
  static create (): ThresholdPlacement {
    return new ThresholdPlacement()
  }

  override planMoves (view: PlanView): PlannedMove[] {
    const countCopies = (model: PlannedModel): number => view.runners.filter((runner) => hasSubject(runner, model.id)).length
    const wanted = view.models.filter((model) => model.demand > 0 && countCopies(model) < Math.min(view.runners.length, Math.ceil(model.demand / COPY_THRESHOLD)))
    const missing = view.models.filter((model) => countCopies(model) === 0 && model.demand === 0)
    return planAll(view, [...wanted.sort((a, b) => b.demand / countCopies(b) - a.demand / countCopies(a)), ...missing])
  }
}

/**
 * Makes the ways of placing models available by name.
 *
 * @example
 * const undo = registerPlacementPolicies(registry)
 */
export function registerPlacementPolicies (registry: PluginRegistry): () => void {
  const undos = [
    registry.registerPlugin('placement-policy', 'gain', GainPlacement.create),
    registry.registerPlugin('placement-policy', 'recent-use', RecentUsePlacement.create),
    registry.registerPlugin('placement-policy', 'threshold', ThresholdPlacement.create)
  ]
  return () => undos.forEach((undo) => undo())
}
