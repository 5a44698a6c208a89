/** Admission control: whether a request can still meet its contract, and when it may be dispatched to a runner. */
import { Refusal, type PluginRegistry } from 'figquay'
import { PRIORITY_RANK, type RoutedRequest } from './FigquayRoutingTypes.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'

/** Inputs of an admission decision. */
export interface AdmissionContext {
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly nowMs: number
  /** Prompt tokens of queued requests for the same model that are served first. */
  readonly queuedTokens: number
  readonly queueLength: number
  /** Estimated work that peers send to a runner before their next hints report it, in milliseconds. */
  readonly estimatePeerWorkMs: (report: RunnerReport) => number
  /** Estimated milliseconds until a runner can serve the model, when none can now; undefined without any estimate. */
  readonly estimateAvailableMs: () => number | undefined
}

/** Strategy for admission decisions. */
export abstract class AdmissionPolicy {
  /** Returns a refusal when the request can no longer be served within its contract. */
  abstract checkRequest (request: RoutedRequest, holders: readonly RunnerReport[], context: AdmissionContext): Refusal | undefined
  /** Whether the request may be dispatched to a runner now; otherwise it stays queued. */
  abstract canDispatch (report: RunnerReport, request: RoutedRequest, context: AdmissionContext): boolean
  /** Most prompt tokens that may be pending on a runner for the request to meet its contract; undefined when the policy makes no reservations. */
  computeMaxPendingTokens (_report: RunnerReport, _request: RoutedRequest, _context: Pick<AdmissionContext, 'predictor' | 'nowMs'>): number | undefined {
    return undefined
  }

  /** Priority that is passed to the engine; lower values are served first. */
  abstract getEnginePriority (request: RoutedRequest): number
}

/** Fraction of a runner's batch slots that batch-priority requests may fill. */
const BATCH_SLOT_FRACTION = 0.5
const MAX_QUEUE_LENGTH = 2_000
const DEFAULT_RETRY_AFTER_MS = 2_000
const MIN_RETRY_AFTER_MS = 200
/** Prompts up to this length take hardly any processing time. */
const MAX_SHORT_PROMPT_TOKENS = 256
/** Fraction of the remaining time that a prediction may use. */
const DEADLINE_FRACTION = 1

/** Admits requests that are predicted to meet their contract. */
export class PredictiveAdmission extends AdmissionPolicy {
  /**
   * @example
   * const admission = PredictiveAdmission.create()
   */
  static create (): PredictiveAdmission {
    return new PredictiveAdmission()
  }

