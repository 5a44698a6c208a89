/** Matches waiting requests with runners. */
import { Refusal, type Clock } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { AdmissionContext, AdmissionPolicy } from './FigquayRoutingAdmission.js'
import { AssignmentBook, type Assignment, type DispatchRequest } from './FigquayRoutingAssignments.js'
import type { CrashGuard } from './FigquayRoutingCrashGuard.js'
import type { LoadWatch } from './FigquayRoutingLoadWatch.js'
import type { ModelDemand } from './FigquayRoutingModelDemand.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import { FairQueue, type QueueEntry } from './FigquayRoutingQueue.js'
import type { ReservationReply, ReservationRequest } from './FigquayRoutingReservations.js'
import { RunnerReserver } from './FigquayRoutingReserver.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RunnerSelector } from './FigquayRoutingSelector.js'

/** What the dispatcher needs. */
export interface DispatcherOptions {
  readonly clock: Clock
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly selector: RunnerSelector
  readonly admission: AdmissionPolicy
  readonly crashes: CrashGuard
  readonly demand: ModelDemand
  readonly modelLoads: LoadWatch
  /** Asks the runners of a pool whose last report is older than a time; true when there are none. */
  readonly refreshRunners: (pool: string, sinceMs: number) => boolean
  /** Asks the daemon that orders the runners for room; undefined when it cannot be asked. */
  readonly reserveRoom: (request: ReservationRequest) => Promise<ReservationReply | undefined>
  /** Says that a reservation is no longer needed. */
  readonly endReservation: (runner: string, requestId: string) => void
}

interface Waiter {
  readonly dispatch: DispatchRequest
  readonly settle: (result: Assignment | Refusal) => void
}

/** Waiting requests are looked at this often when nothing else happens, in milliseconds. */
const SWEEP_MS = 25
/** What was begun may be this much later than its contract, in milliseconds. */
const LATEST_MS = 2_000

/** The queue and the passes over it. */
export class Dispatcher {
  private readonly queue = FairQueue.create<Waiter>()
  private passPlanned = false
  private sweepPlanned = false

  private readonly assignments: AssignmentBook
  private readonly reserver: RunnerReserver

  private constructor (private readonly options: DispatcherOptions) {
    const { table, demand } = options
    this.assignments = AssignmentBook.create({ table, demand, onRoom: () => this.planPass() })
    this.reserver = RunnerReserver.create({ ...options, assignments: this.assignments })
  }

  /**
   * @example
   * const dispatcher = Dispatcher.create({ clock, table, predictor, selector, admission, crashes, demand, loads, refreshRunners, reserveRoom, endReservation })
   */
  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Requests that wait. */
  get queueLength (): number {
    return this.queue.length
  }

  /**
   * Waits for a runner; or the final refusal, as soon as it is known.
   *
   * @example
   * const result = await dispatcher.assignRunner({ request, modelIds, hasStarted: false, signal })
   */
  async assignRunner (dispatch: DispatchRequest): Promise<Assignment | Refusal> {
    return await this.reserver.reserveRunner(dispatch) ?? await this.enqueueRequest(dispatch)
  }

  private enqueueRequest (dispatch: DispatchRequest): Promise<Assignment | Refusal> {
    return new Promise((resolve) => {
      const entry: QueueEntry<Waiter> = this.queue.addRequest(dispatch.request, { dispatch, settle: resolve })
      dispatch.signal.addEventListener('abort', () => {
        this.queue.removeEntry(entry, false)
        resolve(Refusal.create('bad_request', 'the caller went away'))
      }, { once: true })
      this.planPass()
    })
  }

  /** Looks at the queue soon; called whenever something may have changed. */
  planPass (): void {
    if (this.passPlanned) return
    this.passPlanned = true
    setImmediate(() => {
      this.passPlanned = false
      this.runPass()
    })
  }

  private runPass (): void {
    const now = this.options.clock.readMonotonicMs()
    let queuedTokens = new Map<string, number>()
    for (const entry of this.queue.listInOrder(now)) {
      const { model, promptTokens } = entry.request
      const ahead = queuedTokens.get(model.name) ?? 0
      const result = this.tryEntry(entry, ahead, now)
      if (result === undefined) {
        queuedTokens = queuedTokens.set(model.name, ahead + promptTokens)
        continue
      }
      this.queue.removeEntry(entry, !(result instanceof Refusal))
      entry.payload.settle(result)
    }
    if (this.queue.length > 0) this.planSweep()
  }

