/** Requests while the daemon that keeps account of the runners is frozen or gone: the others decide by themselves. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult, type ClusterDaemon } from 'figquay-measure'

const KEY = 'key-workshop-cairo'
const MODEL = 'manual-3'
const FIRST_TOKEN_MS = 1_200
const LONG_ABSENCE_MS = 3_000

describe('reservations', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 4, storeScale: 0.02, size: { runners: 4, serviceUpstreams: 1 } })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  async function findHolder (): Promise<ClusterDaemon> {
    let holder: ClusterDaemon | undefined
    await cluster.waitUntil('a daemon holds the cell', async () => (holder = await cluster.findCellHolder()) !== undefined)
    return holder!
  }

  /** Asks the other daemons in turn, ten times a second. */
  async function askOthers (holder: ClusterDaemon, durationMs: number): Promise<CallResult[]> {
    const others = cluster.daemons.filter((daemon) => daemon !== holder)
    const calls = Array.from({ length: durationMs / 100 }, async (_, index) => {
      await new Promise((resolve) => setTimeout(resolve, index * 100))
      return await caller.complete({ url: others[index % others.length]!.callerUrl, key: KEY, model: MODEL, nonce: `${holder.id}-${index}-${durationMs}`, prompt: `Question ${index}`, outputTokens: 3 })
    })
    return await Promise.all(calls)
  }

  function expectInTime (results: readonly CallResult[]): void {
    expect(results.map((result) => result.answer)).toEqual(results.map(() => 'whole'))
    expect(results.filter((result) => result.firstTokenMs > FIRST_TOKEN_MS).length).toEqual(0)
  }

  test('the holder is frozen: every request is answered in time', async () => {
    const holder = await findHolder()
    holder.process.signal('SIGSTOP')
    const results = await askOthers(holder, LONG_ABSENCE_MS)
    holder.process.signal('SIGCONT')
    expectInTime(results)
  })

  test('the holder is killed: every request is answered in time, also once another holds the cell', async () => {
    const holder = await findHolder()
    holder.process.signal('SIGKILL')
    expectInTime(await askOthers(holder, LONG_ABSENCE_MS))
    await cluster.waitUntil('another daemon holds the cell', async () => {
      const next = await cluster.findCellHolder(holder)
      return next !== undefined
    })
    expectInTime(await askOthers(holder, 1_000))
  })
})
