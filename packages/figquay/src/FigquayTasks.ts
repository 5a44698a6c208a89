/** Long-running background tasks: one per connection, peer or upstream, each a sequential async function. */
import { setMaxListeners } from 'node:events'
import type { Clock } from './FigquayClock.js'
import type { Logger } from './FigquayLogger.js'
import { describeError } from './FigquayErrors.js'

/** Group of background tasks that are stopped together. */
export class TaskGroup {
  private readonly controller = new AbortController()
  private readonly tasks = new Set<Promise<void>>()

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {
    // All tasks listen to this one signal, which would exceed the default limit of listeners.
    setMaxListeners(0, this.controller.signal)
  }

  /**
   * @example
   * const tasks = TaskGroup.create(clock, logger)
   */
  static create (clock: Clock, logger: Logger): TaskGroup {
    return new TaskGroup(clock, logger)
  }

  /** Signal that aborts when the group stops. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /**
   * Runs `step` repeatedly until the group stops, waiting `intervalMs` after each run. A failed run is logged and does
   * not end the loop.
   *
   * @example
   * tasks.startLoop('roster', 1_000, async () => { await roster.refresh() })
   */
  startLoop (name: string, intervalMs: number, step: (signal: AbortSignal) => Promise<void>): void {
    this.startTask(name, async (signal) => {
      while (!signal.aborted) {
        await this.runAndLogErrors(name, step)
        await this.clock.waitFor(intervalMs, signal)
      }
    })
  }

  /**
   * Runs a task once, to completion; a failure is logged.
   *
   * @example
   * tasks.startTask('peer daemon-2', async (signal) => { … })
   */
  startTask (name: string, run: (signal: AbortSignal) => Promise<void>): void {
    const task = this.runAndLogErrors(name, run).finally(() => this.tasks.delete(task))
    this.tasks.add(task)
  }

  /** Aborts the signal and waits for all tasks to finish. */
  async stop (): Promise<void> {
    this.controller.abort()
    await Promise.all(this.tasks)
  }

  private async runAndLogErrors (name: string, step: (signal: AbortSignal) => Promise<void>): Promise<void> {
    try {
      await step(this.signal)
    } catch (error) {
      if (error instanceof Error && error.name === 'InvariantError') throw error
      this.logger.error('background task failed', { task: name, error: describeError(error) })
    }
  }
}
