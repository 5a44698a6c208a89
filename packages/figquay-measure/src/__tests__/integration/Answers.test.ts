/** Proofs 3, 9 and 10: the whole answer to one's own request, whatever happens to connections and engines. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult } from 'figquay-measure'
import { CRASH_WORD } from 'figquay-standins'

const KEY = 'key-workshop-cairo'
const FIRST_TOKEN_MS = 1_200
const SILENCE_MS = 2_000

describe('answers', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 3,
    storeScale: 0.02,
    size: { runners: 6, serviceUpstreams: 1 },
    proxied: { engines: true },
    restartMs: 1_500
  })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  function ask (index: number, outputTokens = 60, model = `manual-${index % 14 + 1}`, signal?: AbortSignal): Promise<CallResult> {
    return caller.complete({ url: cluster.daemons[index % 3]!.callerUrl, key: KEY, model, nonce: `q${index}-${Math.random().toString(36).slice(2)}`, prompt: `Question ${index} about hinges`, outputTokens, signal })
  }

  /** Copies of every model on at least two engines, so that there is somewhere to go on. */
  async function spreadModels (): Promise<void> {
    await cluster.waitUntil('every model is loaded', () => cluster.isEveryModelLoaded())
  }

  test('crossed calls: every answer is whole and one\'s own', async () => {
    const results = await Promise.all(Array.from({ length: 90 }, (_, index) => ask(index, 10)))
    expect(results.filter((result) => result.answer === 'wrong').length).toEqual(0)
    expect(results.filter((result) => result.answer === 'whole').length).toEqual(90)
  })

  test('cancelled calls leave nothing behind for others', async () => {
    const cancelled = Array.from({ length: 30 }, async (_, index) => {
      const controller = new AbortController()
      setTimeout(() => controller.abort(), 20 + index * 10)
      return await ask(index, 60, undefined, controller.signal)
    })
    const kept = Array.from({ length: 30 }, (_, index) => ask(index, 20))
    const results = await Promise.all(kept)
    await Promise.all(cancelled)
    expect(results.map((result) => result.answer)).toEqual(kept.map(() => 'whole'))
  })

  test('streams that break midway go on where they were', async () => {
    const calls = Array.from({ length: 8 }, (_, index) => ask(index, 80))
    await new Promise((resolve) => setTimeout(resolve, 600))
    for (const engine of cluster.engines) await cluster.setUpstreamRule(engine, { cutOpen: true })
    const results = await Promise.all(calls)
    expect(results.map((result) => result.answer)).toEqual(calls.map(() => 'whole'))
  })

  test('connections that go silent, before and during an answer', async () => {
    const running = Array.from({ length: 6 }, (_, index) => ask(index, 80))
    await new Promise((resolve) => setTimeout(resolve, 600))
    for (const engine of cluster.engines) await cluster.setUpstreamRule(engine, { freezeOpen: true })
    const started = performance.now()
    const fresh = Array.from({ length: 6 }, (_, index) => ask(index + 20, 5))
    const results = await Promise.all([...running, ...fresh])
    expect(results.map((result) => result.answer)).toEqual(results.map(() => 'whole'))
    for (const result of await Promise.all(fresh)) expect(result.firstTokenMs < FIRST_TOKEN_MS + SILENCE_MS).toEqual(true)
    expect(performance.now() - started < 8_000).toEqual(true)
  })

  test('a request that crashes engines takes down two at most, and its companions are answered', async () => {
    await spreadModels()
    const before = await countCrashes()
    const companions = Array.from({ length: 10 }, (_, index) => ask(index + 40, 60))
    await new Promise((resolve) => setTimeout(resolve, 200))
    const body = { key: KEY, model: 'manual-3', nonce: 'bad', prompt: `${CRASH_WORD} please`, outputTokens: 5 }
    // The caller asks every daemon at once, then each in turn, again and again.
    const rounds = cluster.daemons.map(async (daemon) => {
      for (let attempt = 0; attempt < 6; attempt++) {
        const result = await caller.complete({ ...body, url: daemon.callerUrl })
        expect(result.answer).toEqual('none')
        await new Promise((resolve) => setTimeout(resolve, 400))
      }
    })
    await Promise.all(rounds)
    await spreadModels()
    for (const daemon of cluster.daemons) await caller.complete({ ...body, url: daemon.callerUrl })
    expect(await countCrashes() - before <= 2).toEqual(true)
    const answers = (await Promise.all(companions)).map((result) => result.answer)
    expect(answers).toEqual(companions.map(() => 'whole'))
  })

  async function countCrashes (): Promise<number> {
    // A crashed engine tells once it is back.
    await cluster.waitUntil('every engine is back', async () => (await Promise.all(cluster.engines.map((engine) => cluster.readFacts(engine).then(() => true, () => false)))).every(Boolean))
    const facts = await Promise.all(cluster.engines.map((engine) => cluster.readFacts<{ crashes: number }>(engine)))
    return facts.reduce((sum, fact) => sum + fact.crashes, 0)
  }
})
