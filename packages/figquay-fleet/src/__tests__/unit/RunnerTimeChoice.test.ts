/** Choices of a runner by expected times, and the budget of a runner, under the loads that they cover. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { assessRunner, chooseRunner, type ChoiceRequest, type ReusableState, type RunnerLoad, type RunnerView } from '../../index.js'
import { hideSpeeds, replayChoices, type ReplayOptions } from '../standins/ChoiceReplay.js'
import { replayPlainRequests } from '../standins/PlainReplay.js'
import { makeRandom } from '../standins/SeededRandom.js'

function makeView (id: string, load: Partial<RunnerLoad> = {}, changes: Partial<RunnerView> = {}): RunnerView {
  return {
    runner: { id, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 32, isLeaving: false, bornMs: 0, holdings: undefined },
    load: { requests: 0, pendingTokens: 0, recentTokens: 0, ...load },
    failureRate: 0,
    isHealthy: true,
    backoffMs: 0,
    slowdown: 1,
    usualSlowdown: 1,
    ...changes
  }
}

const LONG: ChoiceRequest = { model: 'm', promptTokens: 9_190, parts: [], zone: 'z', triedRunners: new Set(), objectiveMs: 1_015, maxPauseMs: 500 }
const SHORT: ChoiceRequest = { ...LONG, promptTokens: 826, objectiveMs: 807 }
const CALL: ChoiceRequest = { ...LONG, model: undefined, promptTokens: 0, objectiveMs: 199, maxPauseMs: 0 }
const DRAWS = 400

/** Shares of the runners in many choices. */
function countShares (views: readonly RunnerView[], request: ChoiceRequest, findState: () => ReusableState = () => ({ cachedTokens: 0, isConnected: true })): Record<string, number> {
  const draw = makeRandom(5)
  const shares: Record<string, number> = Object.fromEntries(views.map(({ runner }) => [runner.id, 0]))
  for (let index = 0; index < DRAWS; index += 1) shares[chooseRunner(views, request, findState, draw)!.runner.id]! += 1 / DRAWS
  return shares
}

describe('choice by expected times', () => {
  it('keeps a long prompt off a slow runner with running streams', () => {
    const shares = countShares([makeView('slow', { requests: 2 }, { slowdown: 3, usualSlowdown: 1.2 }), makeView('fast', { requests: 6 }, { slowdown: 0.55, usualSlowdown: 0.55 })], LONG)
    expect(shares.slow).toEqual(0)
  })

  it('keeps a stream with a strict pause off runners that are busy with long prompts, if these pause it for too long', () => {
    const busy = makeView('busy', { requests: 1, recentTokens: 20_000 }, { slowdown: 1.2, usualSlowdown: 1.2 })
    const calm = makeView('calm', { requests: 8 }, { slowdown: 1.2, usualSlowdown: 1.2 })
    expect(countShares([busy, calm], { ...SHORT, maxPauseMs: 400 }).busy! < 0.01).toEqual(true)
    expect(countShares([busy, calm], { ...SHORT, maxPauseMs: 4_000 }).busy! > 0.3).toEqual(true)
    const [slow, fast] = [2, 0.55].map((slowdown) => makeView(`r${slowdown}`, { requests: 1, recentTokens: 9_000 }, { slowdown, usualSlowdown: slowdown }))
    expect(countShares([slow!, fast!], SHORT).r2! < 0.01).toEqual(true)
  })

  it('sends more to faster runners, and still something to a runner that is a little slower', () => {
    const views = [1, 1.1].map((slowdown) => makeView(`r${slowdown}`, { recentTokens: 4_000, requests: 3 }, { slowdown, usualSlowdown: slowdown }))
    const shares = countShares(views, { ...SHORT, maxPauseMs: 0 })
    expect(shares.r1! > 0.55 && shares['r1.1']! > 0.1).toEqual(true)
  })

  it('keeps to a cached prompt while that saves time, and leaves it in a spell of slow work', () => {
    const request = { ...LONG, parts: [{ id: 'manual', tokens: 6_300 }, { id: 'own', tokens: 2_890 }] }
    const calm = [makeView('r1', { requests: 1 }), makeView('r2', { requests: 1 })]
    const shares = countShares(calm, request)
    const affinityId = shares.r1! > 0.5 ? 'r1' : 'r2'
    expect(shares[affinityId]! > 0.98).toEqual(true)
    const slowed = calm.map((view) => view.runner.id === affinityId ? { ...view, slowdown: 4, usualSlowdown: 1 } : view)
    expect(countShares(slowed, request)[affinityId]).toEqual(0)
  })

  it('shares requests without a prompt among equal runners, and prefers an open connection', () => {
    const views = ['r1', 'r2', 'r3'].map((id) => makeView(id, { requests: 2 }))
    expect(Object.values(countShares(views, CALL)).every((share) => share > 0.25 && share < 0.42)).toEqual(true)
    const connected = chooseRunner(views, CALL, ({ id }) => ({ cachedTokens: 0, isConnected: id === 'r2' }), () => 0.5)
    expect(connected?.runner.id).toEqual('r2')
  })

  it('leaves an idle runner alone that is too slow for the objective, while a busy one is faster', () => {
    const views = [makeView('idle', {}, { slowdown: 20, usualSlowdown: 20 }), makeView('busy', { requests: 20, pendingTokens: 14_000 }, { slowdown: 1.5, usualSlowdown: 1.2 })]
    expect(countShares(views, LONG).idle).toEqual(0)
  })

  it('takes the cheapest runner if all of them are beyond their budgets', () => {
    const views = [3, 6].map((slowdown) => makeView(`r${slowdown}`, { requests: 4, pendingTokens: 9_000 }, { slowdown, usualSlowdown: slowdown }))
    expect(countShares(views, LONG).r3! > 0.99).toEqual(true)
  })
})

