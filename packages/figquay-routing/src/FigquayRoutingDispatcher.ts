/** Dispatches queued requests to runners. */
import { Refusal, type Clock } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { AdmissionContext, AdmissionPolicy } from './FigquayRoutingAdmission.js'
import { AssignmentRegistry, type Assignment, type DispatchRequest } from './FigquayRoutingAssignments.js'
import type { CrashQuarantine } from './FigquayRoutingCrashQuarantine.js'
import type { ModelLoadTracker } from './FigquayRoutingModelLoadTracker.js'
import type { ModelDemand } from './FigquayRoutingModelDemand.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import { FairQueue, type QueueEntry } from './FigquayRoutingQueue.js'
import type { ReservationReply, ReservationRequest } from './FigquayRoutingReservations.js'
import { RunnerReserver } from './FigquayRoutingReserver.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { RunnerSelector } from './FigquayRoutingSelector.js'

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  readonly clock: Clock
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly selector: RunnerSelector
  readonly admission: AdmissionPolicy
  readonly crashes: CrashQuarantine
  readonly demand: ModelDemand
  readonly modelLoads: ModelLoadTracker
  /** Requests new reports from the runners of a pool whose last one is older than `sinceMs`; true when there are no such runners. */
  readonly refreshRunners: (pool: string, sinceMs: number) => boolean
  /** Requests capacity from the daemon that holds the lease on the runners; undefined when that daemon cannot be reached. */
  readonly reserveCapacity: (request: ReservationRequest) => Promise<ReservationReply | undefined>
  /** Releases a reservation that is no longer needed. */
  readonly releaseReservation: (runner: string, requestId: string) => void
}

interface Waiter {
  readonly dispatch: DispatchRequest
  readonly settle: (result: Assignment | Refusal) => void
}

/** Interval between passes over the queue when no other event triggers one, in milliseconds. */
const SWEEP_INTERVAL_MS = 25
/** Longest delay past its deadline for a request that has been started, in milliseconds. */
const MAX_OVERDUE_MS = 2_000

/** Queues requests and assigns them to runners in passes over the queue. */
export class Dispatcher {
  private readonly queue = FairQueue.create<Waiter>()
  private isPassScheduled = false
  private isSweepScheduled = false

  private readonly assignments: AssignmentRegistry
  private readonly reserver: RunnerReserver

  private constructor (private readonly options: DispatcherOptions) {
    const { table, demand } = options
    this.assignments = AssignmentRegistry.create({ table, demand, onCapacityFreed: () => this.schedulePass() })
    this.reserver = RunnerReserver.create({ ...options, assignments: this.assignments })
  }

  /**
   * @example
   * const dispatcher = Dispatcher.create({ clock, table, predictor, selector, admission, crashes, demand, modelLoads, refreshRunners, reserveCapacity, releaseReservation })
   */
  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Number of queued requests. */
  get queueLength (): number {
    return this.queue.length
  }

  /**
   * Waits until a runner is assigned, or returns the refusal as soon as it is certain.
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
        resolve(Refusal.create('bad_request', 'the caller closed the connection'))
      }, { once: true })
      this.schedulePass()
    })
  }

  /** Schedules a pass over the queue; called after each event that may allow a dispatch. */
  schedulePass (): void {
    if (this.isPassScheduled) return
    this.isPassScheduled = true
    setImmediate(() => {
      this.isPassScheduled = false
      this.runPass()
    })
  }

  private runPass (): void {
    const nowMs = this.options.clock.readMonotonicMs()
    let queuedTokens = new Map<string, number>()
    for (const entry of this.queue.listInServiceOrder(nowMs)) {
      const { model, promptTokens } = entry.request
      const tokensAhead = queuedTokens.get(model.name) ?? 0
      const result = this.tryDispatch(entry, tokensAhead, nowMs)
      if (result === undefined) {
        queuedTokens = queuedTokens.set(model.name, tokensAhead + promptTokens)
        continue
      }
      this.queue.removeEntry(entry, !(result instanceof Refusal))
      entry.payload.settle(result)
    }
    if (this.queue.length > 0) this.scheduleSweep()
  }

