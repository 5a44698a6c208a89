/** Usual slowdown of each runner: the average over some seconds of the slowdown that it reports. */
import { setBounded, type Clock } from 'figquay'

/** Time constant of the average, in milliseconds: well above the duration of a passing slowdown, which is up to a second. */
const AVERAGE_MS = 8_000
/** Runners that are remembered, removed ones included. */
const MAX_RUNNERS = 10_000
/** Bounds of a slowdown that counts: a runner that reports more, or less, is mistaken, and must not draw all replicas to it. */
const MIN_SLOWDOWN = 0.25
const MAX_SLOWDOWN = 8

interface Average {
  slowdown: number
  updatedAtMs: number
}

/** Averages by runner. */
export class SlowdownAverages {
  private readonly averages = new Map<string, Average>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const averages = SlowdownAverages.create(clock)
   */
  static create (clock: Clock): SlowdownAverages {
    return new SlowdownAverages(clock)
  }

  /**
   * Adds the slowdown of the moment to a runner's average, and returns the average.
   *
   * @example
   * averages.measureUsual('runner-1', view.slowdown)
   */
  measureUsual (runner: string, reported: number): number {
    const slowdown = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, reported))
    const nowMs = this.clock.readMonotonicMs()
    const known = this.averages.get(runner)
    if (known === undefined) {
      setBounded(this.averages, runner, { slowdown, updatedAtMs: nowMs }, MAX_RUNNERS)
      return slowdown
    }
    known.slowdown += (1 - Math.exp((known.updatedAtMs - nowMs) / AVERAGE_MS)) * (slowdown - known.slowdown)
    known.updatedAtMs = nowMs
    return known.slowdown
  }
}
