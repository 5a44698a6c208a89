/** Matches waiting requests with runners. */
import { Refusal, type Clock } from 'figquay'
import type { RoutedRequest } from './FigquayRoutingTypes.js'
import type { AdmissionContext, AdmissionPolicy } from './FigquayRoutingAdmission.js'
import type { CrashGuard } from './FigquayRoutingCrashGuard.js'
import type { LoadWatch } from './FigquayRoutingLoadWatch.js'
import type { ModelDemand } from './FigquayRoutingModelDemand.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'
import { FairQueue, type QueueEntry } from './FigquayRoutingQueue.js'
import type { ReservationReply, ReservationRequest, RunnerOption } from './FigquayRoutingReservations.js'
import type { InFlight, RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
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
  readonly loads: LoadWatch
  /** Asks the runners of a pool whose last report is older than a time; true when there are none. */
  readonly refreshRunners: (pool: string, sinceMs: number) => boolean
  /** Asks the daemon that orders the runners for room; undefined when it cannot be asked. */
  readonly reserveRunner: (request: ReservationRequest) => Promise<ReservationReply | undefined>
  /** Says that a reservation is no longer needed. */
  readonly endReservation: (runner: string, requestId: string) => void
}

/** A runner set aside for one request. */
export interface Assignment {
  readonly report: RunnerReport
  readonly entry: InFlight
  /** The request was in flight at a crash before. */
  readonly isCharged: boolean
  /** The prompt has been processed. */
  readonly noteFirstToken: () => void
  /** Ends the assignment. */
  readonly release: () => void
}

/** What a request asks of the dispatcher. */
export interface DispatchRequest {
  readonly request: RoutedRequest
  /** Model ids that will do, the best first. */
  readonly modelIds: readonly string[]
  /** An attempt was made already: such a request is no longer refused for being a little late. */
  readonly hasStarted: boolean
  readonly signal: AbortSignal
}

/** A choice, before it is noted in the table. */
interface ChosenRunner {
  readonly report: RunnerReport
  readonly request: RoutedRequest
  readonly isCharged: boolean
  /** What the runner has to process of the prompt. */
  readonly promptTokens: number
  readonly predictedMs: number
  readonly endReservation: () => void
}

interface Waiter {
  readonly dispatch: DispatchRequest
  readonly settle: (result: Assignment | Refusal) => void
}

/** Waiting requests are looked at this often when nothing else happens, in milliseconds. */
const SWEEP_MS = 25
/** What was begun may be this much later than its contract, in milliseconds. */
const LATEST_MS = 2_000
const SHORTEST_RETRY_MS = 200

/** The queue and the passes over it. */
export class Dispatcher {
  private readonly queue = FairQueue.create<Waiter>()
  private passPlanned = false
  private sweepPlanned = false

  private constructor (private readonly options: DispatcherOptions) {}

  /**
   * @example
   * const dispatcher = Dispatcher.create({ clock, table, predictor, selector, admission, crashes, demand, loads, refreshRunners, reserveRunner, endReservation })
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
    return await this.reserveRunner(dispatch) ?? await this.enqueueRequest(dispatch)
  }

  /**
   * A caller who waits is given room by the daemon that orders the runners, or is refused by it.
   * Undefined when that daemon has no say: the request goes by what this daemon knows itself.
   */
  private async reserveRunner (dispatch: DispatchRequest): Promise<Assignment | Refusal | undefined> {
    const { request } = dispatch
    const { predictor, table } = this.options
    const options = this.listOptions(dispatch)
    if (options.length === 0) return undefined
    const { requestId, prefixKey, promptTokens } = request
    const reply = await this.options.reserveRunner({ requestId, prefixKey, promptTokens, options })
    if (reply === undefined) return undefined
    const report = table.findReport(reply.type === 'reserved' ? reply.runner : options[0]!.runner)
    if (report === undefined) return undefined
    if (reply.type === 'full') {
      const lateMs = Math.ceil(predictor.predictPendingMs(report, reply.excessTokens))
      return Refusal.create('deadline_unreachable', `predicted to be ${lateMs} ms late`, { retryAfterMs: Math.max(SHORTEST_RETRY_MS, lateMs) })
    }
    const endReservation = (): void => this.options.endReservation(report.runner, requestId)
    return this.makeAssignment({ report, request, isCharged: false, promptTokens: reply.promptTokens, predictedMs: predictor.predictPendingMs(report, reply.pendingTokens), endReservation })
  }

