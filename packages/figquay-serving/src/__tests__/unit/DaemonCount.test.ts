/** A daemon that knows too few others of a large fleet is told the fleet size by those that receive its hints. */
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, SystemClock, TaskGroup } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetFacts, FleetLeadership, FleetRunnerTable, type FleetHints, type FleetStore } from 'figquay-fleet'
import { PeerMesh } from 'figquay-peers'
import { type FleetSnapshot, NewestStoreRead, type PeerProgress, ServingPeers } from '../../index.js'

const SELF = { id: '127.0.0.1:28481', zone: 'z', address: '127.0.0.1:28481' }
const PEER = { id: '127.0.0.1:28482', zone: 'z', address: '127.0.0.1:28482' }
const SECRETS = ['a-secret-of-these-tests']
const DAEMON_COUNT = 19
const clock = SystemClock.create()
const logger = JsonLogger.create('test', 'silent')
const cleanups: Array<() => void> = []

/** Starts a daemon of a large fleet and a peer that records the corrections sent to it. */
async function startPair (tasks: TaskGroup): Promise<{ readonly peer: PeerMesh, readonly corrections: PeerProgress[] }> {
  const corrections: PeerProgress[] = []
  const table = FleetRunnerTable.create(clock)
  const leadership = FleetLeadership.create({ self: SELF.id, bootId: 'b', store: {} as FleetStore, clock, logger, listConnected: () => [], isEligible: () => false })
  const peers = ServingPeers.create({
    self: SELF, bootId: 'b', seeds: [], secrets: SECRETS, clock, logger, tasks, table, leadership, demand: FleetDemand.create(clock), configurations: ConfigurationHolder.create(), facts: FleetFacts.create(clock), listNeeds: () => [], noteAdapterUse: () => {}, streamOrigins: () => ({ handleRemember: () => true, handleFind: () => ({ isSynced: true, softwareVersion: undefined, versions: [] }) }), makeSnapshot: () => ({}) as FleetSnapshot, serveConfiguration: () => ({ type: 'none' }), findNewestVersion: () => -1, noteVersions: () => {}, comparePeerProgress: () => {}, estimateArrivalMs: () => clock.readMonotonicMs(), findOwnRead: () => NewestStoreRead.create(clock), bounds: { drainWithinMs: 2_000, applyWithinMs: 2_000 }, countDaemons: () => DAEMON_COUNT, makeForwardingOffer: () => ({ address: undefined, isAvailable: false }), schedulePlanning: () => {}
  })
  const peer = PeerMesh.create({ self: PEER, secrets: SECRETS, clock, logger, methods: { 'fleet.reading': ({ reading }: { readonly reading: PeerProgress }) => corrections.push(reading) } })
  cleanups.push(() => peer.close(), () => peers.close())
  await peers.start()
  await peer.listen('127.0.0.1', 28482)
  peers.setDaemons(new Map([[PEER.id, PEER.zone], ...Array.from({ length: DAEMON_COUNT - 2 }, (_, index): [string, string] => [`127.0.0.1:${28_490 + index}`, 'z'])]))
  peer.setDaemons([SELF], tasks, [SELF])
  while (!peer.isConnected(SELF.id)) await clock.waitFor(10)
  return { peer, corrections }
}

function makeHints (daemonCount: number): FleetHints {
  return { from: PEER.id, holder: undefined, version: 1, newestVersion: 1, position: 1, changedAt: 1, daemonCount, facts: { revision: 0, digest: 0 }, storeAgeMs: 0, loads: [], arrivals: [], needs: [], adapters: [] }
}

describe('daemon of a large fleet', () => {
  const tasks = TaskGroup.create(clock, logger)
  afterEach(async () => {
    const stopped = tasks.stop()
    for (const close of cleanups.splice(0)) close()
    await stopped
  })

  it('sends the daemon count to a peer that knows fewer daemons, and to no other', async () => {
    const { peer, corrections } = await startPair(tasks)
    peer.notifyPeer(SELF.id, 'fleet.hints', makeHints(DAEMON_COUNT))
    peer.notifyPeer(SELF.id, 'fleet.hints', makeHints(5))
    const untilMs = clock.readMonotonicMs() + 3_000
    while (corrections.length === 0 && clock.readMonotonicMs() < untilMs) await clock.waitFor(20)
    expect(corrections.map(({ daemonCount }) => daemonCount)).toEqual([DAEMON_COUNT])
  })
})
