/** Tracks models that are being loaded and predicts when they are ready. */
import type { Clock } from 'figquay'
import type { RunnerReport } from './FigquayRoutingRunnerTable.js'

interface ModelLoad {
  readonly runner: string
  readonly modelId: string
  readonly bytes: number
  readonly startedAtMs: number
}

/** Load rate assumed until a load has been observed from start to end. */
const INITIAL_BYTES_PER_MS = 1_000_000
const RATE_SMOOTHING_FACTOR = 0.3
/** A load that exceeds its predicted duration by this factor is ignored in predictions. */
const OVERDUE_FACTOR = 3
const MIN_LOAD_MS = 1

/** Tracks the model loads in progress on all runners. */
export class ModelLoadTracker {
  private loads: ReadonlyMap<string, ModelLoad> = new Map()
  private bytesPerMs = INITIAL_BYTES_PER_MS

  private constructor (private readonly clock: Clock) {}

  /**
   * @example
   * const modelLoads = ModelLoadTracker.create(clock)
   */
  static create (clock: Clock): ModelLoadTracker {
    return new ModelLoadTracker(clock)
  }

  /**
   * Updates the loads of a runner from its report.
   *
   * @example
   * modelLoads.recordReport(report)
   */
  recordReport (report: RunnerReport): void {
    const nowMs = this.clock.readMonotonicMs()
    const nextLoads = new Map([...this.loads].filter(([, load]) => load.runner !== report.runner))
    for (const model of report.state.models) {
      const key = `${report.runner}/${model.id}`
      const previous = this.loads.get(key)
      if (model.phase === 'loading') nextLoads.set(key, previous ?? { runner: report.runner, modelId: model.id, bytes: model.bytes, startedAtMs: nowMs })
      else if (model.phase === 'ready' && previous !== undefined) this.updateRate(previous, nowMs)
    }
    this.loads = nextLoads
  }

  /**
   * Estimated milliseconds until the first copy of a model that is being loaded is ready; undefined when none is loading.
   *
   * @example
   * const waitMs = modelLoads.estimateReadyMs('manual-3@v1')
   */
  estimateReadyMs (modelId: string): number | undefined {
    const nowMs = this.clock.readMonotonicMs()
    const waitsMs = [...this.loads.values()].filter((load) => load.modelId === modelId).flatMap((load) => {
      const durationMs = load.bytes / this.bytesPerMs
      const elapsedMs = nowMs - load.startedAtMs
      return elapsedMs > durationMs * OVERDUE_FACTOR ? [] : [Math.max(0, durationMs - elapsedMs)]
    })
    return waitsMs.length === 0 ? undefined : Math.min(...waitsMs)
  }

  private updateRate (load: ModelLoad, nowMs: number): void {
    const rate = load.bytes / Math.max(MIN_LOAD_MS, nowMs - load.startedAtMs)
    this.bytesPerMs += RATE_SMOOTHING_FACTOR * (rate - this.bytesPerMs)
  }
}
