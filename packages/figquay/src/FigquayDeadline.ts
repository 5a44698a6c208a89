/** Time limits for exchanges, without the garbage that composite abort signals leave behind on a long-lived parent signal. */
import { startTimer, type Timer } from './FigquayTimer.js'

/** Provides a signal that aborts after a timeout or with a parent signal; must be disposed of. */
export class Deadline {
  private readonly controller = new AbortController()
  private timer: Timer
  private isExpired = false

  private constructor (timeoutMs: number, private readonly parent: AbortSignal | undefined, private readonly computeExtensionMs: () => number) {
    this.timer = this.startTimer(timeoutMs)
    if (parent?.aborted === true) this.controller.abort()
    parent?.addEventListener('abort', this.abort, { once: true })
  }

  /**
   * @param timeoutMs Any number of milliseconds; fractions are rounded up.
   * @param computeExtensionMs Called when the timeout has elapsed; the deadline is put off by the returned time, if that is above 0.
   * @example
   * const deadline = Deadline.create(800, signal)
   * try { await exchange(deadline.signal) } finally { deadline.dispose() }
   */
  static create (timeoutMs: number, parent?: AbortSignal, computeExtensionMs: () => number = () => 0): Deadline {
    return new Deadline(timeoutMs, parent, computeExtensionMs)
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Whether the timeout elapsed before anything else ended the exchange. */
  get hasExpired (): boolean {
    return this.isExpired
  }

  /**
   * Restarts the timer with a new timeout, counted from now.
   *
   * @param timeoutMs Any number of milliseconds; fractions are rounded up.
   * @example
   * deadline.restartTimer(2_000)
   */
  restartTimer (timeoutMs: number): void {
    this.timer.cancel()
    this.timer = this.startTimer(timeoutMs)
  }

  private startTimer (timeoutMs: number): Timer {
    return startTimer(() => {
      const extensionMs = this.computeExtensionMs()
      if (extensionMs > 0) {
        this.timer = this.startTimer(extensionMs)
        return
      }
      this.isExpired = true
      this.controller.abort()
    }, timeoutMs)
  }

  /** Removes the time limit; the parent signal still aborts the exchange. */
  stopTimer (): void {
    this.timer.cancel()
  }

  /** Aborts the exchange before the timeout. */
  cancel (): void {
    this.controller.abort()
  }

  /** Clears the timer and removes the listener from the parent signal. */
  dispose (): void {
    this.timer.cancel()
    this.parent?.removeEventListener('abort', this.abort)
  }

  private readonly abort = (): void => this.controller.abort()
}
