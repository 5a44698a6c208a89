/**
 * Decides whether a request that no runner can take waits or is refused. Pure functions: no clock, no I/O.
 *
 * Covers these load patterns: requests for a rarely used model while other models occupy the runners (they wait if it can
 * be loaded in time and are otherwise told when to retry), more requests than the runners have capacity for, and one or
 * all runners refusing requests for a while.
 */
import { findLoadSource, findLoadDurationMs, type ModelSpec, type Runner, type RunnerView } from 'figquay-fleet'

/** Decision on a request that cannot be sent now. */
export type WaitingDecision =
  | { readonly type: 'wait' }
  | { readonly type: 'refuse', readonly retryAfterMs: number }

/** Minimum time to serve a request once its model is loaded, in milliseconds. */
const MIN_SERVICE_TIME_MS = 250
/** Estimated time for the orders of a load and for the unload before it, in milliseconds. */
const LOAD_OVERHEAD_MS = 400
/** Requests that a runner may queue beyond its slots, as a fraction of the slots. */
const QUEUE_FRACTION_OF_SLOTS = 1

/** Shortest retry-after when no runner has capacity, in milliseconds: the time in which runners complete a few requests. */
const MIN_RETRY_AFTER_MS = 400

/**
 * Whether a runner accepts requests and has capacity for one more, its queue included.
 *
 * @param daemonCount Daemons that may send to it.
 * @example
 * hasCapacity(view, 8)
 */
export function hasCapacity (view: RunnerView, daemonCount: number): boolean {
  const { slots } = view.runner
  if (view.backoffMs > 0) return false
  if (view.isBrittle !== true) return view.load.requests < slots * (1 + QUEUE_FRACTION_OF_SLOTS)
  // What a brittle runner can queue is unknown, and each decline brings it closer to a crash. Loads of other daemons are known
  // late, so that all of them might send to the same free slots: each keeps to its share.
  const ownSlots = Math.max(1, Math.floor(slots / daemonCount))
  return view.load.requests < slots && (view.ownRequests ?? 0) < ownSlots
}

/**
 * Chooses the retry-after of a request that no runner has capacity for, in milliseconds: at least the time until the first
 * runner accepts requests again.
 *
 * @example
 * chooseCapacityRetryMs([{ ...view, refusesForMs: 3_000 }]) // 3_000
 */
export function chooseCapacityRetryMs (views: readonly RunnerView[]): number {
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(...views.map((view) => view.backoffMs)))
}

/**
 * Estimates the time to load a model on the runner with the fastest copy (memory, disk or weight store), in milliseconds.
 *
 * @example
 * estimateLoadMs(spec, runners)
 */
export function estimateLoadMs (spec: ModelSpec, runners: readonly Runner[]): number {
  const loadTimesMs = runners.filter((runner) => !runner.isLeaving && runner.holdings !== undefined)
    .map(({ holdings }) => findLoadDurationMs(spec, findLoadSource(spec, holdings!)))
  return Math.min(spec.storeLoadMs, ...loadTimesMs) + LOAD_OVERHEAD_MS
}

/**
 * Decides whether a request waits for a model or adapter that is not loaded on any runner.
 *
 * @param remainingMs Time until the caller gives up, in milliseconds.
 * @param readyInMs Estimated time until it is loaded, in milliseconds.
 * @example
 * decideMissingModel(15_000, 7_600) // { type: 'wait' }
 */
export function decideMissingModel (remainingMs: number, readyInMs: number): WaitingDecision {
  return remainingMs >= readyInMs + MIN_SERVICE_TIME_MS ? { type: 'wait' } : { type: 'refuse', retryAfterMs: readyInMs }
}
