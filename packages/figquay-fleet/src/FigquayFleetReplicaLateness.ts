/**
 * Estimates how many requests come late on a runner, and what another replica of a model would change. Pure: no clock, no I/O.
 *
 * It handles this load pattern: demand is skewed, a model in high demand shares a slow runner with others, its long prompts
 * wait for each other, and its streams pause while they are processed.
 */

/** What callers of a service need. */
export interface LatenessLimits {
  /** Shortest objective of the routes for the first output, in milliseconds; 0 if none declares one. */
  readonly objectiveMs: number
  /** Shortest allowed pause of a stream, in milliseconds; 0 if no route declares one. */
  readonly maxPauseMs: number
  /** Requests that one runner processes concurrently. */
  readonly slots: number
}

/** Part of the work of a model that one of its replicas does. */
export interface ReplicaWork {
  readonly requestsPerSecond: number
  /** Prefill time per second at normal speed, in seconds. */
  readonly prefillSeconds: number
  readonly openRequests: number
}

/** Work of all replicas on a runner. */
export interface RunnerWork extends ReplicaWork {
  /** Sum of `prefillSeconds` times the prefill time of one request, over the replicas: weights long prompts by their time. */
  readonly weightedPrefill: number
}

/** Prompt tokens that a runner of normal speed prefills per second. */
const PREFILL_TOKENS_PER_SECOND = 38_000
/** Requests come in bursts, so that they wait longer for each other than at random. */
const BURST_FACTOR = 1.5
/** Duration of one event of a stream at normal speed while prompts are prefilled without a break, in milliseconds. */
const PREFILL_EVENT_MS = 380
/** Streams are late by pauses from this fraction of the allowed pause on, and all at twice that: the speed of the moment varies. */
const SAFE_PAUSE_FRACTION = 0.7
/** A stream lasts for several prefills, so that it meets one with a higher probability than the fraction of time that they take. */
const PREFILLS_PER_STREAM = 2
/** Fraction of the slots up to which requests don't wait for a slot. */
const SAFE_SLOT_FRACTION = 0.6
const MS_PER_SECOND = 1_000

export const NO_WORK: RunnerWork = { requestsPerSecond: 0, prefillSeconds: 0, openRequests: 0, weightedPrefill: 0 }

/** Prefill time of a model's prompts per second at normal speed, in seconds. */
export function computePrefillSeconds (uncachedTokensPerSecond: number): number {
  return uncachedTokensPerSecond / PREFILL_TOKENS_PER_SECOND
}

/**
 * Estimates the prompt tokens that a runner processed before the first output of a request. A daemon doesn't know which
 * prompts of other daemons are cached there, but no more was processed than the time allows.
 *
 * @param pendingTokens Prompt tokens that this daemon doesn't expect to be cached.
 * @param slowdown How long the runner's work takes, relative to normal.
 * @example
 * estimateProcessedTokens(9_190, 80, 1) // 3_040
 */
export function estimateProcessedTokens (pendingTokens: number, elapsedMs: number, slowdown: number): number {
  return Math.round(Math.min(pendingTokens, elapsedMs * PREFILL_TOKENS_PER_SECOND / MS_PER_SECOND / slowdown))
}

/**
 * Adds a fraction of the work of a model to the work of a runner; a negative one takes it away.
 *
 * @example
 * addWork(work, modelWork, 0.5)
 */
export function addWork (work: RunnerWork, model: ReplicaWork, fraction: number): RunnerWork {
  const prefillPerRequest = model.requestsPerSecond > 0 ? model.prefillSeconds / model.requestsPerSecond : 0
  return {
    requestsPerSecond: work.requestsPerSecond + fraction * model.requestsPerSecond,
    prefillSeconds: work.prefillSeconds + fraction * model.prefillSeconds,
    openRequests: work.openRequests + fraction * model.openRequests,
    weightedPrefill: work.weightedPrefill + fraction * model.prefillSeconds * prefillPerRequest
  }
}

/**
 * Estimates the requests per second that come late on a runner, because of their first output, a pause or a missing slot.
 *
 * @param slowdown How long work usually takes on the runner, relative to normal.
 * @example
 * estimateLatePerSecond(work, 1.2, { objectiveMs: 1_015, maxPauseMs: 500, slots: 32 })
 */
export function estimateLatePerSecond (work: RunnerWork, slowdown: number, limits: LatenessLimits): number {
  if (work.requestsPerSecond <= 0) return 0
  const utilisation = Math.max(0, work.prefillSeconds * slowdown)
  const onTime = (1 - estimateLateOutputs(work, utilisation, slowdown, limits)) * (1 - estimatePaused(utilisation, slowdown, limits)) * (1 - estimateWithoutSlot(work, limits))
  return work.requestsPerSecond * (1 - onTime)
}

/** Fraction of requests whose first output is late, by the waiting time of a single queue. */
function estimateLateOutputs (work: RunnerWork, utilisation: number, slowdown: number, { objectiveMs }: LatenessLimits): number {
  if (objectiveMs <= 0 || utilisation <= 0) return 0
  if (utilisation >= 1) return 1
  const waitSeconds = BURST_FACTOR * slowdown * work.weightedPrefill / work.prefillSeconds / (1 - utilisation)
  const spareSeconds = objectiveMs / MS_PER_SECOND - slowdown * work.prefillSeconds / work.requestsPerSecond
  return Math.min(1, utilisation * Math.exp(-Math.max(0, spareSeconds) / waitSeconds))
}

function estimatePaused (utilisation: number, slowdown: number, { maxPauseMs }: LatenessLimits): number {
  if (maxPauseMs <= 0) return 0
  const excess = PREFILL_EVENT_MS * slowdown / maxPauseMs / SAFE_PAUSE_FRACTION - 1
  return Math.min(1, PREFILLS_PER_STREAM * utilisation) * Math.min(1, Math.max(0, excess))
}

function estimateWithoutSlot (work: RunnerWork, { slots }: LatenessLimits): number {
  return Math.min(1, Math.max(0, (work.openRequests / slots - SAFE_SLOT_FRACTION) / (1 - SAFE_SLOT_FRACTION)))
}
