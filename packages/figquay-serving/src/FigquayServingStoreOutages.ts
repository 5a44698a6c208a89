/**
 * Tells outages of the store from the trouble of single daemons, by the reads that are known of, whoever made them.
 *
 * Load pattern: one daemon can't read the store for a while, and others can; or nobody can, and entries of runners that live
 * expire meanwhile.
 */
import type { Clock } from 'figquay'
import { NewestStoreRead, type StoreReadReport } from './FigquayServingNewestStoreRead.js'

/**
 * Entries of runners expire during an outage of the store. On the platform, runners that are alive are listed again within
 * this time after the outage, in milliseconds.
 */
export const EXPIRY_GRACE_MS = 2_000
/** An entry expires once this many heartbeats in a row are missing. */
const MISSED_HEARTBEATS = 3
/** Part of the interval by which heartbeats may come early. */
const HEARTBEAT_JITTER = 0.15

/**
 * Computes the length of the shortest outage in which an entry of a runner that lives can expire, in milliseconds.
 *
 * @param heartbeatMs Interval at which runners renew their entries, in milliseconds.
 * @example
 * computeShortestOutage(1_200) // 2_040
 */
export function computeShortestOutage (heartbeatMs: number): number {
  return (MISSED_HEARTBEATS - 1) * heartbeatMs * (1 - HEARTBEAT_JITTER)
}

/** Dependencies of the estimate. */
export interface StoreOutagesOptions {
  readonly clock: Clock
  /** Interval at which runners renew their entries, in milliseconds. */
  readonly heartbeatMs: number
}

/** Outages of the store as one daemon can tell them. */
export class StoreOutages {
  private readonly newestRead: NewestStoreRead
  private endedAtMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: StoreOutagesOptions) {
    this.newestRead = NewestStoreRead.create(options.clock)
  }

  /**
   * @example
   * const outages = StoreOutages.create({ clock, heartbeatMs: 1_200 })
   */
  static create (options: StoreOutagesOptions): StoreOutages {
    return new StoreOutages(options)
  }

  /** Time since the newest read of the list of runners that is known of, in milliseconds; infinite if none is. */
  get readAgeMs (): number {
    return this.newestRead.ageMs
  }

  /**
   * Notes a read of the list of runners by any daemon.
   *
   * @param reportedAtMs Monotonic time after which it was reported, in milliseconds.
   * @example
   * outages.noteRead({ storeAgeMs: 120, storeRead: 'boot-1/17' }, requestedAtMs)
   */
  noteRead (report: StoreReadReport, reportedAtMs = this.options.clock.readMonotonicMs()): void {
    const before = this.newestRead.ageMs
    this.newestRead.noteReport(report, reportedAtMs)
    const after = this.newestRead.ageMs
    if (Number.isFinite(before) && before - after >= computeShortestOutage(this.options.heartbeatMs)) this.endedAtMs = this.options.clock.readMonotonicMs() - after
  }

  /** Notes that the store was restored from an older copy, which may lack the entries of runners that live. */
  noteRestore (): void {
    this.endedAtMs = this.options.clock.readMonotonicMs()
  }

  /**
   * Time for which a runner is kept whose entry is missing now, in milliseconds: 0 unless the store may have been away for long
   * enough, and until lately, that the entry of a runner that lives can have expired.
   */
  get graceMs (): number {
    const isOngoing = this.newestRead.ageMs >= computeShortestOutage(this.options.heartbeatMs)
    return isOngoing ? EXPIRY_GRACE_MS : Math.max(0, this.endedAtMs + EXPIRY_GRACE_MS - this.options.clock.readMonotonicMs())
  }
}
