/** Requests are answered in time while the lease holder, which grants reservations on runners, is frozen or killed: the other daemons dispatch without it. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult, type ClusterDaemon } from 'figquay-measure'

const CALLER_KEY = 'key-workshop-cairo'
const MODEL = 'manual-3'
const FIRST_TOKEN_LIMIT_MS = 1_200
const HOLDER_ABSENCE_MS = 3_000

describe('reservations', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 4, transferTimeScale: 0.02, size: { runners: 4, serviceUpstreams: 1 } })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  async function findHolder (): Promise<ClusterDaemon> {
    let holder: ClusterDaemon | undefined
    await cluster.waitUntil('a daemon holds the lease', async () => (holder = await cluster.findCellHolder()) !== undefined)
    return holder!
  }

  /** Sends ten requests a second to the other daemons in turn. */
  async function sendToOthers (holder: ClusterDaemon, durationMs: number): Promise<CallResult[]> {
    const others = cluster.daemons.filter((daemon) => daemon !== holder)
    const calls = Array.from({ length: durationMs / 100 }, async (_, index) => {
      await new Promise((resolve) => setTimeout(resolve, index * 100))
      return await caller.complete({ url: others[index % others.length]!.callerUrl, key: CALLER_KEY, model: MODEL, nonce: `${holder.id}-${index}-${durationMs}`, prompt: `Question ${index}`, outputTokens: 3 })
    })
    return await Promise.all(calls)
  }

  function expectInTime (results: readonly CallResult[]): void {
    expect(results.map((result) => result.answer)).toEqual(results.map(() => 'whole'))
    expect(results.filter((result) => result.firstTokenMs > FIRST_TOKEN_LIMIT_MS).length).toEqual(0)
  }

  test('the holder is frozen: every request is answered in time', async () => {
    const holder = await findHolder()
    holder.process.sendSignal('SIGSTOP')
    const results = await sendToOthers(holder, HOLDER_ABSENCE_MS)
    holder.process.sendSignal('SIGCONT')
    expectInTime(results)
  })

  test('the lease holder is killed: every request is answered in time, also after another daemon takes over', async () => {
    const holder = await findHolder()
    holder.process.sendSignal('SIGKILL')
    expectInTime(await sendToOthers(holder, HOLDER_ABSENCE_MS))
    await cluster.waitUntil('another daemon holds the lease', async () => {
      const next = await cluster.findCellHolder(holder)
      return next !== undefined
    })
    expectInTime(await sendToOthers(holder, 1_000))
  })
})
