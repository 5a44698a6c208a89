/** A daemon that knows few others in a large fleet is told so by those whom it tells. */
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, SystemClock, TaskGroup } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetFacts, FleetLeadership, FleetRunnerTable, type FleetHints, type FleetStore } from 'figquay-fleet'
import { PeerMesh } from 'figquay-peers'
import { ServingPeers, type FleetSnapshot, type PeerReading } from '../../index.js'

const SELF = { id: '127.0.0.1:28481', zone: 'z', address: '127.0.0.1:28481' }
const FEW = { id: '127.0.0.1:28482', zone: 'z', address: '127.0.0.1:28482' }
const SECRETS = ['a-secret-of-these-tests']
const DAEMONS = 19
const clock = SystemClock.create()
const logger = JsonLogger.create('test', 'silent')
const closing: Array<() => void> = []

/** A daemon of a large fleet, and a peer that records what it is told. */
async function startPair (tasks: TaskGroup): Promise<{ readonly few: PeerMesh, readonly told: PeerReading[] }> {
  const told: PeerReading[] = []
  const table = FleetRunnerTable.create(clock)
  const leadership = FleetLeadership.create({ self: SELF.id, bootId: 'b', store: {} as FleetStore, clock, logger, listConnected: () => [], mayApply: () => false })
  const peers = ServingPeers.create({
    self: SELF, bootId: 'b', seeds: [], secrets: SECRETS, clock, logger, tasks, table, leadership, demand: FleetDemand.create(clock), configurations: ConfigurationHolder.create(), facts: FleetFacts.create(clock), listNeeds: () => [], noteAdapterUse: () => {}, makeSnapshot: () => ({}) as FleetSnapshot, notePeer: () => {}, measureStoreAge: () => 0, countDaemons: () => DAEMONS, planSoon: () => {}
  })
  const few = PeerMesh.create({ self: FEW, secrets: SECRETS, clock, logger, methods: { 'fleet.reading': ({ reading }: { readonly reading: PeerReading }) => told.push(reading) } })
  closing.push(() => few.close(), () => peers.close())
  await peers.start()
  await few.listen('127.0.0.1', 28482)
  peers.setDaemons(new Map([[FEW.id, FEW.zone], ...Array.from({ length: DAEMONS - 2 }, (_, index): [string, string] => [`127.0.0.1:${28_490 + index}`, 'z'])]))
  few.setDaemons([SELF], tasks, [SELF])
  while (!few.isConnected(SELF.id)) await clock.waitFor(10)
  return { few, told }
}

function makeHints (daemonCount: number): FleetHints {
  return { from: FEW.id, holder: undefined, version: 1, position: 1, changedAt: 1, daemonCount, facts: { revision: 0, digest: 0 }, storeAgeMs: 0, loads: [], arrivals: [], needs: [], adapters: [] }
}

describe('daemon of a large fleet', () => {
  const tasks = TaskGroup.create(clock, logger)
  afterEach(async () => {
    const stopped = tasks.stop()
    for (const close of closing.splice(0)) close()
    await stopped
  })

  it('tells a peer that takes the fleet for a small one how many daemons there are, and no other', async () => {
    const { few, told } = await startPair(tasks)
    few.sendTo(SELF.id, 'fleet.hints', makeHints(DAEMONS))
    few.sendTo(SELF.id, 'fleet.hints', makeHints(5))
    const untilMs = clock.readMonotonicMs() + 3_000
    while (told.length === 0 && clock.readMonotonicMs() < untilMs) await clock.waitFor(20)
    expect(told.map(({ daemonCount }) => daemonCount)).toEqual([DAEMONS])
  })
})
