/**
 * Chooses the runner for a request by expected times, where runners report how long their work takes. Pure: no clock, no I/O;
 * random numbers are passed in.
 *
 * Covers these load patterns, beside those of `FigquayFleetRunnerChoice`:
 * - Runners whose speeds differ, and that slow down for some tenths of a second: long prompts avoid slow ones with running
 *   streams, and streams with a strict pause avoid those that are slow or busy with long prompts.
 * - Many daemons that know each other's loads some tenths of a second late: they don't all choose the same runner.
 */
import { assessRunner, estimatePauseMs, estimatePrefillMs, STREAM_WORK_MS } from './FigquayFleetRunnerPace.js'
import { RECENT_TOKENS_DECAY_MS } from './FigquayFleetPeerLoads.js'
import type { RunnerView } from './FigquayFleetRunnerTable.js'
import type { PromptPart } from './FigquayFleetTypes.js'

/** Properties of a request that affect the times that it may expect. */
export interface TimedRequest {
  readonly model: string | undefined
  readonly promptTokens: number
  readonly parts: readonly PromptPart[]
  readonly zone: string
  /** Time left for the first output to be on time, in milliseconds. */
  readonly objectiveMs?: number | undefined
  /** Longest pause between two events for which the response is still on time, in milliseconds; 0 or undefined if none is declared. */
  readonly maxPauseMs?: number | undefined
}

/** A candidate, with what the request can reuse there. */
export interface TimedCandidate {
  readonly view: RunnerView
  readonly cachedTokens: number
  readonly isConnected: boolean
}

interface Offer {
  readonly view: RunnerView
  /** Cost as any other daemon would see it for a request without anything to reuse, in milliseconds. */
  readonly commonMs: number
  /** What this request saves at this runner, in milliseconds. */
  readonly savedMs: number
  /** Within the budget of the runner, and on time: an idle runner is within its budget however slow it is. */
  readonly isPreferred: boolean
}

/** Cost of sharing a runner with one running request, in milliseconds: its share of every decode step. */
const RUNNING_REQUEST_MS = 2
/** Cost of a stream that certainly pauses for too long, in milliseconds. */
const BROKEN_STREAM_MS = 150
/** Running streams whose pauses are counted; beyond them the runner is avoided anyway. */
const MAX_COUNTED_STREAMS = 4
/** Prompts up to this length are processed within one step, and pause no stream noticeably, in tokens. */
const MAX_SHORT_PROMPT_TOKENS = 2_048
/** Expected pause, as a fraction of the allowed one, from which a stream may pause for too long, and from which it certainly does. */
const PAUSE_RISK_START = 0.6
const PAUSE_RISK_END = 1.2
/** Cost of a runner whose recent requests all failed, in milliseconds. */
const FAILURE_RATE_MS = 1_000
/** Cost of sending to another data centre, in milliseconds. */
const CROSS_ZONE_MS = 1.5
/** Cost of opening a connection, in milliseconds: a runner accepts few, and each takes a slot and two round trips. */
const NEW_CONNECTION_MS = 4
/** Work of a request to a plain service, as a fraction of its objective: 43 ms of 199. */
const PLAIN_WORK_FRACTION = 0.2
/**
 * Time for which the sends of other daemons are expected to be unknown here, in milliseconds. Loads are 200 to 600 ms old, but
 * count less and less; in replays 50 to 100 ms gave the fewest late requests, and 400 ms hid differences between runners.
 */
const UNKNOWN_SENDS_MS = 75
/** The same for requests to plain services, in milliseconds: they are over before other daemons hear of them. */
const UNKNOWN_PLAIN_SENDS_MS = 500
/** Work that is always expected to be unknown, in milliseconds: candidates that differ by less count as equal. */
const MIN_UNKNOWN_WORK_MS = 1
/** Differences in cost that are as likely as not to be errors of the estimate, in milliseconds. */
const COST_ERROR_MS = 5

/** Likelihood that a stream pauses for longer than allowed. */
function estimatePauseRisk (pauseMs: number, allowedMs: number): number {
  if (allowedMs <= 0) return 0
  return Math.min(1, Math.max(0, (pauseMs / allowedMs - PAUSE_RISK_START) / (PAUSE_RISK_END - PAUSE_RISK_START)))
}

function estimatePlainWorkMs ({ model, objectiveMs = 0 }: TimedRequest): number | undefined {
  return model === undefined ? Math.max(0, objectiveMs) * PLAIN_WORK_FRACTION : undefined
}

