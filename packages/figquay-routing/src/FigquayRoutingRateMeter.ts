/** Exponentially weighted rates. */

const TIME_CONSTANT_MS = 5_000
/** Rates over less than this say too little, in milliseconds. */
const SHORTEST_AGE_MS = 500

/** Events per second, the recent ones weighing more. */
export class RateMeter {
  private level = 0
  private updatedAtMs: number
  private readonly startedAtMs: number

  private constructor (nowMs: number) {
    this.updatedAtMs = nowMs
    this.startedAtMs = nowMs
  }

  /**
   * @example
   * const meter = RateMeter.create(clock.readMonotonicMs())
   */
  static create (nowMs: number): RateMeter {
    return new RateMeter(nowMs)
  }

  /**
   * Counts events.
   *
   * @example
   * meter.countEvents(1, clock.readMonotonicMs())
   */
  countEvents (count: number, nowMs: number): void {
    this.decayTo(nowMs)
    this.level += count
  }

  /** Events per second. */
  readRate (nowMs: number): number {
    this.decayTo(nowMs)
    // A young meter has not filled up yet.
    const age = Math.max(SHORTEST_AGE_MS, nowMs - this.startedAtMs)
    return this.level * 1_000 / TIME_CONSTANT_MS / (1 - Math.exp(-age / TIME_CONSTANT_MS))
  }

  private decayTo (nowMs: number): void {
    const elapsed = nowMs - this.updatedAtMs
    if (elapsed <= 0) return
    this.level *= Math.exp(-elapsed / TIME_CONSTANT_MS)
    this.updatedAtMs = nowMs
  }
}

const NEGLIGIBLE_RATE = 0.005

/** Rates by name. */
export class RateTable {
  private readonly meters = new Map<string, RateMeter>()

  /**
   * @example
   * const table = RateTable.create()
   */
  static create (): RateTable {
    return new RateTable()
  }

  /**
   * Counts events under a name.
   *
   * @example
   * table.countEvents('manual-3', 1, nowMs)
   */
  countEvents (name: string, count: number, nowMs: number): void {
    let meter = this.meters.get(name)
    if (meter === undefined) {
      meter = RateMeter.create(nowMs)
      this.meters.set(name, meter)
    }
    meter.countEvents(count, nowMs)
  }

  /** Rate under a name. */
  readRate (name: string, nowMs: number): number {
    return this.meters.get(name)?.readRate(nowMs) ?? 0
  }

  /** All rates that matter; the others are forgotten. */
  listRates (nowMs: number): Record<string, number> {
    const rates: Record<string, number> = {}
    for (const [name, meter] of this.meters) {
      const rate = meter.readRate(nowMs)
      if (rate > NEGLIGIBLE_RATE) rates[name] = Number(rate.toPrecision(2))
      else this.meters.delete(name)
    }
    return rates
  }
}
