/** How long requests of each route take from their arrival to the end of their answer. */

/** Durations that are kept for each route. */
const MAX_SAMPLES = 64
/** Fewer say too little of what the next request will take. */
const MIN_SAMPLES = 4
/** Share of the requests that end within the typical duration. */
const TYPICAL_SHARE = 0.9

/** Recent durations by route. */
export class RouteDurations {
  /** Durations by route in milliseconds, oldest first. */
  private readonly samples = new Map<string, number[]>()

  private constructor () {}

  /**
   * @example
   * const durations = RouteDurations.create()
   */
  static create (): RouteDurations {
    return new RouteDurations()
  }

  /** Notes the duration of a request that was answered, in milliseconds. */
  noteDuration (route: string, durationMs: number): void {
    const samples = this.samples.get(route) ?? []
    this.samples.set(route, samples)
    samples.push(durationMs)
    if (samples.length > MAX_SAMPLES) samples.shift()
  }

  /**
   * Estimates within which time nine in ten requests of a route end, in milliseconds; undefined if too few have been answered.
   *
   * @example
   * durations.estimateTypical('orders')
   */
  estimateTypical (route: string): number | undefined {
    const samples = this.samples.get(route) ?? []
    if (samples.length < MIN_SAMPLES) return undefined
    const sorted = [...samples].sort((a, b) => a - b)
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * TYPICAL_SHARE))]
  }
}

/** The rest of a planned stop; monotonic times in milliseconds. */
export interface DrainWindow {
  /** Requests that haven't ended by then are ended. */
  readonly deadlineAtMs: number
  /** The load balancer may send new connections to this daemon until then. */
  readonly isChosenUntilMs: number
}

/** What is known of a request that arrives during a planned stop. */
export interface DrainingRequest {
  readonly nowMs: number
  readonly deadlineAtMs: number
  readonly mayRepeat: boolean
  /** Undefined if unknown. */
  readonly typicalMs: number | undefined
}

/** Whether a request that arrives during a planned stop is served; if not, when its caller is to come back. */
export type DrainDecision = { readonly type: 'serve' } | { readonly type: 'refuse', readonly retryAfterMs: number }

/** Callers wait for `Retry-After` only up to this share of the time that they have left. */
const RETRY_AFTER_SHARE = 1 / 3

/**
 * Decides on a request that arrives during a planned stop. Load pattern: connections to a daemon that stops arrive until the
 * load balancer has noticed, with requests that last longer than the rest of the stop. Cut off at its end they would be lost,
 * or have run without an answer; refused at once, another daemon serves them. The caller comes back once the balancer no longer
 * chooses this daemon, if that leaves it enough time.
 *
 * @example
 * decideWhileDraining({ nowMs: 500, deadlineAtMs: 15_500, mayRepeat: false, typicalMs: 6_500 }, { deadlineAtMs: 7_000, isChosenUntilMs: 2_500 }) // refuse, 2,000 ms
 */
export function decideWhileDraining ({ nowMs, deadlineAtMs, mayRepeat, typicalMs }: DrainingRequest, drain: DrainWindow): DrainDecision {
  const remainingMs = deadlineAtMs - nowMs
  // Of a request that may run only once, the worst is assumed while nothing is known of its kind.
  const expectedMs = Math.min(remainingMs, typicalMs ?? (mayRepeat ? 0 : remainingMs))
  if (nowMs + expectedMs <= drain.deadlineAtMs) return { type: 'serve' }
  const waitMs = Math.max(0, drain.isChosenUntilMs - nowMs)
  const hasTime = waitMs <= remainingMs * RETRY_AFTER_SHARE && waitMs + (typicalMs ?? 0) <= remainingMs
  return { type: 'refuse', retryAfterMs: hasTime ? waitMs : 0 }
}
