/** Engine memory is never overcommitted, and every model stays reachable, while model versions change under faults. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { LocalCluster, type ClusterDaemon } from 'figquay-measure'

const TAKEOVER_LIMIT_MS = 10_000
const MODEL_COUNT = 20

for (const fencing of ['checked', 'ignored'] as const) {
  describe(`memory, engines with fencing ${fencing}`, () => {
    const cluster = LocalCluster.create({
      deployment: 'guild',
      daemons: 3,
      transferTimeScale: 0.05,
      fencing,
      size: { runners: 4, serviceUpstreams: 1 },
      proxied: { engines: true },
      restartMs: 1_000
    })
    before(() => cluster.start())
    after(async () => {
      await cluster.stop()
    })

    /** Publishes a new version of every model through one daemon. */
    async function publishVersion (daemon: ClusterDaemon, version: string): Promise<void> {
      const documents = await cluster.readDocuments(daemon)
      const changes = Object.entries(documents).filter(([key]) => key.startsWith('model/'))
        .map(([key, document]) => ({ key, base: document.version, body: { ...document.body as object, version } }))
      const reply = await cluster.applyDocuments(daemon, `to-${version}`, changes)
      expect(reply?.verdict?.verdict).toEqual('accepted')
    }

    async function waitForVersion (version: string, timeoutMs = 45_000): Promise<void> {
      await cluster.waitUntil(`version ${version} everywhere`, async () => [...await cluster.listReadyModels()].filter((id) => id.endsWith(`@${version}`)).length === MODEL_COUNT, timeoutMs)
    }

    async function expectNoOvercommit (): Promise<void> {
      const facts = await Promise.all(cluster.engines.map((engine) => cluster.readFacts<{ violations: string[] }>(engine)))
      expect(facts.flatMap((fact) => fact.violations)).toEqual([])
    }

    async function waitForNewHolder (except: ClusterDaemon): Promise<ClusterDaemon> {
      let holder: ClusterDaemon | undefined
      await cluster.waitUntil('another daemon holds the lease', async () => (holder = await cluster.findCellHolder(except)) !== undefined, TAKEOVER_LIMIT_MS)
      return holder!
    }

    test('duplicated orders, and orders whose response is lost', async () => {
      for (const engine of cluster.engines) await cluster.setUpstreamFaultRule(engine, { mode: 'late-copy', delayMs: 700 })
      await publishVersion(cluster.daemons[0]!, 'v2')
      await new Promise((resolve) => setTimeout(resolve, 1_500))
      for (const engine of cluster.engines) await cluster.setUpstreamFaultRule(engine, { mode: 'drop-answers' })
      await new Promise((resolve) => setTimeout(resolve, 1_000))
      for (const engine of cluster.engines) await cluster.setUpstreamFaultRule(engine, { mode: 'pass' })
      await waitForVersion('v2')
      await expectNoOvercommit()
    })

    test('the holder is frozen past its lease, then woken', async () => {
      // A holder that is resumed must not carry on with orders that it planned before another daemon took over.
      const frozen = (await cluster.findCellHolder())!
      const other = cluster.daemons.find((daemon) => daemon !== frozen)!
      await publishVersion(other, 'v3')
      await new Promise((resolve) => setTimeout(resolve, 400))
      frozen.process.sendSignal('SIGSTOP')
      await waitForNewHolder(frozen)
      await new Promise((resolve) => setTimeout(resolve, 1_500))
      frozen.process.sendSignal('SIGCONT')
      await waitForVersion('v3')
      await expectNoOvercommit()
    })

    test('the lease holder is killed between orders; another daemon takes over within 10 s', async () => {
      const killed = (await cluster.findCellHolder())!
      const other = cluster.daemons.find((daemon) => daemon !== killed)!
      await publishVersion(other, 'v4')
      await new Promise((resolve) => setTimeout(resolve, 400))
      killed.process.sendSignal('SIGKILL')
      await killed.process.waitForExit()
      await waitForNewHolder(killed)
      await cluster.controlRoster({ remove: [killed.id] })
      await waitForVersion('v4')
      await expectNoOvercommit()
    })

    test('an engine crashes while it loads models; after its restart every model is reachable again', async () => {
      await cluster.controlUpstream(cluster.engines[0]!, { crash: true })
      await new Promise((resolve) => setTimeout(resolve, 1_500))
      await waitForVersion('v4')
      await expectNoOvercommit()
    })
  })
}
