/** Burn rate: how fast the error budget of each contract is spent, over a fast and a slow window. */
import type { Clock } from 'figquay'

/** Request counts of one customer and kind in one time bucket. */
export interface BurnRateBucket {
  readonly customer: string
  readonly kind: string
  /** Start of the bucket, in milliseconds since the epoch. */
  readonly startMs: number
  /** Requests answered within contract. */
  readonly met: number
  readonly total: number
}

/** Burn rate of one customer and kind of request. */
export interface BurnRateRow {
  readonly customer: string
  readonly kind: string
  /** Share of requests that must be answered within contract. */
  readonly objective: number
  /** Share of requests answered within contract in the slow window; 1 if there were none. */
  readonly attainment: number
  readonly total: number
  /** Burn rate in the fast window; at 1 the error budget lasts exactly for its period. */
  readonly fastBurn: number
  /** Burn rate in the slow window. */
  readonly slowBurn: number
  readonly state: 'ok' | 'warning' | 'critical'
}

/** Length of a time bucket. */
export const BURN_RATE_BUCKET_MS = 10_000
/** Length of the fast window. */
export const FAST_WINDOW_MS = 300_000
/** Length of the slow window. */
export const SLOW_WINDOW_MS = 3_600_000
const CRITICAL_BURN_RATE = 14.4
const WARNING_BURN_RATE = 3

interface MutableBucket {
  readonly customer: string
  readonly kind: string
  readonly startMs: number
  met: number
  total: number
}

/** Counts the requests of one daemon in time buckets. */
export class BurnRateTracker {
  private readonly buckets = new Map<string, MutableBucket>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const tracker = BurnRateTracker.create(clock)
   */
  static create (clock: Clock): BurnRateTracker {
    return new BurnRateTracker(clock)
  }

  /**
   * Counts a finished request.
   *
   * @example
   * tracker.countRequest('workshop-cairo', 'counter', true)
   */
  countRequest (customer: string, kind: string, isMet: boolean): void {
    const startMs = Math.floor(this.clock.now().getTime() / BURN_RATE_BUCKET_MS) * BURN_RATE_BUCKET_MS
    const key = `${customer}/${kind}/${startMs}`
    let bucket = this.buckets.get(key)
    if (bucket === undefined) {
      bucket = { customer, kind, startMs, met: 0, total: 0 }
      this.buckets.set(key, bucket)
      this.deleteExpiredBuckets(startMs - SLOW_WINDOW_MS)
    }
    bucket.total += 1
    if (isMet) bucket.met += 1
  }

  /** Returns copies of the buckets in the slow window. */
  listBuckets (): BurnRateBucket[] {
    return [...this.buckets.values()].map((bucket) => ({ ...bucket }))
  }

  private deleteExpiredBuckets (cutoffMs: number): void {
    for (const [key, bucket] of this.buckets) {
      if (bucket.startMs < cutoffMs) this.buckets.delete(key)
    }
  }
}

/** Ratio of the share of missed requests in a window to the share that the objective allows. */
function calculateBurnRate (buckets: readonly BurnRateBucket[], sinceMs: number, objective: number): number {
  const inWindow = buckets.filter((bucket) => bucket.startMs >= sinceMs)
  const total = inWindow.reduce((sum, bucket) => sum + bucket.total, 0)
  const met = inWindow.reduce((sum, bucket) => sum + bucket.met, 0)
  return total === 0 ? 0 : (1 - met / total) / (1 - objective)
}

/** Both windows must reach a threshold: the slow one filters out short bursts, the fast one clears the state soon after recovery. */
function classifyBurnRate (fastBurn: number, slowBurn: number): BurnRateRow['state'] {
  const lowerBurnRate = Math.min(fastBurn, slowBurn)
  if (lowerBurnRate >= CRITICAL_BURN_RATE) return 'critical'
  return lowerBurnRate >= WARNING_BURN_RATE ? 'warning' : 'ok'
}

/** Looks up the objective of a customer. */
export type ObjectiveLookup = (customer: string) => number

/**
 * Calculates the burn rate of every customer and kind from the counts of all daemons.
 *
 * @example
 * const rows = calculateBurnRates(buckets, () => 0.95, Date.now())
 */
export function calculateBurnRates (buckets: readonly BurnRateBucket[], readObjective: ObjectiveLookup, nowMs: number): BurnRateRow[] {
  const groups = new Map<string, BurnRateBucket[]>()
  for (const bucket of buckets) {
    const key = `${bucket.customer}/${bucket.kind}`
    groups.set(key, [...groups.get(key) ?? [], bucket])
  }
  return [...groups.values()].map((group) => {
    const { customer, kind } = group[0]!
    const objective = readObjective(customer)
    const total = group.reduce((sum, bucket) => sum + bucket.total, 0)
    const met = group.reduce((sum, bucket) => sum + bucket.met, 0)
    const fastBurn = calculateBurnRate(group, nowMs - FAST_WINDOW_MS, objective)
    const slowBurn = calculateBurnRate(group, nowMs - SLOW_WINDOW_MS, objective)
    return { customer, kind, objective, attainment: total === 0 ? 1 : met / total, total, fastBurn, slowBurn, state: classifyBurnRate(fastBurn, slowBurn) }
  }).sort((a, b) => `${a.customer}/${a.kind}` < `${b.customer}/${b.kind}` ? -1 : 1)
}
