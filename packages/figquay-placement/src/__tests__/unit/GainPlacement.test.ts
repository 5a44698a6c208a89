/** Plans on random views: no last copy is unloaded, no runner is promised more than it has. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { GainPlacement, RecentUsePlacement, type PlacementPolicy, type PlannedModel, type PlannedRunner, type PlanView } from 'figquay-placement'

const SEED = 20261204
const BYTES = 10
const MODELS = ['a@v1', 'b@v1', 'c@v1', 'd@v1', 'e@v1']
const POLICY = { movePrice: 1, loadsAtOnce: 8, loadsPerSecond: 8, adaptersAtOnce: 8, coolDown: 0 }

const runnerArbitrary = (id: number): fc.Arbitrary<PlannedRunner> => fc.record({
  copies: fc.uniqueArray(fc.record({ id: fc.constantFrom(...MODELS, 'a@v0'), bytes: fc.constant(BYTES), phase: fc.constantFrom('ready' as const, 'ready' as const, 'loading' as const, 'leaving' as const) }), { selector: (copy) => copy.id, maxLength: 4 }),
  isServing: fc.constantFrom(true, true, true, false)
}).map(({ copies, isServing }) => ({
  id: `r${id}`,
  zone: 'z',
  isServing,
  isUsable: isServing,
  freeBytes: (4 - copies.length) * BYTES,
  copies,
  busySubjects: new Set(copies.filter((copy) => copy.phase === 'leaving').map((copy) => copy.id)),
  lastMoveAtMs: Number.NEGATIVE_INFINITY
}))

const viewArbitrary: fc.Arbitrary<PlanView> = fc.record({
  runners: fc.tuple(runnerArbitrary(1), runnerArbitrary(2), runnerArbitrary(3), runnerArbitrary(4)),
  demands: fc.array(fc.double({ min: 0, max: 3, noNaN: true }), { minLength: MODELS.length, maxLength: MODELS.length })
}).map(({ runners, demands }) => ({
  runners,
  models: MODELS.map((id, index): PlannedModel => ({ id, bytes: BYTES, demand: demands[index]!, workPerRequest: 0.3 })),
  policy: POLICY,
  nowMs: 1_000_000,
  loadsLeft: 8
}))

function countReady (view: PlanView, id: string, except: ReadonlySet<string>): number {
  return view.runners.filter((runner) => runner.isServing && !except.has(`${runner.id}/${id}`) && runner.copies.some((copy) => copy.id === id && copy.phase === 'ready')).length
}

/** Models whose last ready copy a plan unloads. */
function findLostModels (policy: PlacementPolicy, view: PlanView): string[] {
  const unloaded = new Set(policy.planMoves(view).filter((move) => move.action === 'unload-model').map((move) => `${move.runner}/${move.subject}`))
  return MODELS.filter((id) => countReady(view, id, new Set()) > 0 && countReady(view, id, unloaded) === 0)
}

describe('placement by gain', () => {
  test('never unloads the last ready copy of a model', () => {
    fc.assert(fc.property(viewArbitrary, (view) => {
      expect(findLostModels(GainPlacement.create(), view)).toEqual([])
    }), { seed: SEED, numRuns: 3_000 })
  })

  test('the naive placement does', () => {
    const result = fc.check(fc.property(viewArbitrary, (view) => findLostModels(RecentUsePlacement.create(), view).length === 0), { seed: SEED, numRuns: 3_000 })
    expect(result.failed).toEqual(true)
  })

  test('never promises more memory than is free, nor the same model twice on a runner', () => {
    fc.assert(fc.property(viewArbitrary, (view) => {
      const moves = GainPlacement.create().planMoves(view).filter((move) => move.action === 'load-model')
      for (const runner of view.runners) {
        const loads = moves.filter((move) => move.runner === runner.id)
        expect(loads.reduce((sum, move) => sum + move.bytes, 0) <= runner.freeBytes).toEqual(true)
        for (const load of loads) expect(runner.copies.some((copy) => copy.id === load.subject)).toEqual(false)
      }
    }), { seed: SEED, numRuns: 3_000 })
  })

  test('a model without a copy goes before any gain', () => {
    fc.assert(fc.property(viewArbitrary, (view) => {
      const missing = view.models.filter((model) => !view.runners.some((runner) => runner.isServing && runner.copies.some((copy) => copy.id === model.id && copy.phase !== 'leaving')))
      const loads = GainPlacement.create().planMoves(view).filter((move) => move.action === 'load-model')
      if (missing.length > 0) for (const load of loads) expect(missing.some((model) => model.id === load.subject)).toEqual(true)
    }), { seed: SEED, numRuns: 3_000 })
  })
})
