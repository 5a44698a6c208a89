/** Checks plans for random input: the last ready replica of a model is never unloaded, and no runner is overcommitted. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { GainPlacement, RecentUsePlacement, type PlacementPolicy, type PlannerModel, type PlannerRunner, type PlacementInput } from 'figquay-placement'

const SEED = 20261204
const MODEL_BYTES = 10
const MODELS = ['a@v1', 'b@v1', 'c@v1', 'd@v1', 'e@v1']
const POLICY = { movePrice: 1, loadsAtOnce: 8, loadsPerSecond: 8, adaptersAtOnce: 8, coolDown: 0 }

const runnerArbitrary = (id: number): fc.Arbitrary<PlannerRunner> => fc.record({
  replicas: fc.uniqueArray(fc.record({ id: fc.constantFrom(...MODELS, 'a@v0'), bytes: fc.constant(MODEL_BYTES), phase: fc.constantFrom('ready' as const, 'ready' as const, 'loading' as const, 'leaving' as const) }), { selector: (replica) => replica.id, maxLength: 4 }),
  isServing: fc.constantFrom(true, true, true, false)
}).map(({ replicas, isServing }) => ({
  id: `r${id}`,
  zone: 'z',
  isServing,
  isSchedulable: isServing,
  freeBytes: (4 - replicas.length) * MODEL_BYTES,
  replicas,
  modelsWithOpenOrder: new Set(replicas.filter((replica) => replica.phase === 'leaving').map((replica) => replica.id)),
  lastMoveAtMs: Number.NEGATIVE_INFINITY
}))

const inputArbitrary: fc.Arbitrary<PlacementInput> = fc.record({
  runners: fc.tuple(runnerArbitrary(1), runnerArbitrary(2), runnerArbitrary(3), runnerArbitrary(4)),
  demands: fc.array(fc.double({ min: 0, max: 3, noNaN: true }), { minLength: MODELS.length, maxLength: MODELS.length })
}).map(({ runners, demands }) => ({
  runners,
  models: MODELS.map((id, index): PlannerModel => ({ id, bytes: MODEL_BYTES, demand: demands[index]!, workPerRequest: 0.3 })),
  policy: POLICY,
  nowMs: 1_000_000,
  loadsLeft: 8
}))

function countReadyReplicas (input: PlacementInput, id: string, excluded: ReadonlySet<string>): number {
  return input.runners.filter((runner) => runner.isServing && !excluded.has(`${runner.id}/${id}`) && runner.replicas.some((replica) => replica.id === id && replica.phase === 'ready')).length
}

/** Lists the models that a plan leaves without a ready replica though they had one. */
function findUnavailableModels (policy: PlacementPolicy, input: PlacementInput): string[] {
  const unloaded = new Set(policy.planMoves(input).filter((move) => move.action === 'unload-model').map((move) => `${move.runner}/${move.subject}`))
  return MODELS.filter((id) => countReadyReplicas(input, id, new Set()) > 0 && countReadyReplicas(input, id, unloaded) === 0)
}

describe('gain placement', () => {
  test('never unloads the last ready replica of a model', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      expect(findUnavailableModels(GainPlacement.create(), input)).toEqual([])
    }), { seed: SEED, numRuns: 3_000 })
  })

  test('control: the recent-use policy unloads the last ready replica', () => {
    const result = fc.check(fc.property(inputArbitrary, (input) => findUnavailableModels(RecentUsePlacement.create(), input).length === 0), { seed: SEED, numRuns: 3_000 })
    expect(result.failed).toEqual(true)
  })

  test('never loads more than fits in free memory, nor a model that the runner already has', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const moves = GainPlacement.create().planMoves(input).filter((move) => move.action === 'load-model')
      for (const runner of input.runners) {
        const loads = moves.filter((move) => move.runner === runner.id)
        expect(loads.reduce((sum, move) => sum + move.bytes, 0) <= runner.freeBytes).toEqual(true)
        for (const load of loads) expect(runner.replicas.some((replica) => replica.id === load.subject)).toEqual(false)
      }
    }), { seed: SEED, numRuns: 3_000 })
  })

  test('loads only models without a replica while there are any', () => {
    fc.assert(fc.property(inputArbitrary, (input) => {
      const missing = input.models.filter((model) => !input.runners.some((runner) => runner.isServing && runner.replicas.some((replica) => replica.id === model.id && replica.phase !== 'leaving')))
      const loads = GainPlacement.create().planMoves(input).filter((move) => move.action === 'load-model')
      if (missing.length > 0) for (const load of loads) expect(missing.some((model) => model.id === load.subject)).toEqual(true)
    }), { seed: SEED, numRuns: 3_000 })
  })
})
