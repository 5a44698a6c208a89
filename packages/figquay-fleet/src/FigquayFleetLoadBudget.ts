/** Bounds how many loads from the weight store begin in a span of time, over all runners. */

/** Span over which loads are counted, in milliseconds: the one that the weight store judges by. */
const WINDOW_MS = 5_000
/** Loads beyond the steady rate that the weight store bears in a window. */
const TOLERATED_LOADS = 3

/** Loads that may begin in a window: the tolerated ones are left to a successor that doesn't know of them. */
function countMost (loadsPerSecond: number): number {
  return Math.max(1, Math.floor(loadsPerSecond * WINDOW_MS / 1_000))
}

/** Loads begun of late. */
export class LoadBudget {
  private begunAtMs: readonly number[] = []

  private constructor () {}

  /**
   * @example
   * const budget = LoadBudget.create()
   */
  static create (): LoadBudget {
    return new LoadBudget()
  }

  /**
   * Whether one more load may begin.
   *
   * @param loadsPerSecond Rate that the weight store allows.
   * @example
   * if (budget.canLoad(1.1, nowMs)) startLoad()
   */
  canLoad (loadsPerSecond: number, nowMs: number): boolean {
    this.begunAtMs = this.begunAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS)
    return this.begunAtMs.length < countMost(loadsPerSecond)
  }

  /** Notes that a load has begun. */
  noteLoad (nowMs: number): void {
    this.begunAtMs = [...this.begunAtMs, nowMs]
  }

  /** Assumes that a predecessor has used its whole window: only what is tolerated beyond the rate is left. */
  noteSpent (loadsPerSecond: number, nowMs: number): void {
    this.begunAtMs = Array.from({ length: Math.max(0, countMost(loadsPerSecond) - TOLERATED_LOADS) }, () => nowMs)
  }
}
