/** Service-level burn: how fast the error budget of each contract is spent, over a fast and a slow window. */
import type { Clock } from 'figquay'

/** Requests of one kind in one bucket of time. */
export interface BurnBucket {
  readonly customer: string
  readonly kind: string
  /** Start of the bucket, in milliseconds since the epoch. */
  readonly startMs: number
  readonly met: number
  readonly total: number
}

/** Burn of one kind of request. */
export interface BurnRow {
  readonly customer: string
  readonly kind: string
  readonly objective: number
  /** Share answered within contract in the slow window; 1 when there was nothing. */
  readonly attainment: number
  readonly total: number
  /** Error budget spent per time, 1 meaning that it lasts exactly for its period. */
  readonly fastBurn: number
  readonly slowBurn: number
  readonly state: 'ok' | 'warning' | 'critical'
}

/** Length of a bucket, in milliseconds. */
export const BURN_BUCKET_MS = 10_000
/** Fast window, in milliseconds. */
export const FAST_WINDOW_MS = 300_000
/** Slow window, in milliseconds. */
export const SLOW_WINDOW_MS = 3_600_000
const CRITICAL_BURN = 14.4
const WARNING_BURN = 3

interface MutableBucket {
  readonly customer: string
  readonly kind: string
  readonly startMs: number
  met: number
  total: number
}

/** Counts of one daemon. */
export class BurnTracker {
  private readonly buckets = new Map<string, MutableBucket>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const tracker = BurnTracker.create(clock)
   */
  static create (clock: Clock): BurnTracker {
    return new BurnTracker(clock)
  }

  /**
   * Counts a request that has ended.
   *
   * @example
   * tracker.countRequest('workshop-cairo', 'counter', true)
   */
  countRequest (customer: string, kind: string, met: boolean): void {
    const startMs = Math.floor(this.clock.now().getTime() / BURN_BUCKET_MS) * BURN_BUCKET_MS
    const key = `${customer}/${kind}/${startMs}`
    let bucket = this.buckets.get(key)
    if (bucket === undefined) {
      bucket = { customer, kind, startMs, met: 0, total: 0 }
      this.buckets.set(key, bucket)
      this.dropOld(startMs - SLOW_WINDOW_MS)
    }
    bucket.total += 1
    if (met) bucket.met += 1
  }

  /** Counts in the slow window. */
  listBuckets (): BurnBucket[] {
    return [...this.buckets.values()].map((bucket) => ({ ...bucket }))
  }

  private dropOld (oldestMs: number): void {
    for (const [key, bucket] of this.buckets) {
      if (bucket.startMs < oldestMs) this.buckets.delete(key)
    }
  }
}

/** Requests missed in a window against what the objective allows. */
function measureBurn (buckets: readonly BurnBucket[], sinceMs: number, objective: number): number {
  const inWindow = buckets.filter((bucket) => bucket.startMs >= sinceMs)
  const total = inWindow.reduce((sum, bucket) => sum + bucket.total, 0)
  const met = inWindow.reduce((sum, bucket) => sum + bucket.met, 0)
  return total === 0 ? 0 : (1 - met / total) / (1 - objective)
}

function judgeBurn (fastBurn: number, slowBurn: number): BurnRow['state'] {
  const both = Math.min(fastBurn, slowBurn)
  if (both >= CRITICAL_BURN) return 'critical'
  return both >= WARNING_BURN ? 'warning' : 'ok'
}

/** An objective by customer. */
export type ReadObjective = (customer: string) => number

/**
 * Works out the burn of every customer and kind from the counts of all daemons.
 *
 * @example
 * const rows = summariseBurn(buckets, () => 0.95, Date.now())
 */
export function summariseBurn (buckets: readonly BurnBucket[], readObjective: ReadObjective, nowMs: number): BurnRow[] {
  const groups = new Map<string, BurnBucket[]>()
  for (const bucket of buckets) {
    const key = `${bucket.customer}/${bucket.kind}`
    groups.set(key, [...groups.get(key) ?? [], bucket])
  }
  return [...groups.values()].map((group) => {
    const { customer, kind } = group[0]!
    const objective = readObjective(customer)
    const total = group.reduce((sum, bucket) => sum + bucket.total, 0)
    const met = group.reduce((sum, bucket) => sum + bucket.met, 0)
    const fastBurn = measureBurn(group, nowMs - FAST_WINDOW_MS, objective)
    const slowBurn = measureBurn(group, nowMs - SLOW_WINDOW_MS, objective)
    return { customer, kind, objective, attainment: total === 0 ? 1 : met / total, total, fastBurn, slowBurn, state: judgeBurn(fastBurn, slowBurn) }
  }).sort((a, b) => `${a.customer}/${a.kind}` < `${b.customer}/${b.kind}` ? -1 : 1)
}
