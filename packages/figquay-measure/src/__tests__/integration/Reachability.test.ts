/** Proof 2: every model stays reachable when a third of the runners is lost, and when demand moves. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster } from 'figquay-measure'

const KEY = 'key-workshop-cairo'
const MODELS = 20
const RELOAD_MS = 15_000

describe('reachability', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 3, storeScale: 0.05, size: { serviceUpstreams: 1 }, restartMs: 600_000 })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  test('when demand moves no model loses its last copy', async () => {
    const missing: string[] = []
    const ended = new AbortController()
    const watch = (async () => {
      while (!ended.signal.aborted) {
        const count = (await cluster.listReadyModels()).size
        if (count < MODELS) missing.push(`${count} of ${MODELS} models`)
        await new Promise((resolve) => setTimeout(resolve, 30))
      }
    })()
    for (const model of ['manual-1', 'manual-7', 'manual-13']) {
      const prompt = `${model} `.repeat(2_000)
      const calls = Array.from({ length: 60 }, async (_, index) => {
        await new Promise((resolve) => setTimeout(resolve, index * 60))
        return await caller.complete({ url: cluster.daemons[index % 3]!.callerUrl, key: KEY, model, nonce: `m${index}`, prompt: `${prompt} ${index}`, outputTokens: 20 })
      })
      await Promise.all(calls)
    }
    ended.abort()
    await watch
    expect(missing).toEqual([])
  })

  test('after a third of the runners is gone every model answers again', async () => {
    for (const engine of cluster.engines.slice(0, 2)) await cluster.controlUpstream(engine, { crash: true })
    await cluster.waitUntil('every model is loaded elsewhere', async () => (await cluster.listReadyModels()).size === MODELS, RELOAD_MS)
    const names = [...await cluster.listReadyModels()].map((id) => id.split('@')[0]!)
    for (const name of names) {
      const result = await caller.complete({ url: cluster.daemons[0]!.callerUrl, key: KEY, model: name, nonce: name, prompt: 'Which part?', outputTokens: 3 })
      expect([name, result.answer]).toEqual([name, 'whole'])
    }
  })
})
