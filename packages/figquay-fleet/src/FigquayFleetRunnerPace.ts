/**
 * Assesses when a request would get its first output at a runner, for how long its prompt would pause the streams there, and
 * whether the runner should get it now. Pure: no clock, no I/O.
 *
 * Covers this load pattern: prompts of up to 10,000 tokens beside streams whose events may pause for less than half a second,
 * on runners of which some take six times as long as others.
 */
import type { RunnerView } from './FigquayFleetRunnerTable.js'

/** Properties of a request that affect the assessment of a runner. */
export interface PacedRequest {
  /** Prompt tokens that the runner probably has not cached. */
  readonly uncachedTokens: number
  /** Work of a request to a plain service at the usual speed, in milliseconds; undefined for one to a model. */
  readonly plainWorkMs?: number | undefined
  /** Time left for the first output to be on time, in milliseconds; undefined if there is no objective. */
  readonly objectiveMs?: number | undefined
  /** Longest pause between two events for which the response is still on time, in milliseconds; 0 or undefined if none is declared. */
  readonly maxPauseMs?: number | undefined
}

/** What a request may expect at a runner. */
export interface RunnerOffer {
  /** Time until the first output, in milliseconds. */
  readonly firstOutputMs: number
  /** Longest time that an event of a running stream takes while the prompt, and those ahead of it, are processed, in milliseconds. */
  readonly pauseMs: number
  /** Whether the first output is expected on time, and no stream there is expected to pause for too long. */
  readonly isWithinBudget: boolean
}

/** Prompt tokens that a runner processes per millisecond at the usual speed. */
const TOKENS_PER_MS = 38
/** Prompt tokens that a runner processes between two decode steps. */
const CHUNK_TOKENS = 2_048
/** Duration of a decode step at the usual speed, in milliseconds. */
const STEP_MS = 5
/** Decode steps in which one event of a stream is generated. */
const STEPS_PER_EVENT = 6
/** Time for which a spell of slow work is expected to go on, in milliseconds; then work takes as long as usual there. */
const SPELL_REST_MS = 350
/** Time for which a stream occupies a slot at the usual speed, in milliseconds: 49 events. */
export const STREAM_WORK_MS = 1_500

/** Time that work of a given duration at the usual speed takes at a runner, in milliseconds. */
function scaleWork (workMs: number, { slowdown, usualSlowdown = 1 }: RunnerView): number {
  return workMs * usualSlowdown + Math.min(workMs, SPELL_REST_MS / slowdown) * (slowdown - usualSlowdown)
}

/**
 * Estimates how long a runner takes for prompt tokens, in milliseconds.
 *
 * @example
 * estimatePrefillMs(9_190, 1) // 242
 */
export function estimatePrefillMs (tokens: number, slowdown: number): number {
  return slowdown * tokens / TOKENS_PER_MS
}

/**
 * Estimates the longest time that an event of a running stream takes while prompt tokens are processed, in milliseconds.
 *
 * @example
 * estimatePauseMs(9_190, 1) // 272
 */
export function estimatePauseMs (promptTokens: number, slowdown: number): number {
  return slowdown * STEPS_PER_EVENT * STEP_MS + estimatePrefillMs(Math.min(promptTokens, STEPS_PER_EVENT * CHUNK_TOKENS), slowdown)
}

/** Requests that a request would have to wait for at a runner before it gets a slot. */
function countWaiting ({ load, runner }: RunnerView): number {
  return Math.max(0, load.requests + 1 - runner.slots)
}

/** Work ahead of the first output, at the usual speed, in milliseconds. */
function estimateWorkMs (view: RunnerView, tokens: number, plainWorkMs: number | undefined): number {
  const { load, runner } = view
  if (plainWorkMs !== undefined) return plainWorkMs * (1 + countWaiting(view) / runner.slots)
  const stepsBetweenMs = load.requests > 0 ? tokens / CHUNK_TOKENS * STEP_MS : 0
  return tokens / TOKENS_PER_MS + stepsBetweenMs + STEPS_PER_EVENT * STEP_MS + countWaiting(view) * STREAM_WORK_MS / runner.slots
}

/**
 * Assesses a runner for a request. The budget is that of the strictest pause among the request and this daemon's streams
 * there, and of the request's objective; an idle runner takes any request.
 *
 * @example
 * assessRunner(view, { uncachedTokens: 9_190, objectiveMs: 1_015, maxPauseMs: 500 }).isWithinBudget
 */
export function assessRunner (view: RunnerView, { uncachedTokens, plainWorkMs, objectiveMs = Number.POSITIVE_INFINITY, maxPauseMs }: PacedRequest): RunnerOffer {
  const { load, slowdown, strictestPauseMs } = view
  const tokens = load.pendingTokens - (load.processedTokens ?? 0) + uncachedTokens
  const firstOutputMs = scaleWork(estimateWorkMs(view, tokens, plainWorkMs), view)
  const pauseMs = estimatePauseMs(tokens, slowdown)
  const allowedPauseMs = Math.min(maxPauseMs || Number.POSITIVE_INFINITY, strictestPauseMs ?? Number.POSITIVE_INFINITY)
  const isOnTime = firstOutputMs <= objectiveMs && pauseMs <= allowedPauseMs
  return { firstOutputMs, pauseMs, isWithinBudget: load.requests === 0 || (countWaiting(view) === 0 && isOnTime) }
}

/** What the requests of a service allow at its runners. */
export interface PaceTerms {
  /** Strictest pause between two events, in milliseconds; undefined if none is declared. */
  readonly maxPauseMs: number | undefined
  /** Shortest objective for the first output, in milliseconds. */
  readonly objectiveMs: number
}

/**
 * Computes the prompt tokens that a runner may have pending within its budget.
 *
 * @example
 * computeTokenBudget(1.2, { maxPauseMs: 400, objectiveMs: 815 }) // 11_526
 */
export function computeTokenBudget (slowdown: number, { maxPauseMs = Number.POSITIVE_INFINITY, objectiveMs }: PaceTerms): number {
  const countTokens = (timeMs: number): number => Math.max(0, (timeMs / slowdown - STEPS_PER_EVENT * STEP_MS) * TOKENS_PER_MS)
  const pauseTokens = countTokens(maxPauseMs)
  return Math.floor(Math.min(pauseTokens >= STEPS_PER_EVENT * CHUNK_TOKENS ? Number.POSITIVE_INFINITY : pauseTokens, countTokens(objectiveMs)))
}
