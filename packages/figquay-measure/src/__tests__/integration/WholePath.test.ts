/** The path from caller to upstream: a streamed completion through every daemon, and an order that runs once. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster } from 'figquay-measure'

const CALLER_KEY = 'key-workshop-cairo'
const SETTLE_MS = 3_000
const OBSERVATION_SECONDS = 4

describe('path from caller to upstream', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 3, transferTimeScale: 0.02 })
  const caller = Caller.create()

  before(() => cluster.start())
  after(async () => {
    caller.close()
    const codes = await cluster.stop()
    expect(codes.every((code) => code === 0)).toEqual(true)
  })

  test('every daemon streams the complete answer to a completion', async () => {
    for (const daemon of cluster.daemons) {
      const result = await caller.complete({ url: daemon.callerUrl, key: CALLER_KEY, model: 'manual-3', nonce: `n-${daemon.id}`, prompt: 'Which hinge fits?', outputTokens: 20 })
      expect(result.status).toEqual(200)
      expect(result.answer).toEqual('whole')
    }
  })

  test('a model with an adapter answers', async () => {
    const result = await caller.complete({ url: cluster.daemons[1]!.callerUrl, key: CALLER_KEY, model: 'manual-2:cairo', nonce: 'a1', prompt: 'Which tensioner?', outputTokens: 5 })
    expect(result.answer).toEqual('whole')
  })

  test('an order sent to every daemon under the same key runs once', async () => {
    const replies = await Promise.all(cluster.daemons.map((daemon) => caller.callService(daemon.callerUrl, CALLER_KEY, 'POST', '/services/ledger/orders', { item: 'hinge' }, 'order-1')))
    for (const reply of replies) {
      expect(reply.status).toEqual(201)
      expect(reply.outcome).toEqual('ran')
    }
    const facts = await Promise.all(cluster.services.map((service) => cluster.readFacts<{ executions: Record<string, number> }>(service)))
    expect(facts.reduce((sum, fact) => sum + (fact.executions['order-1'] ?? 0), 0)).toEqual(1)
  })

  test('a stock lookup is answered', async () => {
    const reply = await caller.callService(cluster.daemons[0]!.callerUrl, CALLER_KEY, 'GET', '/services/ledger/stock/hinge-7')
    expect(reply.status).toEqual(200)
  })

  test('one daemon asks the runners for their state, and all know them', async () => {
    const countReads = async (): Promise<number[]> => (await Promise.all(cluster.engines.map((engine) => cluster.readFacts<{ stateReads: number }>(engine)))).map((facts) => facts.stateReads)
    // Adapters are still being loaded at first, and runners with a load in progress are polled more often.
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const readsBefore = await countReads()
    await new Promise((resolve) => setTimeout(resolve, OBSERVATION_SECONDS * 1_000))
    const reads = (await countReads()).map((count, index) => count - readsBefore[index]!)
    expect(reads.filter((count) => count === 0)).toEqual([])
    expect(reads.filter((count) => count > OBSERVATION_SECONDS + 1)).toEqual([])
    for (const daemon of cluster.daemons) {
      const result = await caller.complete({ url: daemon.callerUrl, key: CALLER_KEY, model: 'shop-4', nonce: `w-${daemon.id}`, prompt: 'Open on Friday?', outputTokens: 3 })
      expect(result.answer).toEqual('whole')
    }
  })
})
