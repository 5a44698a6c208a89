/**
 * Whether a request waits for a model that no runner holds, or is refused at once. Pure: no clock, no I/O.
 *
 * Answers these load patterns: a rare model that is asked for while others fill the runners (its requests wait when it
 * can be there in time, and else are told when it will be), more requests than the runners have room for, and runners
 * that ask for nothing for a while, one of them or all.
 */
import { findSource, measureLoadMs, type ModelSpec, type Runner, type RunnerView } from 'figquay-fleet'

/** What becomes of a request that can't be sent now. */
export type WaitingDecision =
  | { readonly type: 'wait' }
  | { readonly type: 'refuse', readonly retryAfterMs: number }

/** Time that a request needs at least once its model is there, in milliseconds. */
const SHORTEST_SERVICE_MS = 250
/** Orders, and the unload before a load, take about this long, in milliseconds. */
const ORDER_OVERHEAD_MS = 400
/** Requests beyond a runner's slots that may stand in its own queue, as a part of the slots. */
const QUEUE_PART = 1

/** Requests that no runner has room for are told to come back after about this time, in milliseconds: some answers' time. */
const FULL_RETRY_MS = 400

/**
 * Whether a runner has room for one more request, its own queue included, and wants it.
 *
 * @example
 * hasRoom(view)
 */
export function hasRoom (view: RunnerView): boolean {
  return view.refusesForMs === 0 && view.load.requests < view.runner.slots * (1 + QUEUE_PART)
}

/**
 * When a request should come back that no runner has room for, in milliseconds: never before one wants it.
 *
 * @example
 * chooseFullRetry([{ ...view, refusesForMs: 3_000 }]) // 3_000
 */
export function chooseFullRetry (views: readonly RunnerView[]): number {
  return Math.max(FULL_RETRY_MS, Math.min(...views.map((view) => view.refusesForMs)))
}

/**
 * Milliseconds until a model could be ready on the runner that has it nearest.
 *
 * @example
 * estimateLoadMs(spec, runners)
 */
export function estimateLoadMs (spec: ModelSpec, runners: readonly Runner[]): number {
  const times = runners.filter((runner) => !runner.isLeaving && runner.holdings !== undefined)
    .map(({ holdings }) => measureLoadMs(spec, findSource(spec, holdings!)))
  return Math.min(spec.storeLoadMs, ...times) + ORDER_OVERHEAD_MS
}

/**
 * Decides for a request whose model is on no runner.
 *
 * @param remainingMs Time until the caller gives up.
 * @param readyInMs Time until the model can be there; undefined when that isn't known.
 * @example
 * decideMissingModel(15_000, 7_600) // { type: 'wait' }
 */
export function decideMissingModel (remainingMs: number, readyInMs: number): WaitingDecision {
  return remainingMs >= readyInMs + SHORTEST_SERVICE_MS ? { type: 'wait' } : { type: 'refuse', retryAfterMs: readyInMs }
}
