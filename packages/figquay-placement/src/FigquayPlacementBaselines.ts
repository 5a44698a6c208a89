/** Naive placement policies, used as baselines in measurements. */
import type { PluginRegistry } from 'figquay'
import { GainPlacement, hasReplica, makeLoadMove, makeUnloadMove } from './FigquayPlacementGain.js'
import { listRunnersWithModel, PlacementPolicy, type PlannerModel, type PlannedMove, type PlannerRunner, type PlacementInput } from './FigquayPlacementPolicy.js'

/** Load per replica, in busy runners, above which the threshold policy adds a replica. */
const MAX_LOAD_PER_REPLICA = 0.7

/** Loads a model on the runner with the most free memory; if it doesn't fit, evicts the model with the lowest demand there. */
function planOnEmptiestRunner (input: PlacementInput, model: PlannerModel, usedRunners: Set<string>): PlannedMove | undefined {
  const target = input.runners.filter((runner) => runner.isSchedulable && !usedRunners.has(runner.id) && !hasReplica(runner, model.id)).sort((a, b) => b.freeBytes - a.freeBytes)[0]
  if (target === undefined) return undefined
  usedRunners.add(target.id)
  return target.freeBytes >= model.bytes ? makeLoadMove(target, model, 'model needs a replica') : planEviction(input, target)
}

function planEviction (input: PlacementInput, runner: PlannerRunner): PlannedMove | undefined {
  const readDemand = (id: string): number => input.models.find((model) => model.id === id)?.demand ?? 0
  const victim = runner.replicas.filter((replica) => replica.phase === 'ready').sort((a, b) => readDemand(a.id) - readDemand(b.id))[0]
  return victim === undefined ? undefined : makeUnloadMove(runner, victim.id, victim.bytes, 'lowest demand on the runner')
}

function planLoads (input: PlacementInput, wanted: readonly PlannerModel[]): PlannedMove[] {
  const usedRunners = new Set<string>()
  const moves = wanted.map((model) => planOnEmptiestRunner(input, model, usedRunners))
  return moves.filter((move) => move !== undefined).slice(0, Math.max(0, input.loadsLeft))
}

/** Loads models with demand that no runner has loaded, and evicts those with the lowest recent demand. */
export class RecentUsePlacement extends PlacementPolicy {
  /**
   * @example
   * const policy = RecentUsePlacement.create()
   */
  static create (): RecentUsePlacement {
    return new RecentUsePlacement()
  }

  override planMoves (input: PlacementInput): PlannedMove[] {
    const wanted = input.models.filter((model) => model.demand > 0 && listRunnersWithModel(input, model.id).length === 0)
    return planLoads(input, wanted.sort((a, b) => b.demand - a.demand))
  }
}

/** Keeps the load per replica below a threshold, like a common autoscaler, and evicts the models with the lowest demand. */
export class ThresholdPlacement extends PlacementPolicy {
  /**
   * @example
   * const policy = ThresholdPlacement.create()
   */
  static create (): ThresholdPlacement {
    return new ThresholdPlacement()
  }

  override planMoves (input: PlacementInput): PlannedMove[] {
    const countReplicas = (model: PlannerModel): number => input.runners.filter((runner) => hasReplica(runner, model.id)).length
    const wanted = input.models.filter((model) => model.demand > 0 && countReplicas(model) < Math.min(input.runners.length, Math.ceil(model.demand / MAX_LOAD_PER_REPLICA)))
    const idleMissing = input.models.filter((model) => countReplicas(model) === 0 && model.demand === 0)
    return planLoads(input, [...wanted.sort((a, b) => b.demand / countReplicas(b) - a.demand / countReplicas(a)), ...idleMissing])
  }
}

/**
 * Registers the placement policies by name.
 *
 * @example
 * const unregister = registerPlacementPolicies(registry)
 */
export function registerPlacementPolicies (registry: PluginRegistry): () => void {
  const unregisterCallbacks = [
    registry.registerPlugin('placement-policy', 'gain', GainPlacement.create),
    registry.registerPlugin('placement-policy', 'recent-use', RecentUsePlacement.create),
    registry.registerPlugin('placement-policy', 'threshold', ThresholdPlacement.create)
  ]
  return () => unregisterCallbacks.forEach((unregister) => unregister())
}
