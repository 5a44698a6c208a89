/** Clock abstraction, injected so that tests can control time. */
import { startTimer } from './FigquayTimer.js'

/** Source of wall-clock time, monotonic time and delays. */
export interface Clock {
  /** Wall-clock time, for records and for display. */
  now (): Date
  /** Milliseconds since an arbitrary origin; never decreases. For leases and timeouts. */
  readMonotonicMs (): number
  /** Resolves after `ms` milliseconds, or as soon as `signal` aborts. */
  waitFor (ms: number, signal?: AbortSignal): Promise<void>
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
  /**
   * @example
   * const clock = SystemClock.create()
   */
  static create (): SystemClock {
    return new SystemClock()
  }

  now (): Date {
    return new Date()
  }

  readMonotonicMs (): number {
    return performance.now()
  }

  waitFor (ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = startTimer(finish, ms)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}
