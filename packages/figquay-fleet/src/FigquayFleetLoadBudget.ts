/** Bounds how many loads from the weight store begin in a span of time, over all runners. */

/** Span over which loads are counted, in milliseconds: the one that the weight store judges by. */
const WINDOW_MS = 5_000
/** Loads above the steady rate that are left unused, for those whose start is late. */
const RESERVED_LOADS = 1

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
    const most = Math.max(1, Math.floor(loadsPerSecond * WINDOW_MS / 1_000) - RESERVED_LOADS + 1)
    return this.begunAtMs.length < most
  }

  /** Notes that a load has begun. */
  noteLoad (nowMs: number): void {
    this.begunAtMs = [...this.begunAtMs, nowMs]
  }

  /** Assumes that a predecessor has used the whole window, since what it ordered isn't known. */
  assumeSpent (loadsPerSecond: number, nowMs: number): void {
    while (this.canLoad(loadsPerSecond, nowMs)) this.noteLoad(nowMs)
  }
}
