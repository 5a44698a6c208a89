/** Every caller gets the complete answer to its own request, despite broken or silent connections and engine crashes. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult } from 'figquay-measure'
import { CRASH_TRIGGER } from 'figquay-standins'

const CALLER_KEY = 'key-workshop-cairo'
const FIRST_TOKEN_LIMIT_MS = 1_200
/** Allowance for detecting a silent connection. */
const SILENCE_DETECTION_MS = 2_000

describe('answers', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 3,
    transferTimeScale: 0.02,
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

  function sendCompletion (index: number, outputTokens = 60, model = `manual-${index % 14 + 1}`, signal?: AbortSignal): Promise<CallResult> {
    return caller.complete({ url: cluster.daemons[index % 3]!.callerUrl, key: CALLER_KEY, model, nonce: `q${index}-${Math.random().toString(36).slice(2)}`, prompt: `Question ${index} about hinges`, outputTokens, signal })
  }

  /** Waits until every model is ready on some engine, so that requests can fail over to it. */
  async function waitForModels (): Promise<void> {
    await cluster.waitUntil('every model is loaded', () => cluster.isEveryModelLoaded())
  }

  test('concurrent calls: every caller gets the complete answer to its own request', async () => {
    const results = await Promise.all(Array.from({ length: 90 }, (_, index) => sendCompletion(index, 10)))
    expect(results.filter((result) => result.answer === 'wrong').length).toEqual(0)
    expect(results.filter((result) => result.answer === 'whole').length).toEqual(90)
  })

  test('cancelled calls do not affect other calls', async () => {
    const cancelledCalls = Array.from({ length: 30 }, async (_, index) => {
      const controller = new AbortController()
      setTimeout(() => controller.abort(), 20 + index * 10)
      return await sendCompletion(index, 60, undefined, controller.signal)
    })
    const otherCalls = Array.from({ length: 30 }, (_, index) => sendCompletion(index, 20))
    const results = await Promise.all(otherCalls)
    await Promise.all(cancelledCalls)
    expect(results.map((result) => result.answer)).toEqual(otherCalls.map(() => 'whole'))
  })

  test('streams that break midway go on where they were', async () => {
    // The proxies close the connections to the engines; a stream resumes elsewhere after the last token it has passed on.
    const calls = Array.from({ length: 8 }, (_, index) => sendCompletion(index, 80))
    await new Promise((resolve) => setTimeout(resolve, 600))
    for (const engine of cluster.engines) await cluster.setUpstreamFaultRule(engine, { cutOpen: true })
    const results = await Promise.all(calls)
    expect(results.map((result) => result.answer)).toEqual(calls.map(() => 'whole'))
  })

  test('connections that go silent, before and during an answer', async () => {
    // The connections stay open but carry no data, so that only a timeout detects the fault.
    const runningCalls = Array.from({ length: 6 }, (_, index) => sendCompletion(index, 80))
    await new Promise((resolve) => setTimeout(resolve, 600))
    for (const engine of cluster.engines) await cluster.setUpstreamFaultRule(engine, { freezeOpen: true })
    const startedAtMs = performance.now()
    const newCalls = Array.from({ length: 6 }, (_, index) => sendCompletion(index + 20, 5))
    const results = await Promise.all([...runningCalls, ...newCalls])
    expect(results.map((result) => result.answer)).toEqual(results.map(() => 'whole'))
    for (const result of await Promise.all(newCalls)) expect(result.firstTokenMs < FIRST_TOKEN_LIMIT_MS + SILENCE_DETECTION_MS).toEqual(true)
    expect(performance.now() - startedAtMs < 8_000).toEqual(true)
  })

  test('a request that crashes engines takes down two at most, and its companions are answered', async () => {
    await waitForModels()
    const crashesBefore = await countCrashes()
    const companions = Array.from({ length: 10 }, (_, index) => sendCompletion(index + 40, 60))
    await new Promise((resolve) => setTimeout(resolve, 200))
    const crashingCall = { key: CALLER_KEY, model: 'manual-3', nonce: 'bad', prompt: `${CRASH_TRIGGER} please`, outputTokens: 5 }
    // The caller repeats the request at all daemons concurrently, and then at one daemon after the other.
    const senders = cluster.daemons.map(async (daemon) => {
      for (let attempt = 0; attempt < 6; attempt++) {
        const result = await caller.complete({ ...crashingCall, url: daemon.callerUrl })
        expect(result.answer).toEqual('none')
        await new Promise((resolve) => setTimeout(resolve, 400))
      }
    })
    await Promise.all(senders)
    await waitForModels()
    for (const daemon of cluster.daemons) await caller.complete({ ...crashingCall, url: daemon.callerUrl })
    expect(await countCrashes() - crashesBefore <= 2).toEqual(true)
    const answers = (await Promise.all(companions)).map((result) => result.answer)
    expect(answers).toEqual(companions.map(() => 'whole'))
  })

  async function countCrashes (): Promise<number> {
    // An engine that is down cannot report its crashes.
    await cluster.waitUntil('every engine has restarted', async () => (await Promise.all(cluster.engines.map((engine) => cluster.readFacts(engine).then(() => true, () => false)))).every(Boolean))
    const facts = await Promise.all(cluster.engines.map((engine) => cluster.readFacts<{ crashes: number }>(engine)))
    return facts.reduce((sum, fact) => sum + fact.crashes, 0)
  }
})
