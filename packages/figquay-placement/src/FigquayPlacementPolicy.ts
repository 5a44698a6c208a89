/** Interface of placement policies, which decide which models to load and unload. Planning has no side effects on runners. */
import type { PlacementPolicySettings } from 'figquay-contracts'
import type { ReplicaState } from './FigquayPlacementLedger.js'

/** A runner, as input of a placement policy. */
export interface PlannerRunner {
  readonly id: string
  readonly zone: string
  /** Whether the runner responds and is not leaving. Only then do its replicas count. */
  readonly isServing: boolean
  /** Whether the runner is serving and orders may be sent to it now. */
  readonly isSchedulable: boolean
  /** Bytes available for models: neither in use nor reserved by an open order. */
  readonly freeBytes: number
  readonly replicas: readonly ReplicaState[]
  /** Ids of the models with an open order. */
  readonly modelsWithOpenOrder: ReadonlySet<string>
  /** Monotonic time of the last model move, in milliseconds. */
  readonly lastMoveAtMs: number
}

/** A configured model version, as input of a placement policy. */
export interface PlannerModel {
  /** `name@version`. */
  readonly id: string
  readonly bytes: number
  /** Mean number of runners that its requests keep busy. */
  readonly demand: number
  /** Runner time per request, in seconds. */
  readonly workPerRequest: number
}

/** Input of a placement policy. */
export interface PlacementInput {
  readonly runners: readonly PlannerRunner[]
  readonly models: readonly PlannerModel[]
  readonly policy: PlacementPolicySettings
  readonly nowMs: number
  /** Model loads that the weight store's limits allow to start now. */
  readonly loadsLeft: number
}

/** A planned move: the load or unload of a model on a runner. */
export interface PlannedMove {
  readonly action: 'load-model' | 'unload-model'
  readonly runner: string
  /** Model id. */
  readonly subject: string
  readonly bytes: number
  /** Reason for the move, shown to operators. */
  readonly reason: string
}

/** Placement policy. */
export abstract class PlacementPolicy {
  /** Plans the moves to make now, in order of urgency. */
  abstract planMoves (input: PlacementInput): PlannedMove[]
}

/** Lists the serving runners with a ready or loading replica of a model. */
export function listRunnersWithModel (input: PlacementInput, modelId: string): PlannerRunner[] {
  return input.runners.filter((runner) => runner.isServing && runner.replicas.some((replica) => replica.id === modelId && replica.phase !== 'leaving'))
}

/** Lists the serving runners with a ready replica of a model. */
export function listRunnersWithReadyModel (input: PlacementInput, modelId: string): PlannerRunner[] {
  return input.runners.filter((runner) => runner.isServing && runner.replicas.some((replica) => replica.id === modelId && replica.phase === 'ready'))
}
