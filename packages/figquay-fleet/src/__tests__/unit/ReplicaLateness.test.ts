/** Expected lateness on a runner, and what replicas and victims are worth. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { estimateLatePerSecond, estimateProcessedTokens, ReplicaValues, VictimChooser, type LatenessLimits, type PlannerModel, type PlannerRunner, type RunnerWork } from '../../index.js'

const LIMITS: LatenessLimits = { objectiveMs: 1_015, maxPauseMs: 500, slots: 32 }
const PROMPT_TOKENS = 9_190

function makeWork (requestsPerSecond: number, changes: Partial<RunnerWork> = {}): RunnerWork {
  const seconds = PROMPT_TOKENS / 38_000
  return { requestsPerSecond, prefillSeconds: requestsPerSecond * seconds, openRequests: 0, weightedPrefill: requestsPerSecond * seconds ** 2, ...changes }
}

function makeModel (name: string, requestsPerSecond: number, changes: Partial<PlannerModel> = {}): PlannerModel {
  return { spec: { name, weightsMb: 30_000, storeLoadMs: 1_200, diskLoadMs: 240, memoryLoadMs: 240, adapterCount: 0, adapterMb: 0 }, requestsPerSecond, uncachedTokensPerSecond: requestsPerSecond * PROMPT_TOKENS, longTermRequestsPerSecond: requestsPerSecond, waitingRequests: 0, unavailableMs: 0, readyInMs: undefined, loadingReplicas: 0, ...changes }
}

function makeRunner (id: string, models: readonly string[], changes: Partial<PlannerRunner> = {}): PlannerRunner {
  return { id, freeInMs: 0, isServing: true, freeMb: 0, slowdown: 1, loading: undefined, replicas: models.map((model) => ({ model, openRequests: 0, ageMs: 60_000 })), inMemory: [], onDisk: [], openRequests: 0, pendingTokens: 0, ...changes }
}

function makeValues (runners: readonly PlannerRunner[], models: readonly PlannerModel[]): ReplicaValues {
  return ReplicaValues.create(runners, new Map(models.map((model) => [model.spec.name, model])), LIMITS)
}

describe('expected lateness on a runner', () => {
  it('grows with the work, and is higher on a slow runner with the same work', () => {
    const late = [1, 2, 3].map((requests) => estimateLatePerSecond(makeWork(requests), 1, LIMITS))
    expect([late[0]! < 0.2, late[0]! < late[1]!, late[1]! < late[2]!, late[2]! < 3]).toEqual([true, true, true, true])
    expect(estimateLatePerSecond(makeWork(2), 1.2, LIMITS) > 3 * estimateLatePerSecond(makeWork(2), 0.55, LIMITS)).toEqual(true)
  })

  it('is zero without work, counts requests without a slot, and has no pauses where routes declare no limit', () => {
    expect(estimateLatePerSecond(makeWork(0), 1, LIMITS)).toEqual(0)
    expect(estimateLatePerSecond(makeWork(1, { openRequests: 42 }), 1, LIMITS)).toEqual(1)
    expect(estimateLatePerSecond(makeWork(1), 1.2, { ...LIMITS, maxPauseMs: 0 }) < 0.5 * estimateLatePerSecond(makeWork(1), 1.2, LIMITS)).toEqual(true)
  })

  it('counts no more processed tokens than the time to the first output allows', () => {
    expect([estimateProcessedTokens(PROMPT_TOKENS, 80, 1), estimateProcessedTokens(PROMPT_TOKENS, 800, 1), estimateProcessedTokens(PROMPT_TOKENS, 80, 0.5)]).toEqual([3_040, PROMPT_TOKENS, 6_080])
  })
})

describe('value of replicas', () => {
  it('is higher on a fast runner with little work than on a slow or busy one', () => {
    const runners = [makeRunner('slow', ['hot'], { slowdown: 1.2 }), makeRunner('fast', [], { slowdown: 0.55 }), makeRunner('slow-too', [], { slowdown: 1.2 }), makeRunner('busy', ['other'], { slowdown: 0.55 })]
    const values = makeValues(runners, [makeModel('hot', 3), makeModel('other', 6)])
    const [, fast, slowToo, busy] = runners.map((runner) => values.computeGain('hot', runner, 1.4))
    expect([fast! > 2, fast! > slowToo!, fast! > busy!]).toEqual([true, true, true])
  })

  it('counts a replica that is loading, so that no other one is added for the same demand', () => {
    const gainWith = (loading: string | undefined): number => {
      const runners = [makeRunner('r1', ['hot']), makeRunner('r2', [], { loading }), makeRunner('r3', [])]
      return makeValues(runners, [makeModel('hot', 3)]).computeGain('hot', runners[2]!, 1.4)
    }
    expect(gainWith('hot') < 0.4 * gainWith(undefined)).toEqual(true)
  })

  it('makes a replica that is hardly used cheaper to evict than the only one of a model', () => {
    const runners = [makeRunner('r1', ['twice', 'only']), makeRunner('r2', ['twice'])]
    const values = makeValues(runners, [makeModel('twice', 0.3), makeModel('only', 0.1)])
    expect(values.computeEvictionCost('twice', runners[0]!, 2) < values.computeEvictionCost('only', runners[0]!, 1)).toEqual(true)
  })
})

describe('victims', () => {
  const chooser = VictimChooser.create(new Map([makeModel('small', 0), makeModel('large', 0)].map((model) => [model.spec.name, { ...model, spec: { ...model.spec, weightsMb: model.spec.name === 'small' ? 16_000 : 34_000 } }])), ({ model }) => model === 'small' ? 1 : 3)

  it('leave enough memory, with as few evictions as that takes', () => {
    expect(chooser.chooseVictims(makeRunner('r1', ['small', 'large']), 16_000)?.models).toEqual(['small'])
    expect(chooser.chooseVictims(makeRunner('r2', ['small', 'large']), 30_000)?.models).toEqual(['large'])
    expect(chooser.chooseVictims(makeRunner('r3', ['small', 'large']), 40_000)?.models).toEqual(['small', 'large'])
    expect(chooser.chooseVictims(makeRunner('r4', ['small']), 40_000)).toEqual(undefined)
  })
})