  override checkRequest (request: RoutedRequest, holders: readonly RunnerReport[], context: AdmissionContext): Refusal | undefined {
    if (context.queueLength >= MAX_QUEUE_LENGTH) return Refusal.create('overloaded', 'the request queue is full', { retryAfterMs: DEFAULT_RETRY_AFTER_MS })
    const remaining = this.computeRemainingMs(request, context.nowMs)
    if (remaining.firstTokenMs <= 0 || remaining.answerMs <= 0) return Refusal.create('deadline_unreachable', 'the deadline of the contract has passed', { retryAfterMs: MIN_RETRY_AFTER_MS })
    if (request.kind.priority === 'batch') return undefined
    const usableRunners = holders.filter((report) => context.table.isUsable(report))
    if (usableRunners.length === 0) return this.checkModelAvailability(request, remaining.firstTokenMs, context)
    const queuedTokensPerRunner = context.queuedTokens / usableRunners.length
    // All daemons see the same free capacity and each would fill it. Adding a random fraction of the work that peers
    // may send meanwhile keeps the total that they admit close to what fits.
    const peerWorkFraction = Math.random()
    const lateMs = Math.min(...usableRunners.map((report) => this.predictLatenessMs(report, request, queuedTokensPerRunner, context) + peerWorkFraction * context.estimatePeerWorkMs(report)))
    if (lateMs <= 0) return undefined
    return Refusal.create('deadline_unreachable', `predicted to miss the deadline by ${Math.ceil(lateMs)} ms`, { retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(lateMs)) })
  }

  /** Keeps the request queued if the model is expected before the deadline; otherwise refuses it with a retry delay. */
  private checkModelAvailability (request: RoutedRequest, remainingMs: number, context: AdmissionContext): Refusal | undefined {
    const availableMs = context.estimateAvailableMs()
    if (availableMs !== undefined && availableMs < remainingMs) return undefined
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(availableMs ?? DEFAULT_RETRY_AFTER_MS))
    return Refusal.create('model_unavailable', `no available runner has ${request.model.name} loaded`, { retryAfterMs })
  }

  override canDispatch (report: RunnerReport, request: RoutedRequest, context: AdmissionContext): boolean {
    if (request.kind.priority === 'batch') return context.table.countInFlight(report) < report.state.load.maxBatch * BATCH_SLOT_FRACTION
    // Other requests are dispatched at once if they are predicted to be on time: the engine queues by priority, and
    // holding them back would only delay a refusal.
    return this.predictLatenessMs(report, request, 0, context) <= 0
  }

  override computeMaxPendingTokens (report: RunnerReport, request: RoutedRequest, { predictor, nowMs }: Pick<AdmissionContext, 'predictor' | 'nowMs'>): number | undefined {
    if (request.kind.priority === 'batch') return undefined
    const remaining = this.computeRemainingMs(request, nowMs)
    const firstTokenMs = Math.min(remaining.firstTokenMs, remaining.answerMs - predictor.predictDecodeMs(report, request))
    return predictor.computeTokenBudget(report, firstTokenMs)
  }

  override getEnginePriority (request: RoutedRequest): number {
    const { priority } = request.kind
    // A short prompt hardly delays other requests, but would wait long behind the long prompts of other callers.
    const isShort = request.promptTokens <= MAX_SHORT_PROMPT_TOKENS
    return priority === 'standard' && isShort ? PRIORITY_RANK.interactive : PRIORITY_RANK[priority]
  }

  /** Predicted milliseconds by which a runner misses the contract; 0 or less when it meets the contract. */
  private predictLatenessMs (report: RunnerReport, request: RoutedRequest, queuedTokens: number, { predictor, nowMs }: AdmissionContext): number {
    const remaining = this.computeRemainingMs(request, nowMs)
    const firstTokenMs = predictor.predictFirstTokenMs(report, request, queuedTokens)
    const answerMs = firstTokenMs + predictor.predictDecodeMs(report, request)
    return Math.max(firstTokenMs - remaining.firstTokenMs * DEADLINE_FRACTION, answerMs - remaining.answerMs * DEADLINE_FRACTION)
  }

  private computeRemainingMs (request: RoutedRequest, nowMs: number): { readonly firstTokenMs: number, readonly answerMs: number } {
    const waitedMs = nowMs - request.arrivedAtMs
    return { firstTokenMs: request.kind.firstTokenWithin - waitedMs, answerMs: request.kind.answerWithin - waitedMs }
  }
}

/** Naive baseline: dispatches every request at once, in order of arrival. */
export class OpenAdmission extends AdmissionPolicy {
  /**
   * @example
   * const admission = OpenAdmission.create()
   */
  static create (): OpenAdmission {
    return new OpenAdmission()
  }

  override checkRequest (request: RoutedRequest, holders: readonly RunnerReport[], { nowMs }: AdmissionContext): Refusal | undefined {
    const isLate = nowMs - request.arrivedAtMs > request.kind.answerWithin
    return isLate ? Refusal.create('deadline_unreachable', 'the deadline of the contract has passed', { retryAfterMs: MIN_RETRY_AFTER_MS }) : undefined
  }

  override canDispatch (): boolean {
    return true
  }

  override getEnginePriority (): number {
    return PRIORITY_RANK.standard
  }
}

/**
 * Registers the admission policies as plug-ins.
 *
 * @example
 * const unregister = registerAdmissionPolicies(registry)
 */
export function registerAdmissionPolicies (registry: PluginRegistry): () => void {
  const unregisterCallbacks = [
    registry.registerPlugin('admission-policy', 'predicted', PredictiveAdmission.create),
    registry.registerPlugin('admission-policy', 'open', OpenAdmission.create)
  ]
  return () => unregisterCallbacks.forEach((unregister) => unregister())
}
