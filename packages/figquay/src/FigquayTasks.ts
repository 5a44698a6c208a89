/** Long-running tasks: one for each connection, peer or upstream, written straight down. */
import { setMaxListeners } from 'node:events'
import type { Clock } from './FigquayClock.js'
import type { Logger } from './FigquayLogger.js'
import { describeError } from './FigquayErrors.js'

/** A set of tasks that stop together. */
export class TaskGroup {
  private readonly controller = new AbortController()
  private readonly tasks = new Set<Promise<void>>()

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {
    // Every waiting task listens to the one signal.
    setMaxListeners(0, this.controller.signal)
  }

  /**
   * @example
   * const tasks = TaskGroup.create(clock, logger)
   */
  static create (clock: Clock, logger: Logger): TaskGroup {
    return new TaskGroup(clock, logger)
  }

  /** Aborts when the group stops. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /**
   * Runs `step` again and again until the group stops, `intervalMs` apart.
   *
   * @example
   * tasks.startLoop('roster', 1_000, async () => { await roster.refresh() })
   */
  startLoop (name: string, intervalMs: number, step: (signal: AbortSignal) => Promise<void>): void {
    this.startTask(name, async (signal) => {
      while (!signal.aborted) {
        await this.runStep(name, step)
        await this.clock.waitFor(intervalMs, signal)
      }
    })
  }

  /**
   * Runs one task to its end; a failure is logged.
   *
   * @example
   * tasks.startTask('peer daemon-2', async (signal) => { … })
   */
  startTask (name: string, run: (signal: AbortSignal) => Promise<void>): void {
    const task = this.runStep(name, run).finally(() => this.tasks.delete(task))
    this.tasks.add(task)
  }

  /** Stops the tasks and waits for them. */
  async stop (): Promise<void> {
    this.controller.abort()
    await Promise.all(this.tasks)
  }

  private async runStep (name: string, step: (signal: AbortSignal) => Promise<void>): Promise<void> {
    try {
      await step(this.signal)
    } catch (error) {
      if (error instanceof Error && error.name === 'InvariantError') throw error
      this.logger.error('task step failed', { task: name, error: describeError(error) })
    }
  }
}
