/** Bounds on exchanges, without the garbage that composite abort signals leave on a long-lived one. */

/** A signal that aborts after some time or with another one; must be disposed of. */
export class Deadline {
  private readonly controller = new AbortController()
  private timer: NodeJS.Timeout
  private expired = false

  private constructor (ms: number, private readonly parent: AbortSignal | undefined) {
    this.timer = this.startTimer(ms)
    if (parent?.aborted === true) this.controller.abort()
    parent?.addEventListener('abort', this.abort, { once: true })
  }

  /**
   * @param ms Any number of milliseconds; fractions are rounded up.
   * @example
   * const deadline = Deadline.create(800, signal)
   * try { await exchange(deadline.signal) } finally { deadline.dispose() }
   */
  static create (ms: number, parent?: AbortSignal): Deadline {
    return new Deadline(ms, parent)
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Whether the time was up before anything else ended the exchange. */
  get hasExpired (): boolean {
    return this.expired
  }

  /**
   * Gives the exchange some time from now on.
   *
   * @param ms Any number of milliseconds; fractions are rounded up.
   * @example
   * deadline.restartTimer(2_000)
   */
  restartTimer (ms: number): void {
    clearTimeout(this.timer)
    this.timer = this.startTimer(ms)
  }

  private startTimer (ms: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.expired = true
      this.controller.abort()
    }, Math.max(1, Math.ceil(ms)))
  }

  /** Lets the exchange go on for as long as it likes; the other signal still ends it. */
  stopTimer (): void {
    clearTimeout(this.timer)
  }

  /** Ends the exchange before its time. */
  abandon (): void {
    this.controller.abort()
  }

  /** Lets go of the timer and of the other signal. */
  dispose (): void {
    clearTimeout(this.timer)
    this.parent?.removeEventListener('abort', this.abort)
  }

  private readonly abort = (): void => this.controller.abort()
}
