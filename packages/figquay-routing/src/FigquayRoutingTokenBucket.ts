/** Token bucket whose rate and capacity may vary from call to call. */

const MS_PER_SECOND = 1_000

/** A token bucket with a variable rate. */
export class TokenBucket {
  private constructor (private available: number, private refilledAtMs: number) {}

  /**
   * @param initial Tokens that are available at once.
   * @example
   * const bucket = TokenBucket.create(10, clock.readMonotonicMs())
   */
  static create (initial: number, nowMs: number): TokenBucket {
    return new TokenBucket(initial, nowMs)
  }

  /** Refills the bucket at `rate` per second and returns the milliseconds until `cost` is available; 0 if it is now. */
  computeWaitMs (cost: number, rate: number, capacity: number, nowMs: number): number {
    this.available = Math.min(capacity, this.available + (nowMs - this.refilledAtMs) * rate / MS_PER_SECOND)
    this.refilledAtMs = nowMs
    // A cost above the capacity only requires a full bucket, which then drops below zero.
    const needed = Math.min(cost, capacity)
    return this.available >= needed ? 0 : (needed - this.available) * MS_PER_SECOND / rate
  }

  consume (cost: number): void {
    this.available -= cost
  }
}
