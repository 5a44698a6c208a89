/** Limits the rate at which loads from the weight store start, over all runners. */

/** Length of the sliding window, in milliseconds: the one over which the weight store enforces its own limit. */
const WINDOW_MS = 5_000
/** Loads per window that the weight store tolerates beyond its steady rate. */
const BURST_LOADS = 3

/** Loads that may start in a window. It excludes the tolerated burst, which is left to a new leader that doesn't know of them. */
function computeWindowLimit (loadsPerSecond: number): number {
  return Math.max(1, Math.floor(loadsPerSecond * WINDOW_MS / 1_000))
}

/** Sliding-window rate limiter for loads from the weight store. */
export class StoreLoadLimiter {
  private startTimesMs: readonly number[] = []

  private constructor () {}

  /**
   * @example
   * const limiter = StoreLoadLimiter.create()
   */
  static create (): StoreLoadLimiter {
    return new StoreLoadLimiter()
  }

  /**
   * Whether another load may start.
   *
   * @param loadsPerSecond Steady rate that the weight store allows.
   * @example
   * if (limiter.canStartLoad(1.1, nowMs)) startLoad()
   */
  canStartLoad (loadsPerSecond: number, nowMs: number): boolean {
    this.startTimesMs = this.startTimesMs.filter((atMs) => nowMs - atMs < WINDOW_MS)
    return this.startTimesMs.length < computeWindowLimit(loadsPerSecond)
  }

  /** Counts a load that starts now. */
  recordLoad (nowMs: number): void {
    this.startTimesMs = [...this.startTimesMs, nowMs]
  }

  /** Assumes that the previous leader has used the whole window, which leaves only the tolerated burst. */
  assumeWindowSpent (loadsPerSecond: number, nowMs: number): void {
    this.startTimesMs = Array.from({ length: Math.max(0, computeWindowLimit(loadsPerSecond) - BURST_LOADS) }, () => nowMs)
  }
}
