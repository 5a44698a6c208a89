/**
 * How soon a holder plans again. Pure: no clock, no I/O.
 *
 * Answers this load pattern: a model is missing, and every daemon says so at once and again and again. Plans that follow
 * each message would take the holder's whole core, its callers would wait, and another daemon would take its office and
 * drown in the same way.
 */

/** Plans that needs call for are this far apart at least, in milliseconds: a small part of an order's time. */
const SHORTEST_PAUSE_MS = 10
/** Part of the time that plans may take. */
const PLANNING_PART = 0.05
/** However long a plan has taken, the next one begins after this time, in milliseconds: well within the time in which demand moves. */
const LONGEST_PAUSE_MS = 1_000

/**
 * Pause between the end of a plan and the next one, in milliseconds.
 *
 * @param tookMs Time that the last plan took, the holder's other work on the same core included.
 * @example
 * choosePlanPause(0.2) // 10
 * choosePlanPause(6) // 114
 */
export function choosePlanPause (tookMs: number): number {
  return Math.min(LONGEST_PAUSE_MS, Math.max(SHORTEST_PAUSE_MS, tookMs / PLANNING_PART - tookMs))
}
