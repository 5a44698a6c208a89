/** Logs and metrics of a response on its way to the caller: first byte, pauses, and where a stream is resumed. */
import type { Clock } from 'figquay'
import type { FleetRunnerTable, Runner } from 'figquay-fleet'
import type { PauseMeter } from './FigquayServingPauseMeter.js'
import { describeRunnerWork } from './FigquayServingRunnerWork.js'
import type { StreamProgress } from './FigquayServingStreamProgress.js'
import type { ServingTelemetry } from './FigquayServingTelemetry.js'
import type { ServedRequest } from './FigquayServingTypes.js'

/** Dependencies of the reports. */
export interface ResponseReportsOptions {
  readonly clock: Clock
  readonly table: FleetRunnerTable
  readonly telemetry: ServingTelemetry
}

/** State of a request that the reports name. */
export interface ReportedResponse {
  readonly request: ServedRequest
  readonly pauses: PauseMeter | undefined
  readonly stream: Pick<StreamProgress, 'lastEventId'>
  readonly triedRunners: ReadonlySet<string>
}

/** Reports on the responses of one daemon. */
export class ResponseReports {
  private constructor (private readonly options: ResponseReportsOptions) {}

  /**
   * @example
   * const reports = ResponseReports.create({ clock, table, telemetry })
   */
  static create (options: ResponseReportsOptions): ResponseReports {
    return new ResponseReports(options)
  }

  /** Records the pause before events that have arrived, and logs the first one of a stream that is too long. */
  notePause ({ request, pauses }: Pick<ReportedResponse, 'request' | 'pauses'>, runner: Runner, nowMs: number): void {
    const { table, telemetry } = this.options
    const pauseMs = pauses?.noteEvents(nowMs)
    if (pauseMs === undefined) return
    telemetry.notePause(request, pauseMs)
    if (!pauses!.isFirstTooLong(pauseMs)) return
    telemetry.recordDecision('stream paused for too long', request, { runner: runner.id, pauseMs: Math.round(pauseMs), maxPauseMs: request.route.maxPauseMs, ...describeRunnerWork(table, runner.id, nowMs - pauseMs) })
  }

  /** Logs a first byte later than the objective, with the time waited in this daemon and at the runner. */
  noteFirstByte ({ request, triedRunners }: Pick<ReportedResponse, 'request' | 'triedRunners'>, sentAtMs: number): void {
    const nowMs = this.options.clock.readMonotonicMs()
    this.options.telemetry.noteFirstByte(request)
    if (nowMs - request.arrivedAtMs <= request.route.objectiveMs) return
    this.options.telemetry.recordDecision('late first byte', request, { waitedMs: Math.round(sentAtMs - request.arrivedAtMs), atRunnerMs: Math.round(nowMs - sentAtMs), tried: [...triedRunners] })
  }

  /** Logs where a runner takes up a stream: after the position of the caller, or of an earlier attempt. */
  noteResumption ({ request, stream: { lastEventId }, triedRunners }: Omit<ReportedResponse, 'pauses'>, firstEventId: string | undefined): void {
    if (lastEventId === undefined) return
    this.options.telemetry.recordDecision('stream resumed', request, { callerEventId: request.resumeAfterEventId, resumedAfter: lastEventId, firstEventId, tried: [...triedRunners] })
  }
}
