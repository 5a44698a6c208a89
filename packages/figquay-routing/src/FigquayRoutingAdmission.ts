/** Decides whether a request can still meet its contract, and when a runner may take it. */
import { Refusal, type PluginRegistry } from 'figquay'
import { PRIORITY_RANK, type RoutedRequest } from './FigquayRoutingTypes.js'
import type { RunnerReport, RunnerTable } from './FigquayRoutingRunnerTable.js'
import type { FirstTokenPredictor } from './FigquayRoutingPredictor.js'

/** What admission may look at. */
export interface AdmissionContext {
  readonly table: RunnerTable
  readonly predictor: FirstTokenPredictor
  readonly nowMs: number
  /** Prompt tokens of waiting requests that go to the same model first. */
  readonly queuedTokens: number
  readonly queueLength: number
  /** Work that peers may send to a runner unseen, in milliseconds. */
  readonly estimatePeerWorkMs: (report: RunnerReport) => number
  /** Milliseconds until the model, which no runner can serve now, is likely to be there; undefined when nothing says so. */
  readonly estimateAvailableMs: () => number | undefined
}

/** Way of deciding on admission. */
export abstract class AdmissionPolicy {
  /** A refusal when the request cannot be served within its contract any more. */
  abstract checkRequest (request: RoutedRequest, holders: readonly RunnerReport[], context: AdmissionContext): Refusal | undefined
  /** Whether a runner may take the request now; else the request waits. */
  abstract canTake (report: RunnerReport, request: RoutedRequest, context: AdmissionContext): boolean
  /** Prompt tokens that may be pending on a runner for the contract to hold; undefined when this way of admission reserves no room. */
  countMostPending (_report: RunnerReport, _request: RoutedRequest, _context: Pick<AdmissionContext, 'predictor' | 'nowMs'>): number | undefined {
    return undefined
  }

  /** Rank that the engine is told; the lower goes first. */
  abstract getEnginePriority (request: RoutedRequest): number
}

/** Part of a runner's batch that batch work may fill. */
const BATCH_PART = 0.5
const LONGEST_QUEUE = 2_000
const MODEL_RETRY_MS = 2_000
const SHORTEST_RETRY_MS = 200
/** Prompts up to this length are as good as free to process. */
const SHORT_PROMPT_TOKENS = 256
/** Part of the time that a prediction may fill. */
const PREDICTION_PART = 1

/** Admits what is predicted to meet its contract. */
export class PredictedAdmission extends AdmissionPolicy {
  /**
   * @example
   * const admission = PredictedAdmission.create()
   */
  static create (): PredictedAdmission {
    return new PredictedAdmission()
  }

  override checkRequest (request: RoutedRequest, holders: readonly RunnerReport[], context: AdmissionContext): Refusal | undefined {
    if (context.queueLength >= LONGEST_QUEUE) return Refusal.create('overloaded', 'too many requests wait', { retryAfterMs: MODEL_RETRY_MS })
    const left = this.readLeftMs(request, context.nowMs)
    if (left.firstTokenMs <= 0 || left.answerMs <= 0) return Refusal.create('deadline_unreachable', 'the time of the contract has passed', { retryAfterMs: SHORTEST_RETRY_MS })
    if (request.kind.priority === 'batch') return undefined
    const usable = holders.filter((report) => context.table.isUsable(report))
    if (usable.length === 0) return this.checkUnavailable(request, left.firstTokenMs, context)
    const queuedEach = context.queuedTokens / usable.length
    // Every daemon sees the same gap and would fill it: a random part of what peers may send meanwhile
    // is added, so that together they admit about as much as fits.
    const part = Math.random()
    const lateMs = Math.min(...usable.map((report) => this.measureLateness(report, request, queuedEach, context) + part * context.estimatePeerWorkMs(report)))
    if (lateMs <= 0) return undefined
    return Refusal.create('deadline_unreachable', `predicted to be ${Math.ceil(lateMs)} ms late`, { retryAfterMs: Math.max(SHORTEST_RETRY_MS, Math.ceil(lateMs)) })
  }

  /** A model that will be there in time is worth waiting for; else the caller is told when to come back. */
  private checkUnavailable (request: RoutedRequest, leftMs: number, context: AdmissionContext): Refusal | undefined {
    const availableMs = context.estimateAvailableMs()
    if (availableMs !== undefined && availableMs < leftMs) return undefined
    const retryAfterMs = Math.max(SHORTEST_RETRY_MS, Math.ceil(availableMs ?? MODEL_RETRY_MS))
    return Refusal.create('model_unavailable', `no runner holds ${request.model.name} now`, { retryAfterMs })
  }

  override canTake (report: RunnerReport, request: RoutedRequest, context: AdmissionContext): boolean {
    if (request.kind.priority === 'batch') return context.table.countInFlight(report) < report.state.load.maxBatch * BATCH_PART
    // A caller who waits is sent on at once: the engine queues by priority, and holding back would only delay a refusal.
    return this.measureLateness(report, request, 0, context) <= 0
  }

  override countMostPending (report: RunnerReport, request: RoutedRequest, { predictor, nowMs }: Pick<AdmissionContext, 'predictor' | 'nowMs'>): number | undefined {
    if (request.kind.priority === 'batch') return undefined
    const left = this.readLeftMs(request, nowMs)
    const firstTokenMs = Math.min(left.firstTokenMs, left.answerMs - predictor.predictDecodeMs(report, request))
    return predictor.countTokensWithin(report, firstTokenMs)
  }

  override getEnginePriority (request: RoutedRequest): number {
    const { priority } = request.kind
    // A short prompt hardly delays anybody, and would wait long behind the manuals of others.
    const isShort = request.promptTokens <= SHORT_PROMPT_TOKENS
    return priority === 'standard' && isShort ? PRIORITY_RANK.interactive : PRIORITY_RANK[priority]
  }

  /** Milliseconds by which the contract would be missed on a runner; not above 0 when it is met. */
  private measureLateness (report: RunnerReport, request: RoutedRequest, queuedTokens: number, { predictor, nowMs }: AdmissionContext): number {
    const left = this.readLeftMs(request, nowMs)
    const firstToken = predictor.predictFirstTokenMs(report, request, queuedTokens)
    const whole = firstToken + predictor.predictDecodeMs(report, request)
    return Math.max(firstToken - left.firstTokenMs * PREDICTION_PART, whole - left.answerMs * PREDICTION_PART)
  }

  private readLeftMs (request: RoutedRequest, nowMs: number): { readonly firstTokenMs: number, readonly answerMs: number } {
    const waited = nowMs - request.arrivedAtMs
    return { firstTokenMs: request.kind.firstTokenWithin - waited, answerMs: request.kind.answerWithin - waited }
  }
}

/** Naive baseline: everything is sent on at once, in the order in which it comes. */
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
    return isLate ? Refusal.create('deadline_unreachable', 'the time of the contract has passed', { retryAfterMs: SHORTEST_RETRY_MS }) : undefined
  }

  override canTake (): boolean {
    return true
  }

  override getEnginePriority (): number {
    return PRIORITY_RANK.standard
  }
}

/**
 * Makes the ways of admission available by name.
 *
 * @example
 * const undo = registerAdmissionPolicies(registry)
 */
export function registerAdmissionPolicies (registry: PluginRegistry): () => void {
  const undos = [
    registry.registerPlugin('admission-policy', 'predicted', PredictedAdmission.create),
    registry.registerPlugin('admission-policy', 'open', OpenAdmission.create)
  ]
  return () => undos.forEach((undo) => undo())
}
