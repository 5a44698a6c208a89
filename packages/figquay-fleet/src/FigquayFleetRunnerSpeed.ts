/**
 * Estimates how long a runner's work takes, relative to the usual. Pure: time is a parameter.
 *
 * Covers this load pattern: runners share their VMs with other work. Each VM has a constant speed of its own, and work slows
 * down further in spells of a few tenths of a second to a second.
 */

/** How long a runner's work takes; 2 if it takes twice as long as usual. */
export interface SpeedEstimate {
  /** At the moment. */
  readonly slowdown: number
  /** Apart from spells of slow work; undefined if nothing is known. */
  readonly usualSlowdown: number | undefined
}

/** A figure that a runner has reported. */
export interface SpeedFigure {
  readonly slowdown: number
  readonly observedAtMs: number
}

/** Figures from which the slow component is estimated. */
const MAX_FIGURES = 16
/** Shortest interval between two of them, in milliseconds: a spell of a second fills a quarter of them. */
const FIGURE_INTERVAL_MS = 250
/** Figures from which the lowest one is left out, as it may be a misreport. */
export const MIN_SETTLED_FIGURES = 8
/** With fewer figures a runner counts as no slower than usual: all of them may come from one spell. */
const MIN_SLOW_FIGURES = 3
/** Bounds of the figures that are believed, as a runner that claims to be faster than it is draws requests from all daemons. */
const MIN_SLOWDOWN = 0.4
const MAX_SLOWDOWN = 25
/** Age up to which a figure holds as it is, in milliseconds: its measured autocorrelation is 0.97 at 0.1 s. */
const FULL_WEIGHT_MS = 100
/** Time constant of its weight beyond that, in milliseconds: the autocorrelation is 0.56 at 0.3 s. */
const WEIGHT_DECAY_MS = 345
/** Age of the newest figure from which the slow component returns to 1, and the time that this takes, in milliseconds. */
const FORGET_AFTER_MS = 60_000

/**
 * Bounds a reported figure.
 *
 * @example
 * boundSlowdown(0.01) // 0.4
 */
export function boundSlowdown (slowdown: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown))
}

/** Speed of one runner. */
export class RunnerSpeed {
  /** Lowest figure of each interval, oldest first. */
  private readonly figures: number[] = []
  private intervalStartMs = Number.NEGATIVE_INFINITY
  private newest: SpeedFigure | undefined
  private ownUsual: number | undefined
  private peerUsual: number | undefined

  private constructor () {}

  /**
   * @example
   * const speed = RunnerSpeed.create()
   */
  static create (): RunnerSpeed {
    return new RunnerSpeed()
  }

  /** Newest figure, from whichever daemon it comes; undefined if there is none. */
  get newestFigure (): SpeedFigure | undefined {
    return this.newest
  }

  /** Whether the slow component rests on enough figures that one of them doesn't matter. */
  get isSettled (): boolean {
    return this.figures.length >= MIN_SETTLED_FIGURES
  }

  /**
   * Adds a figure; one that is older than the newest changes nothing.
   *
   * @example
   * speed.addFigure(1.2, nowMs)
   */
  addFigure (slowdown: number, observedAtMs: number): void {
    if (this.newest !== undefined && observedAtMs <= this.newest.observedAtMs) return
    const { figures } = this
    this.newest = { slowdown, observedAtMs }
    if (observedAtMs - this.intervalStartMs < FIGURE_INTERVAL_MS) figures.push(Math.min(slowdown, figures.pop()!))
    else {
      this.intervalStartMs = observedAtMs
      if (figures.push(slowdown) > MAX_FIGURES) figures.shift()
    }
    this.ownUsual = estimateUsual(figures)
  }

  /** Adopts a peer's slow component, which counts until this one is settled. */
  adoptUsual (usualSlowdown: number): void {
    this.peerUsual = usualSlowdown
  }

  /**
   * Estimates the slowdown at a time.
   *
   * @example
   * speed.estimate(nowMs).slowdown
   */
  estimate (nowMs: number): SpeedEstimate {
    if (this.newest === undefined) return { slowdown: 1, usualSlowdown: undefined }
    const ageMs = nowMs - this.newest.observedAtMs
    const remembered = Math.max(0, Math.min(1, 2 - ageMs / FORGET_AFTER_MS))
    if (remembered === 0) return { slowdown: 1, usualSlowdown: undefined }
    const known = this.isSettled ? this.ownUsual! : this.peerUsual ?? this.ownUsual!
    const usualSlowdown = 1 + (known - 1) * remembered
    return { slowdown: usualSlowdown + (this.newest.slowdown - usualSlowdown) * weighFigure(ageMs), usualSlowdown }
  }
}

function estimateUsual (figures: readonly number[]): number {
  const sorted = [...figures].sort((a, b) => a - b)
  const lowest = sorted[figures.length >= MIN_SETTLED_FIGURES ? 1 : 0]!
  return figures.length < MIN_SLOW_FIGURES ? Math.min(1, lowest) : lowest
}

/** Weight of a figure against the slow component, by its age. */
function weighFigure (ageMs: number): number {
  return ageMs <= FULL_WEIGHT_MS ? 1 : Math.exp((FULL_WEIGHT_MS - ageMs) / WEIGHT_DECAY_MS)
}