  /** Schedules a pass after a delay: a decision on a queued request may change as time passes, without any event. */
  private scheduleSweep (): void {
    if (this.isSweepScheduled) return
    this.isSweepScheduled = true
    this.options.clock.waitFor(SWEEP_INTERVAL_MS).then(() => {
      this.isSweepScheduled = false
      this.schedulePass()
    })
  }

  /** Returns an assignment, a refusal, or undefined when the request stays queued. */
  private tryDispatch ({ request, payload }: QueueEntry<Waiter>, queuedTokens: number, nowMs: number): Assignment | Refusal | undefined {
    const { crashes, admission, table, predictor } = this.options
    if (crashes.isQuarantined(request.fingerprint, nowMs)) return Refusal.create('quarantined', 'the request was in flight during two upstream crashes', { execution: 'unknown' })
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
    return this.selectAndAssign(payload.dispatch, holders, context)
  }

  /**
   * Estimated milliseconds until a model that no runner can serve now becomes available; undefined without any estimate.
   * Returns 0 while reports are older than the request, as the model may have been loaded since.
   */
  private estimateAvailableMs ({ request, modelIds }: DispatchRequest): number | undefined {
    if (!this.options.refreshRunners(request.model.pool, request.arrivedAtMs)) return 0
    const cooldownsMs = modelIds.flatMap((modelId) => this.options.table.listHolders(modelId)).map((report) => this.options.table.readCooldownMs(report))
    const loadWaitsMs = modelIds.map((modelId) => this.options.modelLoads.estimateReadyMs(modelId))
    const knownWaitsMs = [...cooldownsMs, ...loadWaitsMs].filter((waitMs) => waitMs !== undefined)
    return knownWaitsMs.length === 0 ? undefined : Math.min(...knownWaitsMs)
  }

  /** Refuses a started request that is too far past its deadline; before that it is completed, though late. */
  private checkOverdue (request: RoutedRequest, nowMs: number): Refusal | undefined {
    const overdueMs = nowMs - request.arrivedAtMs - request.kind.answerWithin
    return overdueMs > MAX_OVERDUE_MS ? Refusal.create('upstream_failed', 'no runner completed the response', { execution: 'unknown', retryAfterMs: MAX_OVERDUE_MS }) : undefined
  }

  private selectAndAssign ({ request, hasStarted }: DispatchRequest, holders: readonly RunnerReport[], context: AdmissionContext): Assignment | undefined {
    const { crashes, admission, table, predictor, selector } = this.options
    const isSuspect = crashes.isSuspect(request.fingerprint, context.nowMs)
    // A started response is completed on any runner that can serve it, even if it is late.
    const canTake = (report: RunnerReport): boolean => (hasStarted || admission.canDispatch(report, request, context)) && !(isSuspect && this.hasSuspectInFlight(report, context.nowMs))
    const report = selector.selectRunner({ request, isSuspect, canTake }, holders, { table, predictor })
    if (report === undefined) return undefined
    const prefillTokens = predictor.estimatePrefillTokens(report.runner, request.prefixKey, request.promptTokens)
    return this.assignments.registerAssignment({ report, request, isSuspect, prefillTokens, predictedMs: predictor.predictFirstTokenMs(report, request, 0), releaseReservation: () => {} })
  }

  /** Whether another crash suspect is in flight on the runner; suspects run apart, so that a harmless one is not charged with a second crash. */
  private hasSuspectInFlight (report: RunnerReport, nowMs: number): boolean {
    return this.options.table.listInFlight(report.runner).some((entry) => this.options.crashes.isSuspect(entry.fingerprint, nowMs))
  }
}
