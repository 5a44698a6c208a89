/** State of a request that is being served, across its attempts. */
import { Refusal, type Deadline } from 'figquay'
import type { AccessSubject } from './FigquayServingAccessGate.js'
import { makePauseMeter, type PauseMeter } from './FigquayServingPauseMeter.js'
import type { AcquiredQuota } from './FigquayServingQuotas.js'
import { StreamProgress } from './FigquayServingStreamProgress.js'
import type { GatedRequest } from './FigquayServingSuspectGate.js'
import type { ExchangeFailure, ResponseSink, ServedRequest } from './FigquayServingTypes.js'

/** State of a request across its attempts. */
export interface RequestProgress extends AccessSubject {
  /** What the gate for suspects knows of the request. */
  readonly gated: GatedRequest
  /** Undefined if the route declares no longest pause. */
  readonly pauses: PauseMeter | undefined
  /** Replaced once the version that began a stream is known, which its caller resumes. */
  stream: StreamProgress
  readonly sink: ResponseSink
  readonly signal: AbortSignal
  /** What the request has taken of its customer's quota; undefined if it has none. */
  quota: AcquiredQuota | undefined
  readonly triedRunners: Set<string>
  /** Attempts that count towards the route's limit: they may have run, and their runner has not ended under them. */
  countedRuns: number
  /** The runner process ended during the last attempt. */
  hasLastRunnerEnded: boolean
  /** Status of the answer that was forwarded; undefined before. */
  forwardedStatus: number | undefined
  /** Attempts that ended without being executed, and those of them that reached no runner. */
  declinedAttempts: number
  unreachableAttempts: number
  hasResponseStarted: boolean
  mayHaveRun: boolean
}

/** Multiple of the latency objective after which an unanswered idempotent call is sent to another runner. */
const SILENCE_LIMIT_OBJECTIVES = 3
/** Lower bound on the time after which a call counts as unanswered, in milliseconds. */
const MIN_SILENCE_LIMIT_MS = 300

/** Outcome of an attempt; `runner-error` is an error response that is worth retrying on another runner. */
export type AttemptResult =
  | { readonly type: 'done' }
  | { readonly type: 'failed', readonly failure: ExchangeFailure }
  | { readonly type: 'runner-error', readonly status: number }

/**
 * Returns the state of a request before its first attempt.
 *
 * @example
 * const progress = makeRequestProgress(request, gated, sink, deadline)
 */
export function makeRequestProgress (request: ServedRequest, gated: GatedRequest, sink: ResponseSink, deadline: Deadline): RequestProgress {
  return {
    request,
    access: undefined,
    accessRefusal: undefined,
    isAttempting: false,
    endWait: () => deadline.cancel(),
    gated,
    pauses: makePauseMeter(request.route),
    stream: StreamProgress.create(request.resumeAfterEventId),
    sink,
    signal: deadline.signal,
    quota: undefined,
    triedRunners: new Set(),
    countedRuns: request.forwardedRuns ?? 0,
    hasLastRunnerEnded: false,
    forwardedStatus: undefined,
    declinedAttempts: 0,
    unreachableAttempts: 0,
    hasResponseStarted: false,
    mayHaveRun: false
  }
}

/**
 * Sets the execution of a refusal to `unknown` if an earlier attempt may have run: it must not claim `not-run`.
 *
 * @example
 * adjustExecution(progress, Refusal.create('overloaded', 'no runner has capacity'))
 */
export function adjustExecution ({ mayHaveRun }: RequestProgress, refusal: Refusal): Refusal {
  return mayHaveRun ? Refusal.create('upstream_failed', refusal.message, { execution: 'unknown' }) : refusal
}

/**
 * Whether the route of a request allows another attempt after `extraRuns` more than the counted ones.
 *
 * @example
 * if (canRunAgain(progress, 1)) return 'retry'
 */
export function canRunAgain ({ request, countedRuns, hasResponseStarted, stream }: RequestProgress, extraRuns: number): boolean {
  const { route } = request
  const canRepeat = route.isStream ? route.isResumable && stream.canResume : route.repeat === 'idempotent' && !hasResponseStarted
  return canRepeat && countedRuns + extraRuns < route.maxAttempts
}

/**
 * Chooses the longest time to first byte of an attempt, in milliseconds: a call that may run twice is not left waiting for a
 * silent runner.
 *
 * @example
 * chooseSilenceLimit(progress, clock.readMonotonicMs())
 */
export function chooseSilenceLimit ({ request, countedRuns }: RequestProgress, nowMs: number): number {
  const remainingMs = request.deadlineAtMs - nowMs
  const canRepeat = request.route.repeat === 'idempotent' && !request.route.isStream && countedRuns + 1 < request.route.maxAttempts
  return canRepeat ? Math.min(remainingMs, Math.max(MIN_SILENCE_LIMIT_MS, request.route.objectiveMs * SILENCE_LIMIT_OBJECTIVES)) : remainingMs
}
