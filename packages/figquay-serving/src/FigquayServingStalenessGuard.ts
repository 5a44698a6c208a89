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
  /** Whether the process lacks processor time, or lacked it just now. */
  readonly isHeldUp: boolean
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

/** Longest time for which requests wait for news while the process gets processor time, in milliseconds: connecting to a peer and an exchange take a fraction of it. */
const MAX_WAIT_MS = 1_000
/** Interval at which a waiting request checks whether there was news, in milliseconds. */
const CHECK_INTERVAL_MS = 20

/** Tells whether a daemon's state is stale, and has requests wait until it is current. */
export class StalenessGuard {
  /** Time since which the state has been stale; undefined while it is current. */
  private staleSinceMs: number | undefined
  /** Time from which the wait of requests counts. */
  private waitSinceMs = 0

  private constructor (private readonly options: StalenessGuardOptions) {}

  /**
   * @example
   * const guard = StalenessGuard.create({ clock, readCurrency, computeLimits, recordChange })
   */
  static create (options: StalenessGuardOptions): StalenessGuard {
    return new StalenessGuard(options)
  }

  /**
   * Notes how current the state is; returns whether requests are to wait, as it is too old to act on and news may be had soon.
   * A daemon that gets none in time goes on with what it has. Also called periodically, so that the time for which requests
   * wait is counted anew after each time in which the state was current.
   *
   * @example
   * if (guard.refresh()) await guard.waitUntilCurrent(signal)
   */
  refresh (): boolean {
    const { clock, readCurrency, computeLimits } = this.options
    const currency = readCurrency()
    const { maxStateAgeMs, maxContactAgeMs } = computeLimits()
    const nowMs = clock.readMonotonicMs()
    const lacksNews = currency.contactAgeMs > maxContactAgeMs || currency.lacksChanges || currency.behindForMs > 0
    const isTooOld = Math.max(currency.storeAgeMs, currency.behindForMs) > maxStateAgeMs
    if (!lacksNews) this.noteCurrent(nowMs)
    else if (isTooOld) this.noteStale(nowMs, currency)
    if (currency.isHeldUp) this.waitSinceMs = nowMs
    return this.staleSinceMs !== undefined && nowMs - this.waitSinceMs < MAX_WAIT_MS
  }

  private noteCurrent (nowMs: number): void {
    if (this.staleSinceMs === undefined) return
    this.options.recordChange('state is current again', { staleForMs: Math.round(nowMs - this.staleSinceMs) })
    this.staleSinceMs = undefined
  }

  private noteStale (nowMs: number, currency: StateCurrency): void {
    if (this.staleSinceMs !== undefined) return
    this.staleSinceMs = nowMs
    this.waitSinceMs = nowMs
    this.options.recordChange('state is too old to act on; requests wait for news', formatCurrency(currency))
  }

  /**
   * Resolves once the state is current, or news can't be had in time.
   *
   * @param signal Ends the wait.
   * @example
   * await guard.waitUntilCurrent(signal)
   */
  async waitUntilCurrent (signal: AbortSignal): Promise<void> {
    while (this.refresh() && !signal.aborted) await this.options.clock.waitFor(CHECK_INTERVAL_MS, signal)
  }
}

function formatCurrency ({ storeAgeMs, contactAgeMs, behindForMs, ...rest }: StateCurrency): LogFields {
  const formatAge = (ageMs: number): number | undefined => Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
  return { storeAgeMs: formatAge(storeAgeMs), contactAgeMs: formatAge(contactAgeMs), behindForMs: Math.round(behindForMs), ...rest }
}
