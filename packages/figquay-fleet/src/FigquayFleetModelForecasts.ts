/**
 * Forecasts when missing models and adapters will be ready, from the leader's last plan. Pure: time is a parameter.
 *
 * It handles this load pattern: requests for a missing model wait at many daemons, which have to tell whether it is worth
 * waiting, and refused callers when to come back.
 */
import type { ModelNeed } from './FigquayFleetDemand.js'
import type { ForecastReason, ModelForecast } from './FigquayFleetForecast.js'
import type { UnplacedModel, UnplacedReason } from './FigquayFleetModelPlanTypes.js'
import { estimateRemainingMs, type PendingLoad } from './FigquayFleetPendingLoads.js'

/** Why an adapter whose model is loaded is not loaded yet. */
export type AdapterState = 'loading' | 'runner busy' | 'no room'

/** What is known about a need when it is answered. */
export interface NeedState {
  /** Whether a runner that takes requests has the model loaded. */
  readonly isModelLoaded: boolean
  readonly loads: readonly PendingLoad[]
  /** Result of the last plan for the adapter; undefined if none has seen the need yet. */
  readonly adapter: AdapterState | undefined
}

/** Time after which a plan can't tell what will be loaded, in milliseconds: demand has shifted by then. */
const HORIZON_MS = 10_000
/** Shortest time until something that is not there yet can be ready, in milliseconds: a plan and an order. */
const MIN_READY_MS = 100
/** Time until an adapter that can be loaded is ready, in milliseconds: a plan, two orders and the report of it. */
const ADAPTER_READY_MS = 150
/** Time until an adapter is ready that has no slot, or whose runners are busy, in milliseconds: in use a second ago, or loading a model. */
const BLOCKED_ADAPTER_READY_MS = 1_000
/** Lag of reports, by which everything may be later, in milliseconds. */
const LAG_MS = 200
/** Fraction of the time until it is ready by which a load may be later: others slow it down, or its order fails. */
const DOUBT_FRACTIONS: Readonly<Record<ForecastReason, number>> = { loading: 0.25, planned: 0.5, 'runner busy': 0.5, 'store limit': 0.5, 'no room': 1 }
const REASONS: Readonly<Record<UnplacedReason, ForecastReason>> = {
  'the best runner is busy': 'runner busy',
  'no replica can be evicted': 'no room',
  'a replica is already loading': 'loading',
  'the weight store is at its limit': 'store limit'
}

/** Time until something is ready, and why it takes that long. */
interface Estimate {
  readonly readyInMs: number
  readonly reason: ForecastReason
  /** Time by which it is late already, in milliseconds. */
  readonly overdueMs?: number
}

/** Forecasts by the last plan of each service. */
export class ModelForecasts {
  private readonly plans = new Map<string, { readonly unplaced: ReadonlyMap<string, UnplacedModel>, readonly plannedAtMs: number }>()

  private constructor () {}

  /**
   * @example
   * const forecasts = ModelForecasts.create()
   */
  static create (): ModelForecasts {
    return new ModelForecasts()
  }

  /**
   * Replaces what the last plan of a service could not load.
   *
   * @example
   * forecasts.replacePlan('assistant', unplaced, nowMs)
   */
  replacePlan (service: string, unplaced: readonly UnplacedModel[], nowMs: number): void {
    this.plans.set(service, { unplaced: new Map(unplaced.map((entry) => [entry.model, entry])), plannedAtMs: nowMs })
  }

  /** Forgets all plans, as they are those of an earlier term as the leader. */
  clear (): void {
    this.plans.clear()
  }

  /** Models that requests wait for and the last plans could not load, by reason. */
  countUnplaced (): ReadonlyMap<UnplacedReason, number> {
    const counts = new Map<UnplacedReason, number>()
    for (const { reason } of [...this.plans.values()].flatMap(({ unplaced }) => [...unplaced.values()])) counts.set(reason, (counts.get(reason) ?? 0) + 1)
    return counts
  }

  /**
   * Forecasts when a need will be met; undefined if it is met, or no plan has seen it.
   *
   * @param fence Fencing token of this leader.
   * @example
   * forecasts.makeForecast(need, state, 41, nowMs)
   */
  makeForecast ({ service, model, adapter }: ModelNeed, state: NeedState, fence: number, nowMs: number): ModelForecast | undefined {
    const estimate = state.isModelLoaded ? estimateAdapter(adapter, state.adapter) : this.estimateModel(service, model, state.loads, nowMs)
    if (estimate === undefined) return undefined
    const { reason, overdueMs = 0 } = estimate
    const readyInMs = Math.max(MIN_READY_MS, estimate.readyInMs + (adapter === undefined || state.isModelLoaded ? 0 : ADAPTER_READY_MS))
    const isInHorizon = readyInMs <= HORIZON_MS
    return { service, model, adapter, readyInMs: isInHorizon ? Math.round(readyInMs) : undefined, doubtMs: isInHorizon ? Math.round(LAG_MS + overdueMs + readyInMs * DOUBT_FRACTIONS[reason]) : 0, reason, fence }
  }

  private estimateModel (service: string, model: string, loads: readonly PendingLoad[], nowMs: number): Estimate | undefined {
    const [first] = [...loads].sort((a, b) => estimateRemainingMs(a, nowMs) - estimateRemainingMs(b, nowMs))
    if (first !== undefined) return { readyInMs: estimateRemainingMs(first, nowMs), reason: first.isOrdered ? 'loading' : 'planned', overdueMs: Math.max(0, nowMs - first.expectedAtMs) }
    const plan = this.plans.get(service)
    const unplaced = plan?.unplaced.get(model)
    if (plan === undefined || unplaced === undefined) return undefined
    return { readyInMs: unplaced.readyInMs - (nowMs - plan.plannedAtMs), reason: REASONS[unplaced.reason] }
  }
}

function estimateAdapter (adapter: string | undefined, state: AdapterState | undefined): Estimate | undefined {
  if (adapter === undefined || state === undefined) return undefined
  return { readyInMs: state === 'loading' ? ADAPTER_READY_MS : BLOCKED_ADAPTER_READY_MS, reason: state }
}
