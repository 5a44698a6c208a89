/** Loads and runner updates reach every daemon of a large fleet, also when daemons of the tree fail. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeFailure, makeSuccess, TaskGroup, type Clock, type Outcome } from 'figquay'
import { ConfigurationHolder, FleetLeadership, RunnerUpdateBuffer, FleetRunnerTable, type FleetStore, type Holdings, type Runner } from 'figquay-fleet'
import { computeStoreTiming, FleetRelay, NewestStoreRead, type RelayMesh, type RelayMessage } from '../../index.js'

const HOLDINGS: Holdings = { models: [{ name: 'm', adapters: [] }], coming: [], isBusy: false, inMemory: [], onDisk: [] }
const RUNNER: Runner = { id: 'r', service: 's', address: '127.0.0.1:1', zone: 'a', slots: 8, isLeaving: false, bornMs: 0, holdings: undefined }
const STEP_MS = 200

/** As a daemon of 106c625 sends it while no speeds have changed. */
const RELEASED_MESSAGE: RelayMessage = {
  from: '10.0.0.1:80', zone: 'a', bootId: 'boot-1', holder: { daemon: '10.0.0.1:80', fence: 1 }, version: -1, newestVersion: -1, era: 0, position: 0, changedAt: 0, daemonCount: 2, facts: { revision: 0, digest: 0 }, storeAgeMs: 250, storeRead: 'boot-1/7', loads: [['r', 1, 100, 0]], news: [], revision: 0, heard: { bootId: 'boot-0', revision: 0 }
}

/** A clock that only the test advances; waiting returns at the next turn of the event loop. */
class ManualClock implements Clock {
  nowMs = 1_000
  readMonotonicMs (): number { return this.nowMs }
  now (): Date { return new Date(this.nowMs) }
  async waitFor (): Promise<void> {
    await new Promise((resolve) => setImmediate(resolve))
  }
}

interface TestDaemon { readonly relay: FleetRelay, readonly table: FleetRunnerTable, readonly news: RunnerUpdateBuffer, readonly mesh: TestMesh }

/** Connections between the daemons of a test; those of lost daemons fail. */
class TestMesh implements RelayMesh {
  /** Calls to peers that are connected and don't answer. */
  unansweredCount = 0

  constructor (private readonly self: string, private readonly nodes: ReadonlyMap<string, TestDaemon>, private readonly lost: ReadonlySet<string>, private readonly garbled: string[], private readonly silent: ReadonlySet<string>) {}

  isConnected (peer: string): boolean {
    return !this.lost.has(peer)
  }

  async callPeer<T> (peer: string, _method: string, message: unknown): Promise<Outcome<T, string>> {
    if (this.lost.has(peer) || this.lost.has(this.self)) return makeFailure('timeout')
    if (this.silent.has(peer)) {
      this.unansweredCount += 1
      return makeFailure('timeout')
    }
    if (this.garbled.pop() !== undefined) return makeSuccess({ from: 7, loads: 'none' } as T)
    return makeSuccess(JSON.parse(JSON.stringify(this.nodes.get(peer)!.relay.handleExchange(message as RelayMessage))) as T)
  }
}

