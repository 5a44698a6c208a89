/** Ways of deciding which models to move; a plan changes nothing by itself. */
import type { PlacementPolicySettings } from 'figquay-contracts'
import type { CountedCopy } from './FigquayPlacementLedger.js'

/** A runner as planning sees it. */
export interface PlannedRunner {
  readonly id: string
  readonly zone: string
  /** Whether it answers and is not leaving: its copies count. */
  readonly isServing: boolean
  /** Whether it serves and takes orders now. */
  readonly isUsable: boolean
  /** Bytes for models that nothing takes or may come to take. */
  readonly freeBytes: number
  readonly copies: readonly CountedCopy[]
  /** Subjects with an open order. */
  readonly busySubjects: ReadonlySet<string>
  /** Monotonic time of the last move, in milliseconds. */
  readonly lastMoveAtMs: number
}

/** A model that the configuration asks for. */
export interface PlannedModel {
  /** `name@version`. */
  readonly id: string
  readonly bytes: number
  /** Runners that its requests would keep busy. */
  readonly demand: number
  /** Runner seconds that one request takes. */
  readonly workPerRequest: number
}

/** Everything that a plan may look at. */
export interface PlanView {
  readonly runners: readonly PlannedRunner[]
  readonly models: readonly PlannedModel[]
  readonly policy: PlacementPolicySettings
  readonly nowMs: number
  /** Model loads that may be started now under the weight store's limits. */
  readonly loadsLeft: number
}

/** One move. */
export interface PlannedMove {
  readonly action: 'load-model' | 'unload-model'
  readonly runner: string
  readonly subject: string
  readonly bytes: number
  /** Why, for people. */
  readonly reason: string
}

/** Way of placing models. */
export abstract class PlacementPolicy {
  /** Moves to make now, the most urgent first. */
  abstract planMoves (view: PlanView): PlannedMove[]
}

/** Copies of a model that serve or are about to. */
export function listServing (view: PlanView, modelId: string): PlannedRunner[] {
  return view.runners.filter((runner) => runner.isServing && runner.copies.some((copy) => copy.id === modelId && copy.phase !== 'leaving'))
}

/** Copies of a model that serve now. */
export function listReady (view: PlanView, modelId: string): PlannedRunner[] {
  return view.runners.filter((runner) => runner.isServing && runner.copies.some((copy) => copy.id === modelId && copy.phase === 'ready'))
}
