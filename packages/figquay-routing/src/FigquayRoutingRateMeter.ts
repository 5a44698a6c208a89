/** Event rates with exponential decay. */

const TIME_CONSTANT_MS = 5_000
/** Shortest time over which a rate is computed, as events over less time say too little, in milliseconds. */
const MIN_AGE_MS = 500

/** Exponentially weighted rate of events, in events per second. */
export class RateMeter {
  private decayedCount = 0
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
    this.decayedCount += count
  }

  /** Events per second. */
  readRate (nowMs: number): number {
    this.decayTo(nowMs)
    // Corrects for the part of the averaging window that lies before the meter was created.
    const ageMs = Math.max(MIN_AGE_MS, nowMs - this.startedAtMs)
    return this.decayedCount * 1_000 / TIME_CONSTANT_MS / (1 - Math.exp(-ageMs / TIME_CONSTANT_MS))
  }

  private decayTo (nowMs: number): void {
    const elapsedMs = nowMs - this.updatedAtMs
    if (elapsedMs <= 0) return
    this.decayedCount *= Math.exp(-elapsedMs / TIME_CONSTANT_MS)
    this.updatedAtMs = nowMs
  }
}

const NEGLIGIBLE_RATE_PER_SECOND = 0.005

/** Event rates by name. */
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

  /** Events per second under a name. */
  readRate (name: string, nowMs: number): number {
    return this.meters.get(name)?.readRate(nowMs) ?? 0
  }

  /** All rates above the negligible one; the other meters are removed. */
  listRates (nowMs: number): Record<string, number> {
    const rates: Record<string, number> = {}
    for (const [name, meter] of this.meters) {
      const rate = meter.readRate(nowMs)
      if (rate > NEGLIGIBLE_RATE_PER_SECOND) rates[name] = Number(rate.toPrecision(2))
      else this.meters.delete(name)
    }
    return rates
  }
}
