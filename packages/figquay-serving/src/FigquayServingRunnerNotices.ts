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
  /** Tells the peers that a brittle runner has no room. */
  readonly announceBackoff: (runner: string, bornMs: number, durationMs: number) => void
  readonly telemetry: Pick<ServingTelemetry, 'recordDecision'>
}

/** Time for which a brittle runner gets no requests after a decline, in milliseconds: longer than daemons take to learn of each other's requests. */
const BRITTLE_BACKOFF_MS = 300

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
  applyNotice (request: ServedRequest, runner: Runner, { isLeaving, refusesForMs, requestsPerSecond, declinesPerSecond }: RunnerNotice): void {
    const { table, telemetry, announceLeaving, requestLimiter } = this.options
    if (isLeaving && table.markLeaving(runner.id, runner.bornMs)) {
      telemetry.recordDecision('runner reported that it is draining', request, { runner: runner.id, bornMs: runner.bornMs })
      announceLeaving(runner.id, runner.bornMs)
    }
    if (requestsPerSecond !== undefined && requestLimiter.noteLimit(runner, requestsPerSecond)) telemetry.recordDecision('runner named a request limit', request, { runner: runner.id, bornMs: runner.bornMs, requestsPerSecond })
    if (declinesPerSecond !== undefined) this.noteBrittle(request, runner, declinesPerSecond)
    if (refusesForMs === undefined) return
    table.noteBackoff(runner.id, runner.bornMs, refusesForMs)
    telemetry.recordDecision('runner asked for backoff', request, { runner: runner.id, refusesForMs })
  }

  private noteBrittle (request: ServedRequest, runner: Runner, declinesPerSecond: number): void {
    const { table, telemetry } = this.options
    if (!table.isBrittle(runner.id)) telemetry.recordDecision('runner is brittle', request, { runner: runner.id, bornMs: runner.bornMs, declinesPerSecond })
    table.noteBrittle(runner.id)
  }

  /**
   * Applies a decline of a request: a brittle runner that has no room is left alone by all daemons for a while.
   *
   * @example
   * if (reason === 'declined') notices.noteDecline(request, runner)
   */
  noteDecline (request: ServedRequest, runner: Runner): void {
    const { table, telemetry, announceBackoff } = this.options
    if (!table.isBrittle(runner.id)) return
    table.noteBackoff(runner.id, runner.bornMs, BRITTLE_BACKOFF_MS)
    announceBackoff(runner.id, runner.bornMs, BRITTLE_BACKOFF_MS)
    telemetry.recordDecision('brittle runner declined a request', request, { runner: runner.id, backoffMs: BRITTLE_BACKOFF_MS })
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
