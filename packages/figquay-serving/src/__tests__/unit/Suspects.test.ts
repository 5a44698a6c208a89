/** Suspects run one at a time on a runner, and nobody claims more than the holder has said. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { makeFailure, makeSuccess, SystemClock, type Outcome } from 'figquay'
import { ServingSuspects, type SuspectRequest } from '../../index.js'

const RUNNER = 'r'

/** Daemons a and b; a is the holder unless nobody is. */
function makeDaemons (holder: string | undefined, canReach = true) {
  const daemons = new Map<string, ServingSuspects>()
  const callPeer = async <T>(daemon: string, method: string, request: unknown): Promise<Outcome<T, string>> => {
    if (!canReach) return makeFailure('timeout')
    const peer = daemons.get(daemon)!
    return makeSuccess((method === 'suspect.take' ? peer.answerTake(request as SuspectRequest) : peer.answerReturn(request as SuspectRequest)) as T)
  }
  for (const self of ['a', 'b']) daemons.set(self, ServingSuspects.create({ self, clock: SystemClock.create(), findHolder: () => holder, listConnected: () => canReach ? ['a', 'b'].filter((peer) => peer !== self) : [], callPeer }))
  return { a: daemons.get('a')!, b: daemons.get('b')! }
}

describe('permits of suspects', () => {
  it('let one suspect of all daemons run on a runner, and the next after it', async () => {
    const { a, b } = makeDaemons('a')
    expect(await b.takePermit({ runner: RUNNER, requestId: 'q1' })).toEqual('granted')
    expect(await a.takePermit({ runner: RUNNER, requestId: 'q2' })).toEqual('refused')
    b.returnPermit({ runner: RUNNER, requestId: 'q1' })
    expect(await a.takePermit({ runner: RUNNER, requestId: 'q2' })).toEqual('granted')
  })

  for (const [name, daemons] of [['without a holder', makeDaemons(undefined)], ['while the holder is out of reach', makeDaemons('a', false)]] as const) {
    it(`claim no isolation ${name}`, async () => {
      const { b } = daemons
      expect(await b.takePermit({ runner: RUNNER, requestId: 'q1' })).toEqual('unconfirmed')
      expect(await b.takePermit({ runner: RUNNER, requestId: 'q2' })).toEqual('refused')
    })
  }

  it('keep suspects of different daemons apart without a holder too, as far as they reach the same daemon', async () => {
    const { a, b } = makeDaemons(undefined)
    expect([await b.takePermit({ runner: RUNNER, requestId: 'q1' }), await a.takePermit({ runner: RUNNER, requestId: 'q2' })]).toEqual(['unconfirmed', 'refused'])
  })
})
