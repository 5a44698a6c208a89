/** Proofs 4 and 5: what must not repeat runs at most once, and "not run" means not run. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster } from 'figquay-measure'

const KEY = 'key-workshop-cairo'
const PATH = '/services/ledger/orders'
const REFUSAL_MS = 1_000
const LONG_OUTAGE_MS = 9_000

describe('calls that must not repeat', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 4,
    storeScale: 0.02,
    size: { runners: 4, serviceUpstreams: 2 },
    proxied: { services: true, log: true },
    snapshots: { every: '1s', records: 50 }
  })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  /** Executions of a key, over all upstreams. */
  async function countRuns (key: string): Promise<number> {
    const facts = await Promise.all(cluster.services.map((service) => cluster.readFacts<{ executions: Record<string, number> }>(service)))
    return facts.reduce((sum, fact) => sum + (fact.executions[key] ?? 0), 0)
  }

  const order = (index: number, key: string, item = 'hinge') => caller.callService(cluster.daemons[index]!.callerUrl, KEY, 'POST', PATH, { item }, key)
  const orderEverywhere = (key: string) => Promise.all(cluster.daemons.map((_, index) => order(index, key)))

  test('the same key at every daemon at once runs once, and all have its answer', async () => {
    for (let round = 0; round < 10; round++) {
      const replies = await orderEverywhere(`all-${round}`)
      expect(replies.map((reply) => reply.status)).toEqual(cluster.daemons.map(() => 201))
      expect(new Set(replies.map((reply) => JSON.stringify(reply.body))).size).toEqual(1)
      expect(await countRuns(`all-${round}`)).toEqual(1)
    }
  })

  test('a key that stands for another request is refused', async () => {
    const reply = await order(0, 'all-0', 'chain')
    expect(reply.status).toEqual(422)
    expect(reply.outcome).toEqual('not-run')
  })

  test('a claim whose append was not answered is looked up', async () => {
    await cluster.controlLog({ loseAnswers: 2 })
    const replies = await orderEverywhere('lost-claim')
    await cluster.controlLog({ loseAnswers: 0 })
    const runs = await countRuns('lost-claim')
    expect(runs <= 1).toEqual(true)
    for (const reply of replies) {
      if (reply.outcome === 'ran') expect(runs).toEqual(1)
    }
  })

  test('when the answer of the upstream is lost the outcome is unknown, and nothing runs again', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'lose' })
    const first = await order(0, 'lost-answer')
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    expect(first.outcome).toEqual('unknown')
    const again = await orderEverywhere('lost-answer')
    expect(again.map((reply) => reply.outcome)).toEqual(cluster.daemons.map(() => 'unknown'))
    expect(await countRuns('lost-answer')).toEqual(1)
  })

  test('an upstream that says that it did not run the call is believed', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'refuse' })
    const refused = await order(1, 'refused')
    expect([refused.status, refused.outcome]).toEqual([503, 'not-run'])
    expect(refused.retryAfterSeconds !== undefined).toEqual(true)
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    expect(await countRuns('refused')).toEqual(0)
    expect((await order(2, 'refused')).status).toEqual(201)
    expect(await countRuns('refused')).toEqual(1)
  })

  test('connections that open to nowhere: unknown at the deadline, never run twice', async () => {
    for (const service of cluster.services) await cluster.setUpstreamRule(service, { mode: 'black-hole' })
    const reply = await order(0, 'black-hole')
    for (const service of cluster.services) await cluster.setUpstreamRule(service, { mode: 'pass', cutOpen: true })
    expect(reply.outcome).toEqual('unknown')
    await orderEverywhere('black-hole')
    expect(await countRuns('black-hole') <= 1).toEqual(true)
  })

  test('silent connections: a lookup is answered within its time', async () => {
    const lookups = Array.from({ length: 8 }, () => caller.callService(cluster.daemons[0]!.callerUrl, KEY, 'GET', '/services/ledger/stock/hinge'))
    await Promise.all(lookups)
    for (const service of cluster.services) await cluster.setUpstreamRule(service, { freezeOpen: true })
    const reply = await caller.callService(cluster.daemons[0]!.callerUrl, KEY, 'GET', '/services/ledger/stock/hinge')
    expect(reply.status).toEqual(200)
    expect(reply.totalMs < 2_000).toEqual(true)
  })

  test('without the log: refused at once, not run, with a time to come back', async () => {
    await cluster.controlLog({ mode: 'down' })
    await new Promise((resolve) => setTimeout(resolve, 2_000))
    const replies = await orderEverywhere('log-down')
    for (const reply of replies) {
      expect([reply.status, reply.outcome]).toEqual([503, 'not-run'])
      expect(reply.totalMs < REFUSAL_MS).toEqual(true)
      expect(reply.retryAfterSeconds !== undefined).toEqual(true)
    }
    expect(await countRuns('log-down')).toEqual(0)
    await cluster.controlLog({ mode: 'up' })
    await cluster.waitUntil('orders run again', async () => (await order(0, 'log-down')).status === 201)
    expect(await countRuns('log-down')).toEqual(1)
  })

  test('an outcome that falls into a long outage of the log is known everywhere after it', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'slow' })
    const pending = order(0, 'outage')
    await new Promise((resolve) => setTimeout(resolve, 400))
    await cluster.controlLog({ mode: 'down' })
    expect((await pending).status).toEqual(201)
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    await new Promise((resolve) => setTimeout(resolve, LONG_OUTAGE_MS))
    await cluster.controlLog({ mode: 'up' })
    await cluster.waitUntil('the outcome is known', async () => (await order(1, 'outage')).status === 201, 10_000)
    expect(await countRuns('outage')).toEqual(1)
  })

  test('a key is known after its records have expired, also to a daemon that was replaced', async () => {
    await cluster.controlLog({ retainRecords: 4 })
    await cluster.waitUntil('claims expire', async () => {
      const { streams } = await cluster.readFacts<{ streams: Record<string, { firstOffset: number, endOffset: number }> }>('log')
      return Object.entries(streams).filter(([name, stream]) => name.startsWith('claims') && stream.endOffset > 0).every(([, stream]) => stream.firstOffset > 8)
    }, 25_000)
    const daemon = cluster.daemons[3]!
    daemon.process.signal('SIGKILL')
    await daemon.process.waitForExit()
    cluster.restartDaemon(daemon)
    await cluster.waitUntil('the daemon is ready', () => cluster.isReady(daemon))
    await cluster.waitUntil('claims are known', async () => (await order(3, 'all-1')).status === 201)
    expect(await countRuns('all-1')).toEqual(1)
  })

  test('a daemon that dies in the middle of a call: nobody runs it again', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'hang' })
    const keys = Array.from({ length: 5 }, (_, index) => `killed-${index}`)
    const pending = keys.map((key) => order(2, key))
    await new Promise((resolve) => setTimeout(resolve, 300))
    const daemon = cluster.daemons[2]!
    daemon.process.signal('SIGKILL')
    await daemon.process.waitForExit()
    await Promise.all(pending)
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    await cluster.controlRoster({ remove: [daemon.id] })
    for (const key of keys) {
      const again = await Promise.all([0, 1].map((index) => order(index, key)))
      const runs = await countRuns(key)
      expect(runs <= 1).toEqual(true)
      for (const reply of again) {
        if (reply.outcome === 'not-run') expect(runs).toEqual(0)
      }
    }
  })
})
