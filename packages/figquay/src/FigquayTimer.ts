/** Timers that don't overtake input. */
import { setImmediate as setImmediateAsync } from 'node:timers/promises'

/** A timer that fires later than this lets the event loop read its sockets first, in milliseconds: it was held up, not just busy. */
const LATE_MS = 20

/** A timer that was started. */
export interface Timer {
  /** Keeps the timer from firing; without effect once it has. */
  cancel (): void
}

/**
 * Calls `callback` once after a time. The event loop runs timers before it reads its sockets. After the process was held up,
 * a timeout would fire although the answer that it waits for has arrived; so a timer that is late fires after that.
 *
 * @param delayMs Any number of milliseconds; fractions are rounded up.
 * @example
 * const timer = startTimer(() => controller.abort(), 400)
 * try { await answer } finally { timer.cancel() }
 */
export function startTimer (callback: () => void, delayMs: number): Timer {
  const waitMs = Math.max(1, Math.ceil(delayMs))
  const dueAtMs = performance.now() + waitMs
  let immediate: NodeJS.Immediate | undefined
  const timeout = setTimeout(() => {
    if (performance.now() - dueAtMs > LATE_MS) immediate = setImmediate(callback)
    else callback()
  }, waitMs)
  return {
    cancel: () => {
      clearTimeout(timeout)
      clearImmediate(immediate)
    }
  }
}

/**
 * Resolves once the event loop has read its sockets again: what was in them now, such as the end of a connection behind its
 * last bytes, has been handled by then.
 *
 * @example
 * if (monitor.isHeldUp) await waitForInput()
 */
export async function waitForInput (): Promise<void> {
  // The first turn may end without a read, if this one is past it.
  await setImmediateAsync()
  await setImmediateAsync()
}
