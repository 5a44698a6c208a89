/** Choices of a runner under the load patterns that they cover. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseRunner, selectByRendezvousHash, type ChoiceRequest, type ReusableState, type RunnerLoad, type Runner, type RunnerView } from '../../index.js'

function makeView (id: string, load: Partial<RunnerLoad> = {}, changes: Partial<RunnerView> = {}): RunnerView {
  return {
    runner: { id, service: 's', address: '127.0.0.1:1', zone: 'z', slots: 64, isLeaving: false, bornMs: 0, holdings: undefined },
    load: { requests: 0, pendingTokens: 0, recentTokens: 0, ...load },
    failureRate: 0,
    isHealthy: true,
    backoffMs: 0,
    slowdown: 1,
    ...changes
  }
}

function makeRequest (changes: Partial<ChoiceRequest> = {}): ChoiceRequest {
  return { model: 'm', promptTokens: 800, parts: [], zone: 'z', triedRunners: new Set(), ...changes }
}

const LONG = makeRequest({ promptTokens: 9_000, parts: [{ id: 'manual', tokens: 6_000 }, { id: 'own', tokens: 3_000 }] })
const findNoReusableState = (): ReusableState => ({ cachedTokens: 0, isConnected: true })

describe('runner choice', () => {
  it('sends requests that share a prompt to one runner', () => {
    const views = [makeView('r1'), makeView('r2'), makeView('r3')]
    const affinityId = selectByRendezvousHash('m\nmanual', ['r1', 'r2', 'r3'])
    expect(chooseRunner(views, LONG, findNoReusableState)?.runner.id).toEqual(affinityId)
  })

  it('leaves the affinity runner when waiting there costs more than processing the shared part again', () => {
    const affinityId = selectByRendezvousHash('m\nmanual', ['r1', 'r2'])!
    const views = ['r1', 'r2'].map((id) => makeView(id, { pendingTokens: id === affinityId ? 8_000 : 0 }))
    expect(chooseRunner(views, LONG, findNoReusableState)?.runner.id === affinityId).toEqual(false)
  })

  it('keeps short streams off runners that recently received long prompts', () => {
    expect(chooseRunner([makeView('r1', { recentTokens: 9_000 }), makeView('r2', { requests: 3 })], makeRequest(), findNoReusableState)?.runner.id).toEqual('r2')
  })

  it('sends a long prompt to the runner where it pauses the fewest streams', () => {
    const longRequest = makeRequest({ promptTokens: 9_000 })
    expect(chooseRunner([makeView('r1', { requests: 6 }), makeView('r2', { requests: 1, pendingTokens: 1_000 })], longRequest, findNoReusableState)?.runner.id).toEqual('r2')
  })

  it('avoids unhealthy runners and those already tried, unless there are no others', () => {
    const unhealthy = makeView('r1', {}, { isHealthy: false })
    expect(chooseRunner([unhealthy, makeView('r2', { requests: 30 })], makeRequest(), findNoReusableState)?.runner.id).toEqual('r2')
    expect(chooseRunner([unhealthy], makeRequest(), findNoReusableState)?.runner.id).toEqual('r1')
    expect(chooseRunner([makeView('r1'), makeView('r2', { requests: 9 })], makeRequest({ triedRunners: new Set(['r1']) }), findNoReusableState)?.runner.id).toEqual('r2')
  })

  it('avoids a runner with a high failure rate', () => {
    expect(chooseRunner([makeView('r1', {}, { failureRate: 0.5 }), makeView('r2', { requests: 10 })], makeRequest(), findNoReusableState)?.runner.id).toEqual('r2')
  })

  it('moves only the keys of a runner that is removed', () => {
    const ids = ['r1', 'r2', 'r3', 'r4']
    const keys = Array.from({ length: 200 }, (_, index) => `key-${index}`)
    const moved = keys.filter((key) => selectByRendezvousHash(key, ids) !== 'r4' && selectByRendezvousHash(key, ids) !== selectByRendezvousHash(key, ids.slice(0, 3)))
    expect(moved).toEqual([])
  })

  it('prefers an open connection while loads are similar, and no longer', () => {
    const connectTo = (id: string) => (runner: Runner): ReusableState => ({ cachedTokens: 0, isConnected: runner.id === id })
    const call = makeRequest({ model: undefined, promptTokens: 0 })
    expect(chooseRunner([makeView('r1'), makeView('r2', { requests: 1 })], call, connectTo('r2'))?.runner.id).toEqual('r2')
    expect(chooseRunner([makeView('r1'), makeView('r2', { requests: 4 })], call, connectTo('r2'))?.runner.id).toEqual('r1')
  })
})
