/**
 * Chooses the runner for a request. Pure: no clock, no I/O.
 *
 * Covers these load patterns:
 * - Many requests share long prompt parts: they go to one runner while that costs less than processing the parts again.
 * - Long prompts next to short streams, whose events pause while a prompt is processed: they are kept apart as far as
 *   there are runners to choose from.
 * - Infrequent calls that would each open a connection: they use an existing one while loads are similar.
 * - A runner that fails or falls behind: it receives less traffic, or none.
 */
import { createHash } from 'node:crypto'
import type { RunnerView } from './FigquayFleetRunnerTable.js'
import { drawRunner } from './FigquayFleetRunnerTimeChoice.js'
import type { PromptPart, Runner } from './FigquayFleetTypes.js'

/** Properties of a request that affect the choice. */
export interface ChoiceRequest {
  readonly model: string | undefined
  readonly promptTokens: number
  readonly parts: readonly PromptPart[]
  /** Data centre of this daemon. */
  readonly zone: string
  /** Runners that this request was already sent to. */
  readonly triedRunners: ReadonlySet<string>
  /** Time left for the first output to be on time, in milliseconds. */
  readonly objectiveMs?: number | undefined
  /** Longest pause between two events for which the response is still on time, in milliseconds; 0 or undefined if none is declared. */
  readonly maxPauseMs?: number | undefined
}

/** State at a runner that a request from this daemon can reuse. */
export interface ReusableState {
  /** Prompt tokens of the request that are probably in the runner's prefix cache. */
  readonly cachedTokens: number
  /** Whether the request may use an open, idle connection to the runner. */
  readonly isConnected: boolean
}

/** Estimated prompt tokens that a runner processes per millisecond. */
export const PREFILL_TOKENS_PER_MS = 40
/** Cost of sharing a runner with one running request, in prompt tokens: its share of every batch step. */
const RUNNING_REQUEST_COST_TOKENS = 60
/** Prompts up to this length are processed within a few steps and don't noticeably pause streams, in tokens. */
const MAX_SHORT_PROMPT_TOKENS = 5_000
/** Cost of a longer prompt to each running stream, in prompt tokens: its events pause for longer than allowed. */
const PAUSED_STREAM_COST_TOKENS = 4_000
/** Fraction of a runner's recent prompt tokens that is expected to arrive again during a stream. */
const RECENT_TOKENS_FACTOR = 1
/** Cost of a runner whose recent requests all failed, in prompt tokens; a lower failure rate costs proportionally less. */
const FAILURE_RATE_COST_TOKENS = 40_000
/** Cost of sending to another data centre, as the prompt tokens that take the same time. */
const CROSS_ZONE_COST_TOKENS = 60
/** Cost of opening a connection, in prompt tokens: a runner accepts few, and each takes a slot and two round trips. */
const NEW_CONNECTION_COST_TOKENS = 150
/** Fraction of a request's shared prompt tokens that its affinity runner is assumed to have cached. */
const AFFINITY_FACTOR = 1

/**
 * Selects one of the runners by rendezvous hashing of a key: every daemon selects the same one, and few keys move when
 * the set of runners changes.
 *
 * @example
 * selectByRendezvousHash('subject-17', ['runner-1', 'runner-2'])
 */
export function selectByRendezvousHash (key: string, ids: readonly string[]): string | undefined {
  let selected: string | undefined
  let highestRank = ''
  for (const id of ids) {
    const rank = createHash('sha256').update(`${key}\n${id}`).digest('hex')
    if (selected !== undefined && rank <= highestRank) continue
    selected = id
    highestRank = rank
  }
  return selected
}

/** Parts that other requests may share: all but the last, which is specific to the request. */
function listSharedParts (parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.slice(0, -1)
}

function sumTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}

/** Prompt tokens of a request that a runner probably has cached. */
function countCachedTokens (view: RunnerView, request: ChoiceRequest, affinityId: string | undefined, { cachedTokens }: ReusableState): number {
  return view.runner.id === affinityId ? Math.max(cachedTokens, AFFINITY_FACTOR * sumTokens(listSharedParts(request.parts))) : cachedTokens
}

/** Cost of sending a request to a runner, as the prompt tokens that take the same time. */
function estimateCostTokens (view: RunnerView, request: ChoiceRequest, affinityId: string | undefined, reusable: ReusableState): number {
  const uncachedTokens = Math.max(0, request.promptTokens - countCachedTokens(view, request, affinityId, reusable))
  return view.load.pendingTokens + uncachedTokens +
    (uncachedTokens > MAX_SHORT_PROMPT_TOKENS ? 0 : view.load.recentTokens * RECENT_TOKENS_FACTOR) +
    view.load.requests * (RUNNING_REQUEST_COST_TOKENS + (uncachedTokens > MAX_SHORT_PROMPT_TOKENS ? PAUSED_STREAM_COST_TOKENS : 0)) +
    view.failureRate * FAILURE_RATE_COST_TOKENS +
    (view.runner.zone === request.zone ? 0 : CROSS_ZONE_COST_TOKENS) +
    (reusable.isConnected ? 0 : NEW_CONNECTION_COST_TOKENS)
}

/**
 * Chooses the runner with the lowest cost; undefined when there are no candidates. Where runners report how long their work
 * takes, times decide instead of tokens, and near-equal runners are drawn.
 * Unhealthy runners, and those that already received the request, are used only when there are no others.
 *
 * @param draw Returns a random number from 0 to 1.
 * @example
 * chooseRunner(candidates, request, () => ({ cachedTokens: 0, isConnected: true }))?.runner.id
 */
export function chooseRunner (candidates: readonly RunnerView[], request: ChoiceRequest, findReusableState: (runner: Runner) => ReusableState, draw: () => number = Math.random): RunnerView | undefined {
  const untried = candidates.filter((view) => !request.triedRunners.has(view.runner.id))
  const healthy = untried.filter((view) => view.isHealthy)
  const eligible = healthy.length > 0 ? healthy : untried.length > 0 ? untried : candidates
  const sharedParts = listSharedParts(request.parts)
  const affinityKey = sharedParts.length === 0 ? undefined : `${request.model ?? ''}\n${sharedParts.at(-1)!.id}`
  const affinityId = affinityKey === undefined ? undefined : selectByRendezvousHash(affinityKey, eligible.map((view) => view.runner.id))
  if (eligible.some(({ usualSlowdown }) => usualSlowdown !== undefined)) {
    const timed = eligible.map((view) => {
      const reusable = findReusableState(view.runner)
      return { view, cachedTokens: countCachedTokens(view, request, affinityId, reusable), isConnected: reusable.isConnected }
    })
    return drawRunner(timed, request, draw)
  }
  let best: RunnerView | undefined
  let lowestCost = Number.POSITIVE_INFINITY
  for (const view of eligible) {
    const cost = estimateCostTokens(view, request, affinityId, findReusableState(view.runner))
    if (cost >= lowestCost) continue
    best = view
    lowestCost = cost
  }
  return best
}