function makeOffer ({ view, cachedTokens, isConnected }: TimedCandidate, request: TimedRequest, plainWorkMs: number | undefined): Offer {
  const { load, slowdown, failureRate } = view
  const { maxPauseMs = 0, objectiveMs = Number.POSITIVE_INFINITY } = request
  const cached = Math.min(cachedTokens, request.promptTokens)
  const uncachedTokens = request.promptTokens - cached
  const { firstOutputMs, pauseMs, isWithinBudget } = assessRunner(view, { uncachedTokens, plainWorkMs, objectiveMs, maxPauseMs })
  const pausedStreams = uncachedTokens > MAX_SHORT_PROMPT_TOKENS ? Math.min(load.requests, MAX_COUNTED_STREAMS) * estimatePauseRisk(pauseMs, view.strictestPauseMs ?? maxPauseMs) : 0
  const ownPauseRisk = estimatePauseRisk(estimatePauseMs(load.recentTokens, slowdown), maxPauseMs)
  const savedMs = estimatePrefillMs(cached, slowdown) + (isConnected ? NEW_CONNECTION_MS : 0)
  const costMs = firstOutputMs + load.requests * RUNNING_REQUEST_MS * slowdown + (pausedStreams + ownPauseRisk) * BROKEN_STREAM_MS +
    failureRate * FAILURE_RATE_MS + (view.runner.zone === request.zone ? 0 : CROSS_ZONE_MS) + (isConnected ? 0 : NEW_CONNECTION_MS)
  return { view, commonMs: costMs + savedMs, savedMs, isPreferred: isWithinBudget && firstOutputMs <= objectiveMs }
}

/** Work that other daemons send to the candidates before this one hears of it, at the usual speed, in milliseconds. */
function estimateUnknownWorkMs (offers: readonly Offer[], plainWorkMs: number | undefined): number {
  const requestMs = Math.max(1, plainWorkMs ?? STREAM_WORK_MS)
  const unknownMs = plainWorkMs === undefined ? UNKNOWN_SENDS_MS : UNKNOWN_PLAIN_SENDS_MS
  let workMs = MIN_UNKNOWN_WORK_MS
  for (const { view: { load } } of offers) {
    workMs += estimatePrefillMs(load.recentTokens, 1) * unknownMs / RECENT_TOKENS_DECAY_MS + load.requests * RUNNING_REQUEST_MS * unknownMs / requestMs
  }
  return workMs
}

/**
 * Cost up to which the candidates are filled by work that is sent to the cheapest ones: those below it can't be told apart.
 * Sorts the offers.
 */
function findFillLevel (offers: Offer[], workMs: number): number {
  offers.sort((a, b) => a.commonMs - b.commonMs)
  let speed = 0
  let weightedMs = workMs
  let level = Number.POSITIVE_INFINITY
  for (const { commonMs, view } of offers) {
    if (commonMs >= level) break
    speed += 1 / view.slowdown
    weightedMs += commonMs / view.slowdown
    level = weightedMs / speed
  }
  return level
}

/**
 * Draws a runner: those whose costs can't be told apart in proportion to what they can take, others the less the more they
 * cost. Runners that are within the budget of `assessRunner` and on time go before others; undefined if there are no candidates.
 *
 * @param draw Returns a random number from 0 to 1.
 * @example
 * drawRunner(candidates, request, Math.random)?.runner.id
 */
export function drawRunner (candidates: readonly TimedCandidate[], request: TimedRequest, draw: () => number): RunnerView | undefined {
  const plainWorkMs = estimatePlainWorkMs(request)
  const all = candidates.map((candidate) => makeOffer(candidate, request, plainWorkMs))
  const preferred = all.filter(({ isPreferred }) => isPreferred)
  const offers = preferred.length > 0 ? preferred : all
  const level = findFillLevel(offers, estimateUnknownWorkMs(offers, plainWorkMs))
  const costsMs = offers.map(({ commonMs, savedMs }) => Math.max(commonMs, level) - savedMs)
  const lowestMs = Math.min(...costsMs)
  const weights = offers.map(({ commonMs, view }, index) => (Math.max(0, level - commonMs) + MIN_UNKNOWN_WORK_MS) / view.slowdown * Math.exp((lowestMs - costsMs[index]!) / COST_ERROR_MS))
  let rest = draw() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, { view }] of offers.entries()) {
    rest -= weights[index]!
    if (rest <= 0) return view
  }
  return offers.at(-1)?.view
}
