/** Measures the pauses between the events of one stream. Pure: time is a parameter. */
import type { Route } from 'figquay-fleet'

/** Pauses of one stream. */
export class PauseMeter {
  private lastEventAtMs: number | undefined
  private waitedForCallerMs = 0
  private isTooLongNoted = false

  private constructor (private readonly maxPauseMs: number) {}

  /**
   * @param maxPauseMs Longest pause for which the response is still on time, in milliseconds.
   * @example
   * const meter = PauseMeter.create(route.maxPauseMs)
   */
  static create (maxPauseMs: number): PauseMeter {
    return new PauseMeter(maxPauseMs)
  }

  /**
   * Notes that events have arrived; returns the pause before them in milliseconds, undefined for the first ones. The time for
   * which the caller had to be waited for doesn't count: it says nothing of the runner.
   *
   * @example
   * const pauseMs = meter.noteEvents(nowMs)
   */
  noteEvents (nowMs: number): number | undefined {
    const pauseMs = this.lastEventAtMs === undefined ? undefined : Math.max(0, nowMs - this.lastEventAtMs - this.waitedForCallerMs)
    this.lastEventAtMs = nowMs
    this.waitedForCallerMs = 0
    return pauseMs
  }

  /** Notes for how long the caller had to be waited for until it had taken the last events, in milliseconds. */
  noteCallerWait (waitMs: number): void {
    this.waitedForCallerMs = waitMs
  }

  /** Whether a pause is the first of this stream that is too long. */
  isFirstTooLong (pauseMs: number): boolean {
    if (this.isTooLongNoted || pauseMs <= this.maxPauseMs) return false
    this.isTooLongNoted = true
    return true
  }
}

/**
 * Makes the meter of a request; undefined if its route declares no longest pause.
 *
 * @example
 * const pauses = makePauseMeter(request.route)
 */
export function makePauseMeter ({ isStream, maxPauseMs }: Pick<Route, 'isStream' | 'maxPauseMs'>): PauseMeter | undefined {
  return isStream && maxPauseMs > 0 ? PauseMeter.create(maxPauseMs) : undefined
}
