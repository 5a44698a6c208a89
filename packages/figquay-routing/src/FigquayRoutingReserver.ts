/** Asks the daemon that orders the runners for room on one of them. */
import { Refusal, type Clock } from 'figquay'
import type { AdmissionPolicy } from './FigquayRoutingAdmission.js'
import type { Assignment, AssignmentBook, DispatchRequest } from './FigquayRoutingAssignments.js'
import type { CrashQuarantine } from './FigquayRoutingCrashGuard.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import type { ReservationReply, ReservationRequest, RunnerCandidate } from './FigquayRoutingReservations.js'
import type { RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RunnerSelector } from './FigquayRoutingSelector.js'

/** What the reserver needs. */
export interface RunnerReserverOptions {
  readonly clock: Clock
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly selector: RunnerSelector
  readonly admission: AdmissionPolicy
  readonly crashes: CrashQuarantine
  readonly assignments: AssignmentBook
  /** Asks the daemon that orders the runners; undefined when it cannot be asked. */
  readonly reserveCapacity: (request: ReservationRequest) => Promise<ReservationReply | undefined>
  /** Says that a reservation is no longer needed. */
  readonly releaseReservation: (runner: string, requestId: string) => void
}

const SHORTEST_RETRY_MS = 200

/** Reservations of one daemon's requests. */
export class RunnerReserver {
  private constructor (private readonly options: RunnerReserverOptions) {}

  /**
   * @example
   * const reserver = RunnerReserver.create(options)
   */
  static create (options: RunnerReserverOptions): RunnerReserver {
    return new RunnerReserver(options)
  }

  /**
   * A caller who waits is given room by the daemon that orders the runners, or is refused by it.
   * Undefined when that daemon has no say: the request goes by what this daemon knows itself.
   *
   * @example
   * const result = await reserver.reserveRunner(dispatch)
   */
  async reserveRunner (dispatch: DispatchRequest): Promise<Assignment | Refusal | undefined> {
    const { request } = dispatch
    const { predictor, table } = this.options
    const options = this.listOptions(dispatch)
    if (options.length === 0) return undefined
    const { requestId, prefixKey, promptTokens } = request
    const reply = await this.options.reserveCapacity({ requestId, prefixKey, promptTokens, options })
    if (reply === undefined) return undefined
    const report = table.findReport(reply.type === 'reserved' ? reply.runner : options[0]!.runner)
    if (report === undefined) return undefined
    if (reply.type === 'full') {
      const lateMs = Math.ceil(predictor.predictPendingMs(report, reply.excessTokens))
      return Refusal.create('deadline_unreachable', `predicted to be ${lateMs} ms late`, { retryAfterMs: Math.max(SHORTEST_RETRY_MS, lateMs) })
    }
    const endReservation = (): void => this.options.releaseReservation(report.runner, requestId)
    return this.options.assignments.makeAssignment({ report, request, isCharged: false, promptTokens: reply.promptTokens, predictedMs: predictor.predictPendingMs(report, reply.pendingTokens), endReservation })
  }

  /** Runners to ask for room: none for what was begun or was in flight at a crash, which is not refused for being late. */
  private listOptions ({ request, modelIds, hasStarted }: DispatchRequest): RunnerCandidate[] {
    const { selector, admission, predictor, table, crashes, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    if (hasStarted || crashes.isCharged(request.fingerprint, nowMs)) return []
    const holders = this.options.assignments.listHolders(modelIds)
    // Runners that crashed of late stay among the preferred, so that a crashing request does not reach a third.
    const preferred = selector.listPreferred(request, holders)
    if (preferred === undefined) return []
    return holders.filter((report) => table.isUsable(report)).flatMap((report) => {
      const mostPendingTokens = admission.countMostPending(report, request, { predictor, nowMs })
      return mostPendingTokens === undefined ? [] : [{ runner: report.runner, mostPendingTokens, isPreferred: preferred.includes(report) }]
    })
  }
}
