/** Use of adapters, as the daemons report it: when each was last used on which runner, and how often. */
import { setBounded, type Clock } from 'figquay'

/** Time constant of the decay of use rates, in milliseconds: demand shifts within seconds. */
const RATE_DECAY_MS = 4_000
/** Runners and adapters that are remembered: eight adapters on each of several thousand runners. */
const MAX_ENTRIES = 60_000
const MS_PER_SECOND = 1_000

/** Tracks the use of adapters. */
export class AdapterUse {
  /** Time of the last use, by runner and adapter key. */
  private readonly usedAtMs = new Map<string, number>()
  /** Decayed rate of reported uses by adapter key; those used last come last. */
  private readonly rates = new Map<string, { readonly perSecond: number, readonly atMs: number }>()

  /** Uses before this time are unknown. */
  private knownSinceMs = 0

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const use = AdapterUse.create(clock)
   */
  static create (clock: Clock): AdapterUse {
    return new AdapterUse(clock)
  }

  /**
   * Records that requests use an adapter on a runner. Daemons report each use once per message, however many requests there
   * were, so that the rate is a lower bound.
   *
   * @example
   * use.noteUse('runner-1', 'manual/a3')
   */
  noteUse (runner: string, key: string): void {
    const perSecond = this.measureRate(key) + MS_PER_SECOND / RATE_DECAY_MS
    const atMs = this.clock.readMonotonicMs()
    this.noteLoaded(runner, key)
    this.rates.delete(key)
    setBounded(this.rates, key, { perSecond, atMs }, MAX_ENTRIES)
  }

  /** Records that an adapter was loaded on a runner for requests, which counts as a use there, so that it is not evicted at once. */
  noteLoaded (runner: string, key: string): void {
    setBounded(this.usedAtMs, `${runner}\n${key}`, this.clock.readMonotonicMs(), MAX_ENTRIES)
  }

  /** Time since an adapter was last used on a runner, in milliseconds; that for which uses are known if it never was. */
  measureIdleMs (runner: string, key: string): number {
    return this.clock.readMonotonicMs() - (this.usedAtMs.get(`${runner}\n${key}`) ?? this.knownSinceMs)
  }

  /** Takes all adapters for used just now: daemons of a large fleet report uses to the leader alone, which is a new one. */
  assumeAllUsed (): void {
    this.knownSinceMs = this.clock.readMonotonicMs()
  }

  /** Reported uses of an adapter per second, on all runners together. */
  measureRate (key: string): number {
    const rate = this.rates.get(key)
    return rate === undefined ? 0 : rate.perSecond * Math.exp((rate.atMs - this.clock.readMonotonicMs()) / RATE_DECAY_MS)
  }

  /** Adapters used within a time, those in highest demand first. */
  listInUse (withinMs: number): string[] {
    const oldestMs = this.clock.readMonotonicMs() - withinMs
    return [...this.rates].filter(([, { atMs }]) => atMs >= oldestMs).sort(([a], [b]) => this.measureRate(b) - this.measureRate(a)).map(([key]) => key)
  }
}
