/** Whether the process of a runner has ended, from what it and the list of runners say. Pure: no clock, no I/O. */
import type { RunnerLifeSign } from './FigquayServingTypes.js'

/** What became of one start of a runner. */
export type RunnerFate =
  | 'lives'
  | 'ended'
  /** It had said that it would leave: its end is nobody's fault. */
  | 'left'
  | 'unknown'

/** What the list of runners says of one start of a runner. */
export type RunnerListing = 'listed' | 'restarted' | 'gone'

/**
 * Judges a runner. Silence alone is no end, as the path to a runner may be cut while it works on; and an entry alone is
 * none either, as runners serve on for a while after theirs has been taken away.
 *
 * @example
 * judgeRunner('silent', 'gone', false) // 'ended'
 */
export function judgeRunner (sign: RunnerLifeSign, listing: RunnerListing, hasLeft: boolean): RunnerFate {
  if (sign === 'same') return 'lives'
  const hasEnded = sign === 'other' || sign === 'refused' || listing === 'restarted' || (sign === 'silent' && listing === 'gone')
  if (!hasEnded) return 'unknown'
  return hasLeft ? 'left' : 'ended'
}