  /** Runners to ask for room: none for what was begun or was in flight at a crash, which is not refused for being late. */
  private listOptions ({ request, modelIds, hasStarted }: DispatchRequest): RunnerOption[] {
    const { selector, admission, predictor, table, crashes, clock } = this.options
    const nowMs = clock.readMonotonicMs()
    if (hasStarted || crashes.isCharged(request.fingerprint, nowMs)) return []
    const holders = this.listHolders(modelIds)
    // Runners that crashed of late stay among the preferred, so that a crashing request does not reach a third.
    const preferred = selector.listPreferred(request, holders)
    if (preferred === undefined) return []
    return holders.filter((report) => table.isUsable(report)).flatMap((report) => {
      const mostPendingTokens = admission.countMostPending(report, request, { predictor, nowMs })
      return mostPendingTokens === undefined ? [] : [{ runner: report.runner, mostPendingTokens, isPreferred: preferred.includes(report) }]
    })
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
    const holders = this.listHolders(payload.dispatch.modelIds)
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
    if (crashes.isSpreading(request.fingerprint, nowMs)) return undefined
    return this.selectFor(payload.dispatch, holders, context)
  }

  /**
   * Milliseconds until a model that no runner can serve now is likely to be there; undefined when nothing says so.
   * Reports older than the request do not count: the model may have come since.
   */
  private estimateAvailableMs ({ request, modelIds }: DispatchRequest): number | undefined {
    if (!this.options.refreshRunners(request.model.pool, request.arrivedAtMs)) return 0
    const rests = modelIds.flatMap((modelId) => this.options.table.listHolders(modelId)).map((report) => this.options.table.measureRestMs(report))
    const loads = modelIds.map((modelId) => this.options.loads.estimateReadyMs(modelId))
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
    return this.makeAssignment({ report, request, isCharged, promptTokens, predictedMs: predictor.predictFirstTokenMs(report, request, 0), endReservation: () => {} })
  }

  private makeAssignment ({ report, request, isCharged, promptTokens, predictedMs, endReservation }: ChosenRunner): Assignment {
    const entry: InFlight = {
      requestId: request.requestId,
      fingerprint: request.fingerprint,
      promptTokens,
      isBatch: request.kind.priority === 'batch',
      predictedMs,
      hasFirstToken: false
    }
    this.options.demand.notePrompt(request.model.name, promptTokens / Math.max(1, request.promptTokens))
    const unregister = this.options.table.registerInFlight(report.runner, entry)
    const release = (): void => {
      if (!entry.hasFirstToken) endReservation()
      unregister()
      this.planPass()
    }
    const noteFirstToken = (): void => {
      entry.hasFirstToken = true
      endReservation()
      this.planPass()
    }
    return { report, entry, isCharged, noteFirstToken, release }
  }

  /** Holders of the current version, or of an older one while the current is not ready anywhere. */
  private listHolders (modelIds: readonly string[]): RunnerReport[] {
    for (const modelId of modelIds) {
      const holders = this.options.table.listHolders(modelId)
      if (holders.some((report) => this.options.table.isUsable(report))) return holders
    }
    return []
  }

  /** Requests that were in flight at a crash are kept apart, so that an innocent one is not charged twice. */
  private hasCharged (report: RunnerReport, nowMs: number): boolean {
    return this.options.table.listInFlight(report.runner).some((entry) => this.options.crashes.isCharged(entry.fingerprint, nowMs))
  }
}
