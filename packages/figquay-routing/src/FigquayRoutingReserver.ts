/** Reserves capacity on a runner with the daemon that holds the lease on it. */
import { Refusal, type Clock } from 'figquay'
import type { AdmissionPolicy } from './FigquayRoutingAdmission.js'
import type { Assignment, AssignmentRegistry, DispatchRequest } from './FigquayRoutingAssignments.js'
import type { CrashQuarantine } from './FigquayRoutingCrashQuarantine.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import type { ReservationReply, ReservationRequest, RunnerCandidate } from './FigquayRoutingReservations.js'
import type { RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RunnerSelector } from './FigquayRoutingSelector.js'

/** Dependencies of the reserver. */
export interface RunnerReserverOptions {
  readonly clock: Clock
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly selector: RunnerSelector
  readonly admission: AdmissionPolicy
  readonly crashes: CrashQuarantine
  readonly assignments: AssignmentRegistry
  /** Requests capacity from the daemon that holds the lease on the runners; undefined when that daemon cannot be reached. */
  readonly reserveCapacity: (request: ReservationRequest) => Promise<ReservationReply | undefined>
  /** Releases a reservation that is no longer needed. */
  readonly releaseReservation: (runner: string, requestId: string) => void
}

const MIN_RETRY_AFTER_MS = 200

/** Reserves runners for the requests of one daemon. */
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
   * Reserves a runner with the daemon that holds the lease on it, which may refuse the request for lack of capacity.
   * Undefined when no reservation applies or that daemon cannot be reached: the request is then queued and dispatched
   * by what this daemon knows itself.
   *
   * @example
   * const result = await reserver.reserveRunner(dispatch)
   */
  async reserveRunner (dispatch: DispatchRequest): Promise<Assignment | Refusal | undefined> {
    const { request } = dispatch
    const { predictor, table } = this.options
    const candidates = this.listCandidates(dispatch)
    if (candidates.length === 0) return undefined
    const { requestId, prefixKey, promptTokens } = request
    const reply = await this.options.reserveCapacity({ requestId, prefixKey, promptTokens, options: candidates })
    if (reply === undefined) return undefined
    const report = table.findReport(reply.type === 'reserved' ? reply.runner : candidates[0]!.runner)
    if (report === undefined) return undefined
    if (reply.type === 'full') {
      const lateMs = Math.ceil(predictor.predictPrefillMs(report, reply.excessTokens))
      return Refusal.create('deadline_unreachable', `predicted to miss the deadline by ${lateMs} ms`, { retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, lateMs) })
    }
    const releaseReservation = (): void => this.options.releaseReservation(report.runner, requestId)
    return this.options.assignments.registerAssignment({ report, request, isSuspect: false, prefillTokens: reply.promptTokens, predictedMs: predictor.predictPrefillMs(report, reply.pendingTokens), releaseReservation })
  }

  /** Candidate runners; none for a started request or one that was in flight at a crash, as those are not refused for being late. */
  private listCandidates ({ request, modelIds, hasStarted }: DispatchRequest): RunnerCandidate[] {
    const { selector, admission, predictor, table, crashes, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    if (hasStarted || crashes.isSuspect(request.fingerprint, nowMs)) return []
    const holders = this.options.assignments.listHolders(modelIds)
    // Runners that crashed recently stay among the preferred, so that a request that crashes runners does not reach a third.
    const preferred = selector.listPreferred(request, holders)
    if (preferred === undefined) return []
    return holders.filter((report) => table.isUsable(report)).flatMap((report) => {
      const mostPendingTokens = admission.computeMaxPendingTokens(report, request, { predictor, nowMs })
      return mostPendingTokens === undefined ? [] : [{ runner: report.runner, mostPendingTokens, isPreferred: preferred.includes(report) }]
    })
  }
}