describe('budget of a runner', () => {
  const assess = (view: RunnerView, request: ChoiceRequest) => assessRunner(view, { uncachedTokens: request.promptTokens, objectiveMs: request.objectiveMs, maxPauseMs: request.maxPauseMs })

  it('follows from the strictest pause there and the speed', () => {
    const withSlowdown = (slowdown: number): boolean => assess(makeView('r', { requests: 1 }, { slowdown, usualSlowdown: slowdown }), LONG).isWithinBudget
    expect([0.55, 1.2, 1.8, 3].map(withSlowdown)).toEqual([true, true, true, false])
    expect(assess(makeView('r', { requests: 1 }, { strictestPauseMs: 250 }), { ...LONG, maxPauseMs: 0 }).isWithinBudget).toEqual(false)
  })

  it('follows from the objective: prompts ahead, and requests that wait for a slot', () => {
    expect(assess(makeView('r', { requests: 1, pendingTokens: 40_000 }), { ...SHORT, maxPauseMs: 0 }).isWithinBudget).toEqual(false)
    expect(assess(makeView('r', { requests: 1, pendingTokens: 40_000, processedTokens: 30_000 }), { ...SHORT, maxPauseMs: 0 }).isWithinBudget).toEqual(true)
    expect(assess(makeView('r', { requests: 32 }), SHORT).isWithinBudget).toEqual(false)
  })

  it('lets an idle runner take any request, however slow it is', () => {
    expect(assess(makeView('r', {}, { slowdown: 25, usualSlowdown: 25 }), LONG).isWithinBudget).toEqual(true)
  })

  it('estimates times that grow with the slowdown, in a spell for as long as spells last', () => {
    expect(Math.round(assess(makeView('r'), LONG).firstOutputMs)).toEqual(272)
    expect(Math.round(assess(makeView('r', {}, { slowdown: 3, usualSlowdown: 3 }), LONG).firstOutputMs)).toEqual(816)
    expect(Math.round(assess(makeView('r', {}, { slowdown: 3, usualSlowdown: 1 }), LONG).firstOutputMs)).toEqual(505)
  })
})

/** A quarter of the runners is slow; 12 models of uneven demand, some on a single runner; loads are 0.3 to 0.6 s old. */
const UNEVEN: ReplayOptions = { seed: 1, seconds: 20, daemons: 80, exchangeMs: 300, slowdowns: Array.from({ length: 21 }, (_, index) => index % 4 === 0 ? 1.2 : 0.55), models: 12, longPerSecond: 20, shortPerSecond: 90 }

function sumReplays (options: ReplayOptions, seeds: readonly number[]): { readonly late: number, readonly longPauses: number } {
  const results = seeds.map((seed) => replayChoices({ ...options, seed }))
  const sum = (read: (result: typeof results[number]) => number): number => results.reduce((total, result) => total + read(result), 0)
  return { late: sum(({ lateLong, lateShort }) => lateLong + lateShort), longPauses: sum(({ longPauses }) => longPauses) }
}

describe('choice by expected times, against the choice in tokens', () => {
  it('halves late first events and long pauses on uneven runners', () => {
    const [before, after] = [sumReplays({ ...UNEVEN, adaptViews: hideSpeeds }, [1, 2]), sumReplays(UNEVEN, [1, 2])]
    expect([after.late < before.late / 2, after.longPauses < before.longPauses / 2]).toEqual([true, true])
  })

  it('doesn\'t send the requests of 80 daemons to the same runners when all runners have the model', () => {
    const crowd = { ...UNEVEN, models: 1, longPerSecond: 22, shortPerSecond: 100 }
    const [before, after] = [sumReplays({ ...crowd, adaptViews: hideSpeeds }, [1]), sumReplays(crowd, [1])]
    expect([after.late < before.late / 10, after.longPauses <= before.longPauses]).toEqual([true, true])
  })

  it('shares the requests of 80 daemons to a plain service, whose requests end before the others hear of them', () => {
    const plain = { seed: 1, seconds: 20, daemons: 80, exchangeMs: 300, slowdowns: [1, 1, 1], requestsPerSecond: 124 }
    const [before, after] = [replayPlainRequests({ ...plain, adaptViews: hideSpeeds }), replayPlainRequests(plain)]
    expect([after.late < before.late / 2, after.rejected <= before.rejected, after.rejected < after.arrivals / 100]).toEqual([true, true, true])
  })

  it('doesn\'t empty a runner of which one report in twenty is slow', () => {
    const even: ReplayOptions = { ...UNEVEN, seconds: 12, slowdowns: Array.from({ length: 21 }, () => 0.8), models: 1, longPerSecond: 13, shortPerSecond: 55 }
    let reports = 0
    const [honest, flapping] = [replayChoices(even), replayChoices({ ...even, report: (runner, slowdown) => runner === 0 && ++reports % 20 === 0 ? 6 : slowdown })]
    expect(flapping.processed[0]! > honest.processed[0]! / 2).toEqual(true)
  })

  it('copes with a runner that claims to be faster than it is, and keeps one in use that claims to be slow', () => {
    const { arrivals, lateLong, lateShort, longPauses, processed } = replayChoices({ ...UNEVEN, models: 1, report: (runner, slowdown) => runner === 1 ? 0.01 : runner === 2 ? 90 : slowdown })
    expect([lateLong + lateShort < arrivals / 100, longPauses < arrivals / 50, processed[2]! > 0]).toEqual([true, true, true])
  })
})