  /** Time alone may change the answer to a waiting request. */
  private planSweep (): void {
    if (this.sweepPlanned) return
    this.sweepPlanned = true
    this.options.clock.waitFor(SWEEP_MS).then(() => {
      this.sweepPlanned = false
      this.planPass()
    })
  }

  /** An assignment, a refusal, or undefined when the request has to wait. */
  private tryEntry ({ request, payload }: QueueEntry<Waiter>, queuedTokens: number, nowMs: number): Assignment | Refusal | undefined {
    const { crashes, admission, table, predictor } = this.options
    if (crashes.isQuarantined(request.fingerprint, nowMs)) return Refusal.create('quarantined', 'the request was in flight at two crashes of upstreams', { execution: 'unknown' })
    const holders = this.assignments.listHolders(payload.dispatch.modelIds)
    const context: AdmissionContext = {
      table,
      predictor,
      nowMs,
      queuedTokens,
      queueLength: this.queue.length,
      estimatePeerWorkMs: (report) => this.options.demand.estimatePeerWorkMs(report),
      estimateAvailableMs: () => this.estimateAvailableMs(payload.dispatch)
    }
    const refusal = payload.dispatch.hasStarted ? this.checkOverdue(request, nowMs) : admission.checkRequest(request, holders, context)
    if (refusal !== undefined) return refusal
    if (crashes.isPropagating(request.fingerprint, nowMs)) return undefined
    return this.selectFor(payload.dispatch, holders, context)
  }

  /**
   * Milliseconds until a model that no runner can serve now is likely to be there; undefined when nothing says so.
   * Reports older than the request do not count: the model may have come since.
   */
  private estimateAvailableMs ({ request, modelIds }: DispatchRequest): number | undefined {
    if (!this.options.refreshRunners(request.model.pool, request.arrivedAtMs)) return 0
    const rests = modelIds.flatMap((modelId) => this.options.table.listHolders(modelId)).map((report) => this.options.table.measureRestMs(report))
    const loads = modelIds.map((modelId) => this.options.modelLoads.estimateReadyMs(modelId))
    const known = [...rests, ...loads].filter((waitMs) => waitMs !== undefined)
    return known.length === 0 ? undefined : Math.min(...known)
  }

  /** What was begun is finished even when it is late, but not for ever. */
  private checkOverdue (request: RoutedRequest, nowMs: number): Refusal | undefined {
    const overdueMs = nowMs - request.arrivedAtMs - request.kind.answerWithin
    return overdueMs > LATEST_MS ? Refusal.create('upstream_failed', 'no runner finished the answer', { execution: 'unknown', retryAfterMs: LATEST_MS }) : undefined
  }

  private selectFor ({ request, hasStarted }: DispatchRequest, holders: readonly RunnerReport[], context: AdmissionContext): Assignment | undefined {
    const { crashes, admission, table, predictor, selector } = this.options
    const isCharged = crashes.isCharged(request.fingerprint, context.nowMs)
    // An answer that has begun is finished wherever it can be, late or not.
    const canTake = (report: RunnerReport): boolean => (hasStarted || admission.canTake(report, request, context)) && !(isCharged && this.hasCharged(report, context.nowMs))
    const report = selector.selectRunner({ request, isCharged, canTake }, holders, { table, predictor })
    if (report === undefined) return undefined
    const promptTokens = predictor.estimatePrompt(report.runner, request.prefixKey, request.promptTokens)
    return this.assignments.makeAssignment({ report, request, isCharged, promptTokens, predictedMs: predictor.predictFirstTokenMs(report, request, 0), endReservation: () => {} })
  }

  /** Requests that were in flight at a crash are kept apart, so that an innocent one is not charged twice. */
  private hasCharged (report: RunnerReport, nowMs: number): boolean {
    return this.options.table.listInFlight(report.runner).some((entry) => this.options.crashes.isCharged(entry.fingerprint, nowMs))
  }
}
