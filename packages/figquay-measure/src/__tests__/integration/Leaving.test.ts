/** Proofs 6 and 7: a leaving upstream gets no new work; a planned stop cuts nothing off. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult, type ClusterUpstream } from 'figquay-measure'

const KEY = 'key-workshop-cairo'
const LEAVING_MS = 3_000

describe('leaving and stopping', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 8, storeScale: 0.02, size: { serviceUpstreams: 2 }, proxied: { roster: true }, drainGrace: '1500ms' })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  /** Steady traffic from a balancer that asks for readiness; every result. */
  async function runTraffic (until: Promise<unknown>): Promise<Array<{ kind: string, result: CallResult | { status: number } }>> {
    const ended = new AbortController()
    until.finally(() => ended.abort()).catch(() => undefined)
    const calls: Array<Promise<{ kind: string, result: CallResult | { status: number } }>> = []
    let ready = [...cluster.daemons]
    const polling = (async () => {
      while (!ended.signal.aborted) {
        const states = await Promise.all(cluster.daemons.map((daemon) => cluster.isReady(daemon)))
        ready = cluster.daemons.filter((_, index) => states[index])
        await new Promise((resolve) => setTimeout(resolve, 300))
      }
    })()
    for (let index = 0; !ended.signal.aborted; index++) {
      const { callerUrl } = ready[index % ready.length]!
      if (index % 4 === 0) calls.push(caller.callService(callerUrl, KEY, 'POST', '/services/ledger/orders', { index }, `drain-${Math.random()}-${index}`).then((result) => ({ kind: 'order', result })))
      else calls.push(caller.complete({ url: callerUrl, key: KEY, model: `manual-${index % 14 + 1}`, nonce: `d${index}`, prompt: 'Which part?', outputTokens: 40 }).then((result) => ({ kind: 'answer', result })))
      await new Promise((resolve) => setTimeout(resolve, 40))
    }
    await polling
    return await Promise.all(calls)
  }

  function listFailures (results: Awaited<ReturnType<typeof runTraffic>>): unknown[] {
    return results.filter(({ kind, result }) => kind === 'order' ? result.status !== 201 : (result as CallResult).answer !== 'whole')
  }

  /** Milliseconds between a mark and the last new work of an upstream. */
  async function measureLastWork (upstream: ClusterUpstream, mark: () => Promise<void>): Promise<number> {
    const traffic = runTraffic(new Promise((resolve) => setTimeout(resolve, 7_000)))
    await new Promise((resolve) => setTimeout(resolve, 1_500))
    const markedAt = Date.now()
    await mark()
    expect(listFailures(await traffic)).toEqual([])
    const { lastStartedAt } = await cluster.readFacts<{ lastStartedAt: number }>(upstream)
    expect(lastStartedAt > 0).toEqual(true)
    return lastStartedAt - markedAt
  }

  test('an engine that the roster lists as leaving gets no new work after 3 s', async () => {
    const engine = cluster.engines[0]!
    const lastMs = await measureLastWork(engine, () => cluster.controlRoster({ put: [{ ...engine.vm, state: 'leaving' }] }))
    expect(lastMs < LEAVING_MS).toEqual(true)
  })

  test('a daemon that is cut off from the roster learns it from its peers', async () => {
    const engine = cluster.engines[1]!
    const cutOff = cluster.daemons.length - 1
    await cluster.setRosterRule(cutOff, { mode: 'black-hole' })
    const lastMs = await measureLastWork(engine, () => cluster.controlRoster({ put: [{ ...engine.vm, state: 'leaving' }] }))
    await cluster.setRosterRule(cutOff, { mode: 'pass', cutOpen: true })
    expect(lastMs < LEAVING_MS).toEqual(true)
  })

  test('an upstream that says itself that it is leaving, while the roster is down', async () => {
    await cluster.controlRoster({ mode: 'down' })
    const service = cluster.services[0]!
    const lastMs = await measureLastWork(service, () => cluster.controlUpstream(service, { leaving: true }))
    expect(lastMs < LEAVING_MS).toEqual(true)
    await cluster.controlRoster({ mode: 'up' })
  })

  test('SIGTERM during a long stream and under load cuts nothing off', async () => {
    const daemon = cluster.daemons[0]!
    const long = caller.complete({ url: daemon.callerUrl, key: KEY, model: 'manual-2', nonce: 'long', prompt: 'Everything about seat posts', outputTokens: 300 })
    const traffic = runTraffic(new Promise((resolve) => setTimeout(resolve, 5_000)))
    await new Promise((resolve) => setTimeout(resolve, 500))
    daemon.process.signal('SIGTERM')
    cluster.daemons[1]!.process.signal('SIGTERM')
    await new Promise((resolve) => setTimeout(resolve, 300))
    daemon.process.signal('SIGTERM')
    expect((await long).answer).toEqual('whole')
    expect(listFailures(await traffic)).toEqual([])
    expect(await daemon.process.waitForExit()).toEqual(0)
    expect(await cluster.daemons[1]!.process.waitForExit()).toEqual(0)
    for (const stopped of cluster.daemons.slice(0, 2)) cluster.restartDaemon(stopped)
    await cluster.waitUntil('both are back', async () => (await Promise.all(cluster.daemons.map((entry) => cluster.isReady(entry)))).every(Boolean))
  })

  test('a rolling restart of all daemons fails no request', async () => {
    const restarts = (async () => {
      for (const daemon of cluster.daemons) {
        expect(await daemon.process.stop()).toEqual(0)
        cluster.restartDaemon(daemon)
        await cluster.waitUntil(`${daemon.id} is back`, () => cluster.isReady(daemon))
        await new Promise((resolve) => setTimeout(resolve, 400))
      }
    })()
    const results = await runTraffic(restarts)
    await restarts
    expect(results.length > 100).toEqual(true)
    expect(listFailures(results)).toEqual([])
  })
})
