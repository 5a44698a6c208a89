/** Remembers when requests with each prompt part were last answered by this daemon. */
import type { Clock } from 'figquay'

/** Largest number of parts that are remembered; the one that succeeded least recently is forgotten first. */
const MAX_PARTS = 10_000

/** Last success of each prompt part, by key. */
export class PartSuccesses {
  /** Monotonic time of the last success, in milliseconds; oldest first. */
  private readonly succeededAtMs = new Map<string, number>()

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const successes = PartSuccesses.create(clock)
   */
  static create (clock: Clock): PartSuccesses {
    return new PartSuccesses(clock)
  }

  /** Records that a request with this part has been answered. */
  noteSuccess (partKey: string): void {
    this.succeededAtMs.delete(partKey)
    this.succeededAtMs.set(partKey, this.clock.readMonotonicMs())
    if (this.succeededAtMs.size > MAX_PARTS) this.succeededAtMs.delete(this.succeededAtMs.keys().next().value!)
  }

  /** Whether a request with this part has been answered since a monotonic time in milliseconds. */
  hasSucceededSince (partKey: string, sinceMs: number): boolean {
    const succeededAtMs = this.succeededAtMs.get(partKey)
    return succeededAtMs !== undefined && succeededAtMs >= sinceMs
  }
}