function makeFleet (count: number) {
  const clock = new ManualClock()
  const logger = JsonLogger.create('test', 'silent')
  const zones = new Map(Array.from({ length: count }, (_, index): [string, string] => [`10.0.0.${index}:80`, 'abc'[index % 3]!]))
  const nodes = new Map<string, TestDaemon>()
  const lost = new Set<string>()
  const silent = new Set<string>()
  /** One entry for each response that is replaced by a malformed one. */
  const garbled: string[] = []
  const makeNode = (self: string, zone: string): TestDaemon => {
    const table = FleetRunnerTable.create(clock)
    const news = RunnerUpdateBuffer.create(clock)
    const leadership = FleetLeadership.create({ self, bootId: self, store: {} as FleetStore, clock, logger, listConnected: () => [], isEligible: () => false })
    table.putRunner(RUNNER, 1)
    const mesh = new TestMesh(self, nodes, lost, garbled, silent)
    const relay = FleetRelay.create({
      self,
      zone,
      bootId: self,
      clock,
      logger,
      table,
      leadership,
      news,
      configurations: ConfigurationHolder.create(),
      mesh,
      estimateArrivalMs: () => clock.readMonotonicMs(),
      findOwnRead: () => NewestStoreRead.create(clock),
      computeTiming: () => computeStoreTiming({ drainWithinMs: 3_000, applyWithinMs: 3_000 }, { spreadMs: 550, reportIntervalMs: 200 }),
      countDaemons: () => count,
      readFacts: () => ({ revision: 0, digest: 0 }),
      reconcileFacts: () => {},
      applyUpdate: (item) => {
        if (item.type === 'holdings') table.putHoldings(item.runner, item.bornMs, item.holdings)
        if (item.type === 'leaving') table.markLeaving(item.runner, item.bornMs)
      },
      comparePeerProgress: () => {},
      findNewestVersion: () => -1,
      setNeighbours: () => {}
    })
    relay.setDaemons(zones)
    return { relay, table, news, mesh }
  }
  for (const [self, zone] of zones) nodes.set(self, makeNode(self, zone))
  const runRounds = async (rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round += 1) {
      clock.nowMs += STEP_MS
      for (const [self, { relay }] of nodes) if (!lost.has(self)) await relay.exchangeOnce()
    }
  }
  const countRequests = (): number[] => [...nodes].filter(([self]) => !lost.has(self)).map(([, { table }]) => table.listCandidates('s')[0]!.load.requests)
  return { nodes, lost, silent, garbled, runRounds, countRequests, tasks: TaskGroup.create(clock, logger) }
}

function openRequest (table: FleetRunnerTable, requestId: string): () => void {
  return table.trackRequest('r', { requestId, fingerprint: requestId, model: 'm', pendingTokens: 100, sentAtMs: 0, hasOutput: false })
}

