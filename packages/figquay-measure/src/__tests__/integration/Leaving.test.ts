/** An upstream that leaves gets no new work, and a graceful stop interrupts no request. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult, type ClusterUpstream } from 'figquay-measure'

const CALLER_KEY = 'key-workshop-cairo'
const LAST_REQUEST_LIMIT_MS = 3_000

describe('leaving upstreams and stopping daemons', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 8, transferTimeScale: 0.02, size: { serviceUpstreams: 2 }, proxied: { roster: true }, drainGrace: '1500ms' })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  /** Sends a steady load to the ready daemons, as a balancer that polls their readiness does, until `until` settles; returns all results. */
  async function runTraffic (until: Promise<unknown>): Promise<Array<{ kind: string, result: CallResult | { status: number } }>> {
    const stopController = new AbortController()
    until.finally(() => stopController.abort()).catch(() => undefined)
    const calls: Array<Promise<{ kind: string, result: CallResult | { status: number } }>> = []
    let ready = [...cluster.daemons]
    const polling = (async () => {
      while (!stopController.signal.aborted) {
        const readiness = await Promise.all(cluster.daemons.map((daemon) => cluster.isReady(daemon)))
        ready = cluster.daemons.filter((_, index) => readiness[index])
        await new Promise((resolve) => setTimeout(resolve, 300))
      }
    })()
    for (let index = 0; !stopController.signal.aborted; index++) {
      const { callerUrl } = ready[index % ready.length]!
      if (index % 4 === 0) calls.push(caller.callService(callerUrl, CALLER_KEY, 'POST', '/services/ledger/orders', { index }, `drain-${Math.random()}-${index}`).then((result) => ({ kind: 'order', result })))
      else calls.push(caller.complete({ url: callerUrl, key: CALLER_KEY, model: `manual-${index % 14 + 1}`, nonce: `d${index}`, prompt: 'Which part?', outputTokens: 40 }).then((result) => ({ kind: 'answer', result })))
      await new Promise((resolve) => setTimeout(resolve, 40))
    }
    await polling
    return await Promise.all(calls)
  }

  function listFailures (results: Awaited<ReturnType<typeof runTraffic>>): unknown[] {
    return results.filter(({ kind, result }) => kind === 'order' ? result.status !== 201 : (result as CallResult).answer !== 'whole')
  }

  /** Marks an upstream as leaving under load; measures the time from the mark to the last request that it got. */
  async function measureLastRequest (upstream: ClusterUpstream, markLeaving: () => Promise<void>): Promise<number> {
    const traffic = runTraffic(new Promise((resolve) => setTimeout(resolve, 7_000)))
    await new Promise((resolve) => setTimeout(resolve, 1_500))
    const markedAtMs = Date.now()
    await markLeaving()
    expect(listFailures(await traffic)).toEqual([])
    const { lastStartedAt } = await cluster.readFacts<{ lastStartedAt: number }>(upstream)
    expect(lastStartedAt > 0).toEqual(true)
    return lastStartedAt - markedAtMs
  }

  test('an engine that the roster lists as leaving gets no new work after 3 s', async () => {
    const engine = cluster.engines[0]!
    const lastRequestMs = await measureLastRequest(engine, () => cluster.controlRoster({ put: [{ ...engine.vm, state: 'leaving' }] }))
    expect(lastRequestMs < LAST_REQUEST_LIMIT_MS).toEqual(true)
  })

  test('a daemon that is cut off from the roster learns it from its peers', async () => {
    const engine = cluster.engines[1]!
    const cutOffIndex = cluster.daemons.length - 1
    await cluster.setRosterFaultRule(cutOffIndex, { mode: 'black-hole' })
    const lastRequestMs = await measureLastRequest(engine, () => cluster.controlRoster({ put: [{ ...engine.vm, state: 'leaving' }] }))
    await cluster.setRosterFaultRule(cutOffIndex, { mode: 'pass', cutOpen: true })
    expect(lastRequestMs < LAST_REQUEST_LIMIT_MS).toEqual(true)
  })

  test('an upstream that reports itself as leaving gets no new work, also while the roster is down', async () => {
    await cluster.controlRoster({ mode: 'down' })
    const service = cluster.services[0]!
    const lastRequestMs = await measureLastRequest(service, () => cluster.controlUpstream(service, { leaving: true }))
    expect(lastRequestMs < LAST_REQUEST_LIMIT_MS).toEqual(true)
    await cluster.controlRoster({ mode: 'up' })
  })

  test('SIGTERM during a long stream and under load cuts nothing off', async () => {
    const daemon = cluster.daemons[0]!
    const longCall = caller.complete({ url: daemon.callerUrl, key: CALLER_KEY, model: 'manual-2', nonce: 'long', prompt: 'Everything about seat posts', outputTokens: 300 })
    const traffic = runTraffic(new Promise((resolve) => setTimeout(resolve, 5_000)))
    await new Promise((resolve) => setTimeout(resolve, 500))
    daemon.process.sendSignal('SIGTERM')
    cluster.daemons[1]!.process.sendSignal('SIGTERM')
    await new Promise((resolve) => setTimeout(resolve, 300))
    daemon.process.sendSignal('SIGTERM')
    expect((await longCall).answer).toEqual('whole')
    expect(listFailures(await traffic)).toEqual([])
    expect(await daemon.process.waitForExit()).toEqual(0)
    expect(await cluster.daemons[1]!.process.waitForExit()).toEqual(0)
    for (const stopped of cluster.daemons.slice(0, 2)) cluster.restartDaemon(stopped)
    await cluster.waitUntil('both daemons have restarted', async () => (await Promise.all(cluster.daemons.map((entry) => cluster.isReady(entry)))).every(Boolean))
  })

  test('a rolling restart of all daemons fails no request', async () => {
    const restarts = (async () => {
      for (const daemon of cluster.daemons) {
        expect(await daemon.process.stop()).toEqual(0)
        cluster.restartDaemon(daemon)
        await cluster.waitUntil(`${daemon.id} has restarted`, () => cluster.isReady(daemon))
        await new Promise((resolve) => setTimeout(resolve, 400))
      }
    })()
    const results = await runTraffic(restarts)
    await restarts
    expect(results.length > 100).toEqual(true)
    expect(listFailures(results)).toEqual([])
  })
})
