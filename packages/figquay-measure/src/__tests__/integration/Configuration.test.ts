/** An accepted configuration change is in force on every daemon within 7 s, and is never reverted. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { LocalCluster, type ClusterDaemon } from 'figquay-measure'

const IN_FORCE_LIMIT_MS = 7_000

describe('configuration', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 3,
    transferTimeScale: 0.02,
    size: { runners: 4, serviceUpstreams: 1 },
    proxied: { log: true },
    snapshots: { every: '1s', records: 50 }
  })
  before(() => cluster.start())
  after(async () => {
    await cluster.stop()
  })

  async function readShare (daemon: ClusterDaemon): Promise<{ version: number, share: number }> {
    const document = (await cluster.readDocuments(daemon))['contract/wholesale']
    return { version: document?.version ?? -1, share: (document?.body as { share: number } | undefined)?.share ?? -1 }
  }

  /** Publishes a new share for the contract of `wholesale` through one daemon. */
  async function changeShare (daemon: ClusterDaemon, changeId: string, share: number, base?: number) {
    const document = (await cluster.readDocuments(daemon))['contract/wholesale']!
    const body = { ...document.body as object, share }
    return await cluster.applyDocuments(daemon, changeId, [{ key: 'contract/wholesale', base: base ?? document.version, body }])
  }

  async function waitForShare (share: number, daemons = cluster.daemons): Promise<void> {
    await cluster.waitUntil(`share ${share} in force`, async () => (await Promise.all(daemons.map(readShare))).every((entry) => entry.share === share), IN_FORCE_LIMIT_MS)
  }

  test('of two operators that race, one wins everywhere and the other is told', async () => {
    // Every change is based on the same version; the one that comes first in the log is accepted.
    const base = (await readShare(cluster.daemons[0]!)).version
    const replies = await Promise.all(cluster.daemons.map((daemon, index) => changeShare(daemon, `race-${index}`, 10 + index, base)))
    const accepted = replies.flatMap((reply, index) => reply?.verdict?.verdict === 'accepted' ? [index] : [])
    expect(accepted.length).toEqual(1)
    for (const [index, reply] of replies.entries()) {
      if (index !== accepted[0]) expect(reply?.verdict?.reason.includes(`race-${accepted[0]}`)).toEqual(true)
    }
    await waitForShare(10 + accepted[0]!)
  })

  test('a change whose append got no response is looked up, and not appended again', async () => {
    await cluster.controlLog({ loseAnswers: 1 })
    const reply = await changeShare(cluster.daemons[0]!, 'lost-answer', 20)
    expect(reply?.verdict?.verdict).toEqual('accepted')
    const repeated = await changeShare(cluster.daemons[1]!, 'lost-answer', 20)
    expect(repeated?.verdict?.offset).toEqual(reply!.verdict!.offset)
    await waitForShare(20)
  })

  test('a daemon that is cut off from the log has the change from its peers', async () => {
    await cluster.setLogFaultRule(2, { mode: 'black-hole' })
    await changeShare(cluster.daemons[0]!, 'cut-off', 30)
    await waitForShare(30)
    await cluster.setLogFaultRule(2, { mode: 'pass' })
  })

  test('stale reads of the log do not revert the configuration', async () => {
    const original = await readShare(cluster.daemons[0]!)
    await cluster.controlLog({ staleRecords: 40 })
    const deadlineMs = performance.now() + 2_000
    while (performance.now() < deadlineMs) {
      for (const daemon of cluster.daemons) expect((await readShare(daemon)).version >= original.version).toEqual(true)
    }
    await cluster.controlLog({ staleRecords: 0 })
  })

  test('a daemon that restarts after records have expired starts from a snapshot', async () => {
    await cluster.controlLog({ retainRecords: 5 })
    await cluster.waitUntil('the first records have expired', async () => {
      const { streams } = await cluster.readFacts<{ streams: Record<string, { firstOffset: number }> }>('log')
      return streams['config']!.firstOffset > 5
    }, 20_000)
    const daemon = cluster.daemons[1]!
    daemon.process.sendSignal('SIGKILL')
    await daemon.process.waitForExit()
    cluster.restartDaemon(daemon)
    await cluster.waitUntil('the daemon is ready', () => cluster.isReady(daemon), IN_FORCE_LIMIT_MS)
    expect((await readShare(daemon)).share).toEqual(30)
  })

  test('the configuration stays in force during a log outage, also on a daemon that restarts', async () => {
    await cluster.controlLog({ mode: 'down' })
    const daemon = cluster.daemons[2]!
    daemon.process.sendSignal('SIGKILL')
    await daemon.process.waitForExit()
    cluster.restartDaemon(daemon)
    await waitForShare(30)
    await cluster.controlLog({ mode: 'up' })
    await changeShare(cluster.daemons[0]!, 'after-outage', 40)
    await waitForShare(40)
  })
})
