/**
 * Paces the leader's planning. Pure: no clock, no I/O.
 *
 * It handles this load pattern: a model is unavailable, and every daemon reports so at once and repeatedly. A plan for
 * each report would use up the leader's core and delay its callers. Another daemon would then take over leadership and
 * become overloaded in the same way.
 */

/** Shortest delay between plans that reported needs trigger, in milliseconds: a small fraction of an order's duration. */
const MIN_DELAY_MS = 10
/** Largest fraction of the time that planning may take. */
const MAX_PLANNING_FRACTION = 0.05
/** Longest delay before the next plan, however long the last one took, in milliseconds: demand shifts more slowly than that. */
const MAX_DELAY_MS = 1_000

/**
 * Computes the delay between the end of a plan and the start of the next one, in milliseconds.
 *
 * @param tookMs Elapsed time of the last plan, including the leader's other work on the same core.
 * @example
 * computePlanDelayMs(0.2) // 10
 * computePlanDelayMs(6) // 114
 */
export function computePlanDelayMs (tookMs: number): number {
  return Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, tookMs / MAX_PLANNING_FRACTION - tookMs))
}
