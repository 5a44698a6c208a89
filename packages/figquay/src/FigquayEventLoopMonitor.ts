/** Measures how late the event loop of this process runs, as the process lacks processor time or was suspended. */
import type { Clock } from './FigquayClock.js'

/** Interval at which a monitor is to tick, in milliseconds. */
export const EVENT_LOOP_TICK_MS = 100
/** The process counts as held up while what it reads may be older than this, in milliseconds. */
const HELD_UP_MS = 300

/** Dependencies of a monitor. */
export interface EventLoopMonitorOptions {
  readonly clock: Clock
  /** Called with how long a tick was overdue, in milliseconds, whenever that is above 0. */
  readonly noteDelay: (delayMs: number) => void
}

/** Ticks at a fixed interval: what has arrived before a tick is read from its socket before the next one. */
export class EventLoopMonitor {
  private previousTickAtMs: number
  private lastTickAtMs: number

  private constructor (private readonly options: EventLoopMonitorOptions) {
    this.lastTickAtMs = options.clock.readMonotonicMs()
    this.previousTickAtMs = this.lastTickAtMs
  }

  /**
   * @example
   * const monitor = EventLoopMonitor.create({ clock, noteDelay: (delayMs) => histogram.observe(delayMs / 1_000) })
   */
  static create (options: EventLoopMonitorOptions): EventLoopMonitor {
    return new EventLoopMonitor(options)
  }

  /**
   * Upper bound on the time for which what is read now may have waited in its socket, in milliseconds. While the process gets
   * enough processor time, it is below two intervals.
   *
   * @example
   * const arrivedAfterMs = clock.readMonotonicMs() - monitor.inputAgeMs
   */
  get inputAgeMs (): number {
    return this.options.clock.readMonotonicMs() - this.previousTickAtMs
  }

  /** Whether the process lacks processor time, or lacked it when it last read its sockets. */
  get isHeldUp (): boolean {
    return this.inputAgeMs > HELD_UP_MS
  }

  /**
   * Earliest monotonic time, in milliseconds, at which what is read now may have arrived: the present unless the process was
   * held up.
   *
   * @example
   * read.noteReport(report, monitor.estimateArrivalMs())
   */
  estimateArrivalMs (): number {
    return this.options.clock.readMonotonicMs() - (this.isHeldUp ? this.inputAgeMs : 0)
  }

  /**
   * Notes that the event loop runs.
   *
   * @example
   * tasks.startLoop('event loop', EVENT_LOOP_TICK_MS, async () => monitor.tick())
   */
  tick (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    const delayMs = nowMs - this.lastTickAtMs - EVENT_LOOP_TICK_MS
    this.previousTickAtMs = this.lastTickAtMs
    this.lastTickAtMs = nowMs
    if (delayMs > 0) this.options.noteDelay(delayMs)
  }
}
