/** Time as the rest of the system sees it; passed in so that tests can hold it still. */

/** Source of wall-clock time, monotonic time and delays. */
export interface Clock {
  /** Wall-clock time, for records and people. */
  now (): Date
  /** Milliseconds since an arbitrary start; never goes back. For leases and timeouts. */
  readMonotonicMs (): number
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
  waitFor (ms: number, signal?: AbortSignal): Promise<void>
}

/** The clock of the operating system. */
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
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, ms)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}
