/** Malformed messages of a peer get a response or close its connection; they must not crash the daemon. */
import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { JsonLogger, makeSuccess, SystemClock, TaskGroup } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetFacts, FleetLeadership, FleetRunnerTable, type FleetStore } from 'figquay-fleet'
import { PeerMesh } from 'figquay-peers'
import { ConfigurationSource, type FleetSnapshot, NewestStoreRead, ServingPeers, type ServingMesh, type ServingPeersOptions } from '../../index.js'

const SELF = { id: '127.0.0.1:28471', zone: 'z', address: '127.0.0.1:28471' }
const OTHER = { id: '127.0.0.1:28472', zone: 'z', address: '127.0.0.1:28472' }
const SECRETS = ['a-secret-of-these-tests']
const METHODS = ['fleet.hints', 'fleet.report', 'fleet.exchange', 'fleet.news', 'fleet.facts', 'fleet.reading', 'suspect.take', 'suspect.return', 'fleet.read', 'fleet.configuration', 'limit.take', 'limit.end']

describe('peer that sends arbitrary messages', () => {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const tasks = TaskGroup.create(clock, logger)
  const table = FleetRunnerTable.create(clock)
  const configurations = ConfigurationHolder.create()
  const source = ConfigurationSource.create({ clock, configurations, listPeersWith: () => [] })
  const leadership = FleetLeadership.create({ self: SELF.id, bootId: 'b', store: {} as FleetStore, clock, logger, listConnected: () => [], isEligible: () => false })
  const snapshot: FleetSnapshot = { runners: [], removals: [], position: 7, daemons: [], facts: [], storeAgeMs: 0 }
  const options: ServingPeersOptions = {
    self: SELF,
    bootId: 'b',
    seeds: [],
    secrets: SECRETS,
    clock,
    logger,
    tasks,
    table,
    leadership,
    demand: FleetDemand.create(clock),
    configurations,
    listNeeds: () => [],
    noteAdapterUse: () => {},
    streamOrigins: () => ({ handleRemember: () => true, handleFind: () => ({ isSynced: true, softwareVersion: undefined, versions: [] }) }),
    facts: FleetFacts.create(clock),
    makeSnapshot: () => snapshot,
    serveConfiguration: (request) => source.serveRequest(request),
    findNewestVersion: () => -1,
    noteVersions: () => {},
    comparePeerProgress: () => {},
    estimateArrivalMs: () => clock.readMonotonicMs(),
    findOwnRead: () => NewestStoreRead.create(clock),
    bounds: { drainWithinMs: 2_000, applyWithinMs: 2_000 },
    countDaemons: () => 1,
    makeForwardingOffer: () => ({ address: undefined, isAvailable: false }),
    schedulePlanning: () => {}
  }
  const peers = ServingPeers.create(options)
  const other = PeerMesh.create({ self: OTHER, secrets: SECRETS, methods: {}, clock, logger })
  const unhandled: unknown[] = []
  const recordUnhandled = (reason: unknown): void => {
    unhandled.push(reason)
  }

  before(async () => {
    process.on('unhandledRejection', recordUnhandled)
    await peers.start()
    other.setDaemons([SELF], tasks, [SELF])
    while (!other.isConnected(SELF.id)) await clock.waitFor(10)
  })

  after(async () => {
    const stopped = tasks.stop()
    other.close()
    peers.close()
    await stopped
    process.off('unhandledRejection', recordUnhandled)
  })

  it('does not crash the daemon, which still answers valid calls', async () => {
    await fc.assert(fc.asyncProperty(fc.constantFrom(...METHODS), fc.jsonValue(), async (method, params) => {
      await other.callPeer(SELF.id, method, params, 200)
      other.notifyPeer(SELF.id, method, params)
    }), { numRuns: 200, seed: 20261204 })
    while (!other.isConnected(SELF.id)) await clock.waitFor(10)
    const answer = await other.callPeer<FleetSnapshot>(SELF.id, 'fleet.read', { version: 0, position: 0 })
    expect([answer.ok ? answer.value.position : answer.error, unhandled.length]).toEqual([7, 0])
  })

  it('is given less time for news if a connection to it has to be opened', async () => {
    const timeouts = new Map<string, number | undefined>()
    const mesh = {
      connectedPeers: ['connected'],
      callPeer: async (peer: string, _method: string, _request: unknown, timeoutMs?: number) => {
        timeouts.set(peer, timeoutMs)
        return makeSuccess(snapshot)
      }
    } as unknown as ServingMesh
    const requester = ServingPeers.create({ ...options, createMesh: () => mesh })
    await requester.requestSnapshot({ position: 0, needsFacts: false }, 'unconnected')
    await requester.requestSnapshot({ position: 0, needsFacts: false }, 'connected')
    expect([...timeouts]).toEqual([['unconnected', 300], ['connected', undefined]])
  })

  it('ignores malformed news items', async () => {
    table.putRunner({ id: 'r', service: 's', address: 'a:1', zone: 'z', slots: 1, isLeaving: false, bornMs: 1, holdings: undefined }, 1)
    for (const item of [null, 7, {}, { type: 'holdings', runner: 'r', bornMs: 1, holdings: { models: 'none' }, fence: 9, serial: 1 }, { type: 'leaving', runner: 'r', bornMs: 'soon' }]) {
      await other.callPeer(SELF.id, 'fleet.news', [item])
    }
    expect(table.listRunnersWithModel('s', 'm', undefined)).toEqual([])
    expect(table.listCandidates('s').map((view) => view.runner.id)).toEqual(['r'])
  })
})
