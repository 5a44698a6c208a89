/** Watches models being loaded and predicts when they will be ready. */
import type { Clock } from 'figquay'
import type { RunnerReport } from './FigquayRoutingRunnerTable.js'

interface WatchedLoad {
  readonly runner: string
  readonly modelId: string
  readonly bytes: number
  readonly startedAtMs: number
}

/** Bytes in a millisecond until a load has been seen from beginning to end. */
const FIRST_RATE = 1_000_000
const RATE_WEIGHT = 0.3
/** A load that takes this many times as long as predicted says nothing any more. */
const OVERDUE_FACTOR = 3
const SHORTEST_LOAD_MS = 1

/** Loads in progress on all runners. */
export class ModelLoadTracker {
  private loads: ReadonlyMap<string, WatchedLoad> = new Map()
  private bytesPerMs = FIRST_RATE

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const loads = LoadWatch.create(clock)
   */
  static create (clock: Clock): ModelLoadTracker {
    return new ModelLoadTracker(clock)
  }

  /**
   * Takes in the report of a runner.
   *
   * @example
   * loads.noteReport(report)
   */
  recordReport (report: RunnerReport): void {
    const now = this.clock.readMonotonicMs()
    const next = new Map([...this.loads].filter(([, load]) => load.runner !== report.runner))
    for (const model of report.state.models) {
      const key = `${report.runner}/${model.id}`
      const known = this.loads.get(key)
      if (model.phase === 'loading') next.set(key, known ?? { runner: report.runner, modelId: model.id, bytes: model.bytes, startedAtMs: now })
      else if (model.phase === 'ready' && known !== undefined) this.learnRate(known, now)
    }
    this.loads = next
  }

  /**
   * Milliseconds until the first copy of a model that is being loaded is ready; undefined when none is.
   *
   * @example
   * const waitMs = loads.estimateReadyMs('manual-3@v1')
   */
  estimateReadyMs (modelId: string): number | undefined {
    const now = this.clock.readMonotonicMs()
    const waits = [...this.loads.values()].filter((load) => load.modelId === modelId).flatMap((load) => {
      const durationMs = load.bytes / this.bytesPerMs
      const elapsedMs = now - load.startedAtMs
      return elapsedMs > durationMs * OVERDUE_FACTOR ? [] : [Math.max(0, durationMs - elapsedMs)]
    })
    return waits.length === 0 ? undefined : Math.min(...waits)
  }

  private learnRate (load: WatchedLoad, nowMs: number): void {
    const rate = load.bytes / Math.max(SHORTEST_LOAD_MS, nowMs - load.startedAtMs)
    this.bytesPerMs += RATE_WEIGHT * (rate - this.bytesPerMs)
  }
}
