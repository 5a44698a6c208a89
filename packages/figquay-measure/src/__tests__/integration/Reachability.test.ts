/** Every model stays reachable when a third of the runners is lost, and when demand shifts. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster } from 'figquay-measure'

const CALLER_KEY = 'key-workshop-cairo'
const MODEL_COUNT = 20
const RELOAD_LIMIT_MS = 15_000

describe('reachability', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 3, transferTimeScale: 0.05, size: { serviceUpstreams: 1 }, restartMs: 600_000 })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  test('no model loses its last loaded copy when demand shifts', async () => {
    const shortfalls: string[] = []
    const stopController = new AbortController()
    const polling = (async () => {
      while (!stopController.signal.aborted) {
        const count = (await cluster.listReadyModels()).size
        if (count < MODEL_COUNT) shortfalls.push(`${count} of ${MODEL_COUNT} models`)
        await new Promise((resolve) => setTimeout(resolve, 30))
      }
    })()
    for (const model of ['manual-1', 'manual-7', 'manual-13']) {
      const prompt = `${model} `.repeat(2_000)
      const calls = Array.from({ length: 60 }, async (_, index) => {
        await new Promise((resolve) => setTimeout(resolve, index * 60))
        return await caller.complete({ url: cluster.daemons[index % 3]!.callerUrl, key: CALLER_KEY, model, nonce: `m${index}`, prompt: `${prompt} ${index}`, outputTokens: 20 })
      })
      await Promise.all(calls)
    }
    stopController.abort()
    await polling
    expect(shortfalls).toEqual([])
  })

  test('after a third of the runners has crashed every model answers again', async () => {
    for (const engine of cluster.engines.slice(0, 2)) await cluster.controlUpstream(engine, { crash: true })
    await cluster.waitUntil('every model is ready on the other engines', async () => (await cluster.listReadyModels()).size === MODEL_COUNT, RELOAD_LIMIT_MS)
    const names = [...await cluster.listReadyModels()].map((id) => id.split('@')[0]!)
    for (const name of names) {
      const result = await caller.complete({ url: cluster.daemons[0]!.callerUrl, key: CALLER_KEY, model: name, nonce: name, prompt: 'Which part?', outputTokens: 3 })
      expect([name, result.answer]).toEqual([name, 'whole'])
    }
  })
})