describe('exchange along the tree', () => {
  it('brings the load of all daemons to every daemon, counting each request once', async () => {
    const { nodes, runRounds, countRequests } = makeFleet(30)
    const releases = [...nodes.values()].map(({ table }, index) => openRequest(table, `q${index}`))
    await runRounds(5)
    expect([...new Set(countRequests())]).toEqual([30])
    for (const release of releases.slice(0, 12)) release()
    await runRounds(5)
    expect([...new Set(countRequests())]).toEqual([18])
  })

  it('understands a message of the release before, and answers with the fields that this one has', () => {
    const { nodes } = makeFleet(2)
    const { relay, table } = nodes.get('10.0.0.0:80')!
    const response = relay.handleExchange(JSON.parse(JSON.stringify(RELEASED_MESSAGE)) as RelayMessage)
    expect(Object.keys(response).sort()).toEqual([...Object.keys(RELEASED_MESSAGE), 'speeds'].sort())
    expect([table.listCandidates('s')[0]!.load.requests, relay.storeAges.reportedAgeMs]).toEqual([1, RELEASED_MESSAGE.storeAgeMs])
  })

  it('brings a runner\'s speed to every daemon within a few exchanges', async () => {
    const { nodes, runRounds } = makeFleet(30)
    nodes.get('10.0.0.29:80')!.table.noteReportedLoad('r', { running: 1, waiting: 0, slots: 8, slowdown: 3 })
    await runRounds(4)
    expect([...nodes.values()].filter(({ table }) => table.listCandidates('s')[0]!.slowdown > 1.2).length).toEqual(30)
  })

  it('keeps working when a third of the daemons fails', async () => {
    const { nodes, lost, runRounds, countRequests } = makeFleet(30)
    for (const [index, { table }] of [...nodes.values()].entries()) openRequest(table, `q${index}`)
    await runRounds(3)
    for (const daemon of [...nodes.keys()].filter((_, index) => index % 3 === 0).slice(0, 5)) lost.add(daemon)
    for (const daemon of [...nodes.keys()].filter((_, index) => index % 3 === 1).slice(0, 5)) lost.add(daemon)
    await runRounds(20)
    expect([...new Set(countRequests())]).toEqual([20])
  })

  it('brings news to every daemon once, and only the newest of two items', async () => {
    const { nodes, runRounds } = makeFleet(30)
    const [first] = [...nodes.values()]
    first!.news.addUpdate({ type: 'holdings', runner: 'r', bornMs: 0, holdings: { ...HOLDINGS, isBusy: true }, fence: 3, serial: 1 })
    first!.news.addUpdate({ type: 'holdings', runner: 'r', bornMs: 0, holdings: HOLDINGS, fence: 3, serial: 2 })
    await runRounds(4)
    const others = [...nodes.values()].slice(1)
    expect(others.every(({ table }) => table.findRunner('r')?.holdings?.isBusy === false)).toEqual(true)
    expect(others.every(({ news }) => !news.addUpdate({ type: 'holdings', runner: 'r', bornMs: 0, holdings: HOLDINGS, fence: 3, serial: 1 }))).toEqual(true)
    const revisions = others.map(({ news }) => news.revision)
    await runRounds(4)
    expect(others.map(({ news }) => news.revision)).toEqual(revisions)
  })

  it('tells every daemon within a few exchanges that a runner is leaving', async () => {
    const { nodes, runRounds } = makeFleet(30)
    nodes.get('10.0.0.29:80')!.news.addUpdate({ type: 'leaving', runner: 'r', bornMs: 0 })
    nodes.get('10.0.0.29:80')!.table.markLeaving('r', 0)
    await runRounds(4)
    expect([...nodes.values()].filter(({ table }) => table.listCandidates('s').length > 0).length).toEqual(0)
  })

  it('brings many updates to every daemon in several messages', async () => {
    const { nodes, runRounds } = makeFleet(30)
    const [first] = [...nodes.values()]
    for (let index = 0; index < 100; index += 1) first!.news.addUpdate({ type: 'leaving', runner: `r${index}`, bornMs: 0 })
    first!.news.addUpdate({ type: 'leaving', runner: 'r', bornMs: 0 })
    first!.table.markLeaving('r', 0)
    await runRounds(2)
    expect(Math.max(...[...nodes.values()].slice(1).map(({ news }) => news.revision))).toEqual(48)
    await runRounds(14)
    expect([...nodes.values()].filter(({ table }) => table.listCandidates('s').length > 0).length).toEqual(0)
  })

  // Guards against daemons that keep a peer busy which can't keep up with them.
  it('asks a peer that gives no answer ever more rarely, and as before once it does', async () => {
    const { nodes, silent, runRounds } = makeFleet(3)
    const { mesh, table } = nodes.get('10.0.0.0:80')!
    silent.add('10.0.0.1:80')
    await runRounds(16_000 / STEP_MS)
    expect(mesh.unansweredCount).toEqual(5)
    silent.clear()
    await runRounds(8_000 / STEP_MS)
    openRequest(nodes.get('10.0.0.1:80')!.table, 'q')
    await runRounds(2)
    expect(table.listCandidates('s')[0]!.load.requests).toEqual(1)
  })

  it('keeps working after malformed responses', async () => {
    const { nodes, garbled, tasks, countRequests } = makeFleet(20)
    for (const [index, { table }] of [...nodes.values()].entries()) openRequest(table, `q${index}`)
    garbled.push(...Array.from({ length: 25 }, () => 'spoilt'))
    for (const { relay } of nodes.values()) relay.startExchanges(tasks, () => true)
    for (let turn = 0; turn < 200; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    await tasks.stop()
    expect([garbled.length, ...new Set(countRequests())]).toEqual([0, 20])
  })
})
