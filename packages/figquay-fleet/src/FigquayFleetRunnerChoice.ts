/**
 * Which runner a request goes to. Pure: no clock, no I/O.
 *
 * Answers these load patterns: many requests that share long prompt parts (kept together while that costs less than
 * processing the parts again); long prompts beside short streams, whose events pause while a prompt is processed (kept
 * apart as far as there are runners to choose from); calls that are few and far between, each of which would open a
 * connection (they stay where one stands while the loads are alike); and a runner that fails or lags behind (it gets
 * less, or nothing).
 */
import { createHash } from 'node:crypto'
import type { RunnerView } from './FigquayFleetRunnerTable.js'
import type { PromptPart, Runner } from './FigquayFleetTypes.js'

/** What the choice needs to know of a request. */
export interface ChoiceRequest {
  readonly model: string | undefined
  readonly promptTokens: number
  readonly parts: readonly PromptPart[]
  /** Zone of this daemon. */
  readonly zone: string
  /** Runners that have had this request already. */
  readonly triedRunners: ReadonlySet<string>
}

/** What this daemon knows of its own dealings with a runner. */
export interface RunnerDealings {
  /** Prompt tokens of the request that the runner has processed before. */
  readonly cachedTokens: number
  /** Whether a connection to it stands that the request may use. */
  readonly isConnected: boolean
}

/** Prompt tokens that a runner processes in a millisecond, for a first estimate. */
export const PREFILL_TOKENS_PER_MS = 40
/** Cost of sharing a runner with a running request, in prompt tokens: its part of every step. */
const TOKENS_PER_RUNNING_REQUEST = 60
/** Prompts up to this length are processed within a few steps, which no stream notices, in tokens. */
const UNNOTICED_TOKENS = 5_000
/** Cost to each running stream of a longer prompt, in prompt tokens: its events pause for longer than is allowed. */
const TOKENS_PER_PAUSED_STREAM = 4_000
/** Part of the prompt tokens sent to a runner of late that is to be expected again during a stream. */
const EXPECTED_PART = 1
/** Cost of a runner whose recent requests all failed, in prompt tokens. */
const TOKENS_PER_FAILURE_RATE = 40_000
/** Cost of a path to another zone, in prompt tokens of equal time. */
const TOKENS_PER_ZONE_HOP = 60
/** Cost of a new connection, in prompt tokens: a runner accepts few, and each takes a slot and two round trips. */
const TOKENS_PER_CONNECTION = 150
/** Cost of not being the home of the request's shared parts, as a part of the tokens that the home would save. */
const HOME_PART = 1

/**
 * The runner of a set that a key belongs to; every daemon finds the same one, and few keys move when the set changes.
 *
 * @example
 * findHome('subject-17', ['runner-1', 'runner-2'])
 */
export function findHome (key: string, ids: readonly string[]): string | undefined {
  let home: string | undefined
  let highest = ''
  for (const id of ids) {
    const rank = createHash('sha256').update(`${key}\n${id}`).digest('hex')
    if (home !== undefined && rank <= highest) continue
    home = id
    highest = rank
  }
  return home
}

/** Parts that other requests share: all but the last, which is the request's own. */
function listSharedParts (parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.slice(0, -1)
}

function sumTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}

/** Cost of sending a request to a runner, in prompt tokens of equal time. */
function weighRunner (view: RunnerView, request: ChoiceRequest, home: string | undefined, { cachedTokens, isConnected }: RunnerDealings): number {
  const sharedTokens = sumTokens(listSharedParts(request.parts))
  const expectedCached = view.runner.id === home ? Math.max(cachedTokens, HOME_PART * sharedTokens) : cachedTokens
  const ownTokens = Math.max(0, request.promptTokens - expectedCached)
  return view.load.pendingTokens + ownTokens +
    (ownTokens > UNNOTICED_TOKENS ? 0 : view.load.recentTokens * EXPECTED_PART) +
    view.load.requests * (TOKENS_PER_RUNNING_REQUEST + (ownTokens > UNNOTICED_TOKENS ? TOKENS_PER_PAUSED_STREAM : 0)) +
    view.failureRate * TOKENS_PER_FAILURE_RATE +
    (view.runner.zone === request.zone ? 0 : TOKENS_PER_ZONE_HOP) +
    (isConnected ? 0 : TOKENS_PER_CONNECTION)
}

/**
 * Chooses the runner at which a request costs least; undefined when there is none to choose from.
 * Runners that are resting, or have had the request, are taken only when there are no others.
 *
 * @example
 * chooseRunner(candidates, request, () => ({ cachedTokens: 0, isConnected: true }))?.runner.id
 */
export function chooseRunner (candidates: readonly RunnerView[], request: ChoiceRequest, findDealings: (runner: Runner) => RunnerDealings): RunnerView | undefined {
  const fresh = candidates.filter((view) => !request.triedRunners.has(view.runner.id))
  const trusted = fresh.filter((view) => view.isTrusted)
  const usable = trusted.length > 0 ? trusted : fresh.length > 0 ? fresh : candidates
  const shared = listSharedParts(request.parts)
  const homeKey = shared.length === 0 ? undefined : `${request.model ?? ''}\n${shared.at(-1)!.id}`
  const home = homeKey === undefined ? undefined : findHome(homeKey, usable.map((view) => view.runner.id))
  let best: RunnerView | undefined
  let lowest = Number.POSITIVE_INFINITY
  for (const view of usable) {
    const cost = weighRunner(view, request, home, findDealings(view.runner))
    if (cost >= lowest) continue
    best = view
    lowest = cost
  }
  return best
}
