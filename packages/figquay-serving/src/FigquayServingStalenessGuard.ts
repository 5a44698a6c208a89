/** Keeps a daemon that was held up, or has heard of nobody for a while, from acting on what it knew before. */
import type { Clock, LogFields } from 'figquay'

/** How current what a daemon knows is. Times in milliseconds; infinite if unknown. */
export interface StateCurrency {
  /** Time since the store was read, by whichever daemon, as far as this one has what was read. */
  readonly storeAgeMs: number
  /** Time since this daemon last asked a peer, or the store, and was answered. */
  readonly contactAgeMs: number
  /** Time for which it has known of a newer configuration than its own; 0 if it knows of none. */
  readonly behindForMs: number
  /** Whether peers have announced changes of the runners that it doesn't have. */
  readonly lacksChanges: boolean
}

/** Limits on the ages, in milliseconds. */
export interface StalenessLimits {
  /** What is older may break the time limits for changes. */
  readonly maxStateAgeMs: number
  /** Longest time without an answer while peers can be reached. */
  readonly maxContactAgeMs: number
}

/** Dependencies of the guard. */
export interface StalenessGuardOptions {
  readonly clock: Clock
  readonly readCurrency: () => StateCurrency
  readonly computeLimits: () => StalenessLimits
  readonly recordChange: (message: string, fields: LogFields) => void
}

/** Longest time for which requests wait for news, in milliseconds: connecting to a peer and an exchange take a fraction of it. */
const MAX_WAIT_MS = 1_000
/** Interval at which a waiting request checks whether there was news, in milliseconds. */
const CHECK_INTERVAL_MS = 20

/** Tells whether a daemon's state is stale, and has requests wait until it is current. */
export class StalenessGuard {
  /** Time since which the state has been stale; undefined while it is current. */
  private staleSinceMs: number | undefined

  private constructor (private readonly options: StalenessGuardOptions) {}

  /**
   * @example
   * const guard = StalenessGuard.create({ clock, readCurrency, computeLimits, recordChange })
   */
  static create (options: StalenessGuardOptions): StalenessGuard {
    return new StalenessGuard(options)
  }

  /**
   * Whether the state is too old to act on, and news may be had soon. A daemon that gets none in time goes on with what it
   * has, as do all while nobody can read the store.
   *
   * @example
   * if (guard.isStale) await guard.waitUntilCurrent(signal)
   */
  get isStale (): boolean {
    const { clock, readCurrency, computeLimits, recordChange } = this.options
    const currency = readCurrency()
    const { maxStateAgeMs, maxContactAgeMs } = computeLimits()
    const nowMs = clock.readMonotonicMs()
    const lacksNews = currency.contactAgeMs > maxContactAgeMs || currency.lacksChanges || currency.behindForMs > 0
    if (!lacksNews) {
      if (this.staleSinceMs !== undefined) recordChange('state is current again', { staleForMs: Math.round(nowMs - this.staleSinceMs) })
      this.staleSinceMs = undefined
      return false
    }
    if (this.staleSinceMs === undefined && Math.max(currency.storeAgeMs, currency.behindForMs) <= maxStateAgeMs) return false
    if (this.staleSinceMs === undefined) {
      this.staleSinceMs = nowMs
      recordChange('state is too old to act on; requests wait for news', formatCurrency(currency))
    }
    return nowMs - this.staleSinceMs < MAX_WAIT_MS
  }

  /**
   * Notes whether the state is stale now; called periodically, so that the time for which requests wait is counted anew after
   * each time in which it was current.
   *
   * @example
   * tasks.startLoop('staleness', 100, async () => guard.refresh())
   */
  refresh (): boolean {
    return this.isStale
  }

  /**
   * Resolves once the state is current, or news can't be had in time.
   *
   * @param signal Ends the wait.
   * @example
   * await guard.waitUntilCurrent(signal)
   */
  async waitUntilCurrent (signal: AbortSignal): Promise<void> {
    while (this.isStale && !signal.aborted) await this.options.clock.waitFor(CHECK_INTERVAL_MS, signal)
  }
}

function formatCurrency ({ storeAgeMs, contactAgeMs, behindForMs, lacksChanges }: StateCurrency): LogFields {
  const formatAge = (ageMs: number): number | undefined => Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
  return { storeAgeMs: formatAge(storeAgeMs), contactAgeMs: formatAge(contactAgeMs), behindForMs: Math.round(behindForMs), lacksChanges }
}
