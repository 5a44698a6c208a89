/** Applies what runners report about their availability along with a response. */
import type { FleetRunnerTable, Runner } from 'figquay-fleet'
import type { RequestLimiter } from './FigquayServingRequestLimiter.js'
import type { ServingTelemetry } from './FigquayServingTelemetry.js'
import type { RunnerNotice, ServedRequest } from './FigquayServingTypes.js'

/** Dependencies of the notices. */
export interface RunnerNoticesOptions {
  readonly table: FleetRunnerTable
  readonly requestLimiter: RequestLimiter
  /** Tells the peers that a runner is draining. */
  readonly announceLeaving: (runner: string, bornMs: number) => void
  readonly telemetry: Pick<ServingTelemetry, 'recordDecision'>
}

/** Draining is announced to the peers, a request limit goes to the limiter, a back-off request concerns this daemon only. */
export class RunnerNotices {
  private constructor (private readonly options: RunnerNoticesOptions) {}

  /**
   * @example
   * const notices = RunnerNotices.create(options)
   */
  static create (options: RunnerNoticesOptions): RunnerNotices {
    return new RunnerNotices(options)
  }

  /**
   * Applies a notice.
   *
   * @example
   * notices.applyNotice(request, runner, event.notice)
   */
  applyNotice (request: ServedRequest, runner: Runner, { isLeaving, refusesForMs, requestsPerSecond }: RunnerNotice): void {
    const { table, telemetry, announceLeaving, requestLimiter } = this.options
    if (isLeaving && table.markLeaving(runner.id, runner.bornMs)) {
      telemetry.recordDecision('runner reported that it is draining', request, { runner: runner.id, bornMs: runner.bornMs })
      announceLeaving(runner.id, runner.bornMs)
    }
    if (requestsPerSecond !== undefined && requestLimiter.noteLimit(runner, requestsPerSecond)) telemetry.recordDecision('runner named a request limit', request, { runner: runner.id, bornMs: runner.bornMs, requestsPerSecond })
    if (refusesForMs === undefined) return
    table.noteBackoff(runner.id, runner.bornMs, refusesForMs)
    telemetry.recordDecision('runner asked for backoff', request, { runner: runner.id, refusesForMs })
  }

  /**
   * Applies a response that names no request limit.
   *
   * @param sentAtMs Monotonic time at which the request was sent, in milliseconds.
   * @example
   * notices.noteUnlimited(request, runner, sentAtMs)
   */
  noteUnlimited (request: ServedRequest, runner: Runner, sentAtMs: number): void {
    const { requestLimiter, telemetry } = this.options
    if (requestLimiter.noteNoLimit(runner, sentAtMs)) telemetry.recordDecision('runner no longer limits requests', request, { runner: runner.id, bornMs: runner.bornMs })
  }
}
