/** Suspects run one at a time on a runner, and isolation is claimed only if the leader granted it. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { makeFailure, makeSuccess, SystemClock, type Outcome } from 'figquay'
import { SuspectIsolator, type PermitRequest } from '../../index.js'

const RUNNER = 'r'

/** Creates daemons a and b, which know `leader` as the leader, if any. */
function makeDaemons (leader: string | undefined, canReach = true) {
  const daemons = new Map<string, SuspectIsolator>()
  const callPeer = async <T>(daemon: string, method: string, request: unknown): Promise<Outcome<T, string>> => {
    if (!canReach) return makeFailure('timeout')
    const peer = daemons.get(daemon)!
    return makeSuccess((method === 'suspect.take' ? peer.handleAcquire(request as PermitRequest) : peer.handleRelease(request as PermitRequest)) as T)
  }
  for (const self of ['a', 'b']) daemons.set(self, SuspectIsolator.create({ self, clock: SystemClock.create(), findLeader: () => leader, listConnected: () => canReach ? ['a', 'b'].filter((peer) => peer !== self) : [], callPeer }))
  return { a: daemons.get('a')!, b: daemons.get('b')! }
}

describe('permits for suspects', () => {
  it('let one suspect of all daemons run on a runner, and the next after its release', async () => {
    const { a, b } = makeDaemons('a')
    expect(await b.acquirePermit({ runner: RUNNER, requestId: 'q1' })).toEqual('granted')
    expect(await a.acquirePermit({ runner: RUNNER, requestId: 'q2' })).toEqual('refused')
    b.releasePermit({ runner: RUNNER, requestId: 'q1' })
    expect(await a.acquirePermit({ runner: RUNNER, requestId: 'q2' })).toEqual('granted')
  })

  for (const [name, daemons] of [['without a leader', makeDaemons(undefined)], ['while the leader is unreachable', makeDaemons('a', false)]] as const) {
    it(`claim no isolation ${name}`, async () => {
      const { b } = daemons
      expect(await b.acquirePermit({ runner: RUNNER, requestId: 'q1' })).toEqual('unconfirmed')
      expect(await b.acquirePermit({ runner: RUNNER, requestId: 'q2' })).toEqual('refused')
    })
  }

  it('isolate suspects of different daemons without a leader too, if the daemons reach the same substitute', async () => {
    const { a, b } = makeDaemons(undefined)
    expect([await b.acquirePermit({ runner: RUNNER, requestId: 'q1' }), await a.acquirePermit({ runner: RUNNER, requestId: 'q2' })]).toEqual(['unconfirmed', 'refused'])
  })
})
