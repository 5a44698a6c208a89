/** Limits the rate at which loads from the weight store start, over all runners. */

/** Length of the sliding window, in milliseconds: the one over which the weight store enforces its own limit. */
const WINDOW_MS = 5_000
/** Loads per window that the weight store tolerates beyond its steady rate. */
const BURST_LOADS = 3

/** Loads that may start in a window. It excludes the tolerated burst, which is left to a new leader that doesn't know of them. */
function computeWindowLimit (loadsPerSecond: number): number {
  return Math.max(1, Math.floor(loadsPerSecond * WINDOW_MS / 1_000))
}

/** A load that counts against the limit. */
export interface StoreLoad {
  /** Infinite as long as it has not started: it counts until it starts or is cancelled. */
  startedAtMs: number
}

/** Sliding-window rate limiter for loads from the weight store. */
export class StoreLoadLimiter {
  private loads: readonly StoreLoad[] = []

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
    return this.measureWaitMs(loadsPerSecond, nowMs) === 0
  }

  /**
   * Number of loads that may start now.
   *
   * @example
   * limiter.countStartable(1.1, nowMs) // 5
   */
  countStartable (loadsPerSecond: number, nowMs: number): number {
    return this.measureWaitMs(loadsPerSecond, nowMs) > 0 ? 0 : computeWindowLimit(loadsPerSecond) - this.loads.length
  }

  /**
   * Time until another load may start, in milliseconds; 0 if one may start now.
   *
   * @example
   * limiter.measureWaitMs(1.1, nowMs)
   */
  measureWaitMs (loadsPerSecond: number, nowMs: number): number {
    this.loads = this.loads.filter(({ startedAtMs }) => nowMs - startedAtMs < WINDOW_MS)
    const excess = this.loads.length - computeWindowLimit(loadsPerSecond)
    if (excess < 0) return 0
    // Loads that have yet to start leave the window a whole window later at the earliest.
    const leavesAtMs = this.loads.map(({ startedAtMs }) => Math.min(startedAtMs, nowMs) + WINDOW_MS).sort((a, b) => a - b)[excess]!
    return Math.max(1, leavesAtMs - nowMs)
  }

  /** Counts a load that starts now. */
  recordLoad (nowMs: number): void {
    this.loads = [...this.loads, { startedAtMs: nowMs }]
  }

  /**
   * Counts a load that starts later, once there is room for its model; `markStarted` or `cancelLoad` must follow.
   *
   * @example
   * const load = limiter.reserveLoad()
   */
  reserveLoad (): StoreLoad {
    const load = { startedAtMs: Number.POSITIVE_INFINITY }
    this.loads = [...this.loads, load]
    return load
  }

  /** Records that a reserved load starts now. */
  markStarted (load: StoreLoad, nowMs: number): void {
    load.startedAtMs = nowMs
  }

  /** Takes back a reserved load that never started. */
  cancelLoad (load: StoreLoad): void {
    this.loads = this.loads.filter((other) => other !== load)
  }

  /** Assumes that the previous leader has used the whole window, which leaves only the tolerated burst. */
  assumeWindowSpent (loadsPerSecond: number, nowMs: number): void {
    this.loads = Array.from({ length: Math.max(0, computeWindowLimit(loadsPerSecond) - BURST_LOADS) }, () => ({ startedAtMs: nowMs }))
  }
}
