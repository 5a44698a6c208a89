/** Calls that are not idempotent run at most once, and a call reported as not run has not run. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster } from 'figquay-measure'

const CALLER_KEY = 'key-workshop-cairo'
const ORDERS_PATH = '/services/ledger/orders'
const REFUSAL_LIMIT_MS = 1_000
const LONG_OUTAGE_MS = 9_000

describe('at-most-once calls', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 4,
    transferTimeScale: 0.02,
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

  /** Executions under a key, over all upstreams. */
  async function countExecutions (key: string): Promise<number> {
    const facts = await Promise.all(cluster.services.map((service) => cluster.readFacts<{ executions: Record<string, number> }>(service)))
    return facts.reduce((sum, fact) => sum + (fact.executions[key] ?? 0), 0)
  }

  const sendOrder = (index: number, key: string, item = 'hinge') => caller.callService(cluster.daemons[index]!.callerUrl, CALLER_KEY, 'POST', ORDERS_PATH, { item }, key)
  const sendOrderToAllDaemons = (key: string) => Promise.all(cluster.daemons.map((_, index) => sendOrder(index, key)))

  test('the same key at every daemon at once runs once, and all have its answer', async () => {
    for (let round = 0; round < 10; round++) {
      const replies = await sendOrderToAllDaemons(`all-${round}`)
      expect(replies.map((reply) => reply.status)).toEqual(cluster.daemons.map(() => 201))
      expect(new Set(replies.map((reply) => JSON.stringify(reply.body))).size).toEqual(1)
      expect(await countExecutions(`all-${round}`)).toEqual(1)
    }
  })

  test('a key that was used for a different request is refused', async () => {
    const reply = await sendOrder(0, 'all-0', 'chain')
    expect(reply.status).toEqual(422)
    expect(reply.outcome).toEqual('not-run')
  })

  test('a claim whose append got no response is looked up', async () => {
    await cluster.controlLog({ loseAnswers: 2 })
    const replies = await sendOrderToAllDaemons('lost-claim')
    await cluster.controlLog({ loseAnswers: 0 })
    const executions = await countExecutions('lost-claim')
    expect(executions <= 1).toEqual(true)
    for (const reply of replies) {
      if (reply.outcome === 'ran') expect(executions).toEqual(1)
    }
  })

  test('when the answer of the upstream is lost the outcome is unknown, and nothing runs again', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'lose' })
    const firstReply = await sendOrder(0, 'lost-answer')
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    expect(firstReply.outcome).toEqual('unknown')
    const repeatedReplies = await sendOrderToAllDaemons('lost-answer')
    expect(repeatedReplies.map((reply) => reply.outcome)).toEqual(cluster.daemons.map(() => 'unknown'))
    expect(await countExecutions('lost-answer')).toEqual(1)
  })

  test('a call that the upstream refuses to run is reported as not run, and its key can be used again', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'refuse' })
    const refused = await sendOrder(1, 'refused')
    expect([refused.status, refused.outcome]).toEqual([503, 'not-run'])
    expect(refused.retryAfterSeconds !== undefined).toEqual(true)
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    expect(await countExecutions('refused')).toEqual(0)
    expect((await sendOrder(2, 'refused')).status).toEqual(201)
    expect(await countExecutions('refused')).toEqual(1)
  })

  test('black-holed connections: the outcome is unknown at the deadline, and the call never runs twice', async () => {
    for (const service of cluster.services) await cluster.setUpstreamFaultRule(service, { mode: 'black-hole' })
    const reply = await sendOrder(0, 'black-hole')
    for (const service of cluster.services) await cluster.setUpstreamFaultRule(service, { mode: 'pass', cutOpen: true })
    expect(reply.outcome).toEqual('unknown')
    await sendOrderToAllDaemons('black-hole')
    expect(await countExecutions('black-hole') <= 1).toEqual(true)
  })

  test('silent connections: a read-only call is answered within its deadline', async () => {
    const lookups = Array.from({ length: 8 }, () => caller.callService(cluster.daemons[0]!.callerUrl, CALLER_KEY, 'GET', '/services/ledger/stock/hinge'))
    await Promise.all(lookups)
    for (const service of cluster.services) await cluster.setUpstreamFaultRule(service, { freezeOpen: true })
    const reply = await caller.callService(cluster.daemons[0]!.callerUrl, CALLER_KEY, 'GET', '/services/ledger/stock/hinge')
    expect(reply.status).toEqual(200)
    expect(reply.totalMs < 2_000).toEqual(true)
  })

  test('during a log outage calls are refused at once as not run, with a Retry-After header', async () => {
    await cluster.controlLog({ mode: 'down' })
    await new Promise((resolve) => setTimeout(resolve, 2_000))
    const replies = await sendOrderToAllDaemons('log-down')
    for (const reply of replies) {
      expect([reply.status, reply.outcome]).toEqual([503, 'not-run'])
      expect(reply.totalMs < REFUSAL_LIMIT_MS).toEqual(true)
      expect(reply.retryAfterSeconds !== undefined).toEqual(true)
    }
    expect(await countExecutions('log-down')).toEqual(0)
    await cluster.controlLog({ mode: 'up' })
    await cluster.waitUntil('orders are accepted again', async () => (await sendOrder(0, 'log-down')).status === 201)
    expect(await countExecutions('log-down')).toEqual(1)
  })

  test('an outcome that falls into a long outage of the log is known everywhere after it', async () => {
    // The call ends while the log is down: its daemon keeps the outcome and retries the append until the log is back.
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'slow' })
    const pending = sendOrder(0, 'outage')
    await new Promise((resolve) => setTimeout(resolve, 400))
    await cluster.controlLog({ mode: 'down' })
    expect((await pending).status).toEqual(201)
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    await new Promise((resolve) => setTimeout(resolve, LONG_OUTAGE_MS))
    await cluster.controlLog({ mode: 'up' })
    await cluster.waitUntil('the outcome is known', async () => (await sendOrder(1, 'outage')).status === 201, 10_000)
    expect(await countExecutions('outage')).toEqual(1)
  })

  test('a key is known after its records have expired, also to a daemon that restarts', async () => {
    await cluster.controlLog({ retainRecords: 4 })
    await cluster.waitUntil('the first claim records have expired', async () => {
      const { streams } = await cluster.readFacts<{ streams: Record<string, { firstOffset: number, endOffset: number }> }>('log')
      return Object.entries(streams).filter(([name, stream]) => name.startsWith('claims') && stream.endOffset > 0).every(([, stream]) => stream.firstOffset > 8)
    }, 25_000)
    const daemon = cluster.daemons[3]!
    daemon.process.sendSignal('SIGKILL')
    await daemon.process.waitForExit()
    cluster.restartDaemon(daemon)
    await cluster.waitUntil('the daemon is ready', () => cluster.isReady(daemon))
    await cluster.waitUntil('the claims are known', async () => (await sendOrder(3, 'all-1')).status === 201)
    expect(await countExecutions('all-1')).toEqual(1)
  })

  test('when a daemon is killed during a call no other daemon runs it again', async () => {
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'hang' })
    const keys = Array.from({ length: 5 }, (_, index) => `killed-${index}`)
    const pending = keys.map((key) => sendOrder(2, key))
    await new Promise((resolve) => setTimeout(resolve, 300))
    const daemon = cluster.daemons[2]!
    daemon.process.sendSignal('SIGKILL')
    await daemon.process.waitForExit()
    await Promise.all(pending)
    for (const service of cluster.services) await cluster.controlUpstream(service, { mode: 'up' })
    await cluster.controlRoster({ remove: [daemon.id] })
    for (const key of keys) {
      const repeatedReplies = await Promise.all([0, 1].map((index) => sendOrder(index, key)))
      const executions = await countExecutions(key)
      expect(executions <= 1).toEqual(true)
      for (const reply of repeatedReplies) {
        if (reply.outcome === 'not-run') expect(executions).toEqual(0)
      }
    }
  })
})
