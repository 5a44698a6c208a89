/** The leader of a large fleet tells a daemon that a model or adapter is loaded if its requests wait for just that, and once. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeSuccess, TaskGroup, type Outcome } from 'figquay'
import { ConfigurationHolder, FleetDemand, FleetFacts, FleetLeadership, FleetRunnerTable, type FleetHints, type FleetStore, type Holdings, type ModelNeed, type RunnerUpdate } from 'figquay-fleet'
import type { PeerMeshOptions } from 'figquay-peers'
import { type FleetSnapshot, NewestStoreRead, type ServingMesh, ServingPeers } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

const LEADER = { id: 'leader', zone: 'z', address: 'leader' }
const DAEMON_COUNT = 76
const SERVICE = 's'

interface SentUpdates {
  readonly daemon: string
  readonly updates: readonly RunnerUpdate[]
}

function makeHoldings (adapters: readonly string[]): Holdings {
  return { models: [{ name: 'busy', adapters }], coming: [], isBusy: false, inMemory: ['busy'], onDisk: ['busy'] }
}

function makeReport (from: string, needs: readonly ModelNeed[]): FleetHints {
  return { from, holder: undefined, version: 1, newestVersion: 1, position: 1, changedAt: 1, daemonCount: DAEMON_COUNT, facts: { revision: 0, digest: 0 }, storeAgeMs: 0, loads: [], arrivals: [], needs, adapters: [] }
}

function makeNeed (adapter: string | undefined): ModelNeed {
  return { service: SERVICE, model: 'busy', adapter, waiting: 1 }
}

/** Creates the peers of the leader in a fleet of 76 daemons; `report` delivers a daemon's report. */
function makeLeader (): { readonly peers: ServingPeers, readonly sent: SentUpdates[], readonly report: (from: string, needs: readonly ModelNeed[]) => void } {
  const clock = SimulatedClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const tasks = TaskGroup.create(clock, logger)
  const sent: SentUpdates[] = []
  let methods: PeerMeshOptions['methods'] = {}
  const mesh = {
    connectedPeers: [],
    isConnected: () => true,
    callPeer: async <T>(daemon: string, method: string, params: unknown): Promise<Outcome<T, string>> => {
      if (method === 'fleet.news') sent.push({ daemon, updates: params as readonly RunnerUpdate[] })
      return makeSuccess(undefined as T)
    },
    notifyPeer: () => {},
    notifyNeighbours: () => {},
    setDaemons: () => {},
    listen: async () => {},
    close: () => {}
  } as unknown as ServingMesh
  const leadership = FleetLeadership.create({ self: LEADER.id, bootId: 'b', store: {} as FleetStore, clock, logger, listConnected: () => [], isEligible: () => false })
  const peers = ServingPeers.create({
    self: LEADER,
    bootId: 'b',
    seeds: [],
    secrets: ['a-secret-of-these-tests'],
    clock,
    logger,
    tasks,
    table: FleetRunnerTable.create(clock),
    leadership,
    demand: FleetDemand.create(clock),
    configurations: ConfigurationHolder.create(),
    facts: FleetFacts.create(clock),
    listNeeds: () => [],
    noteAdapterUse: () => {},
    streamOrigins: () => ({ handleRemember: () => true, handleFind: () => ({ isSynced: true, softwareVersion: undefined, versions: [] }) }),
    makeSnapshot: () => ({}) as FleetSnapshot,
    serveConfiguration: () => ({ type: 'none' }),
    findNewestVersion: () => -1,
    noteVersions: () => {},
    comparePeerProgress: () => {},
    estimateArrivalMs: () => clock.readMonotonicMs(),
    findOwnRead: () => NewestStoreRead.create(clock),
    bounds: { drainWithinMs: 2_000, applyWithinMs: 2_000 },
    countDaemons: () => DAEMON_COUNT,
    makeForwardingOffer: () => ({ address: undefined, isAvailable: false }),
    schedulePlanning: () => {},
    createMesh: (options) => {
      methods = options.methods
      return mesh
    }
  })
  peers.setDaemons(new Map(Array.from({ length: DAEMON_COUNT - 1 }, (_, index) => [`d${index}`, 'z'])))
  return { peers, sent, report: (from, needs) => (methods['fleet.report'] as (hints: FleetHints) => void)(makeReport(from, needs)) }
}

describe('leader of a large fleet', () => {
  it('announces a loaded adapter at once to the daemons that wait for it, not to those that wait for another one of its model', () => {
    const { peers, sent, report } = makeLeader()
    for (let index = 0; index < DAEMON_COUNT - 1; index += 1) report(`d${index}`, [makeNeed(`a${index}`)])
    peers.announceHoldings('r1', 1, makeHoldings(['a5', 'a9']))
    expect(sent.map(({ daemon }) => daemon)).toEqual(['d5', 'd9'])
  })

  it('announces a loaded model at once to the daemons that wait for the model', () => {
    const { peers, sent, report } = makeLeader()
    report('d1', [makeNeed(undefined)])
    report('d2', [{ ...makeNeed(undefined), model: 'other' }])
    peers.announceHoldings('r1', 1, makeHoldings([]))
    expect(sent.map(({ daemon }) => daemon)).toEqual(['d1'])
  })

  it('answers a report with the updates that meet its needs, each of them once to a daemon', async () => {
    const { peers, sent, report } = makeLeader()
    for (let index = 0; index < 30; index += 1) peers.announceHoldings(`r${index}`, 1, makeHoldings([`a${index}`]))
    for (let repeat = 0; repeat < 5; repeat += 1) {
      report('d1', [makeNeed('a7')])
      await Promise.resolve()
    }
    expect(sent.map(({ daemon, updates }) => [daemon, updates.map(({ runner }) => runner)])).toEqual([['d1', ['r7']]])
    peers.announceHoldings('r8', 1, makeHoldings(['a7']))
    report('d1', [makeNeed('a7')])
    expect(sent.flatMap(({ updates }) => updates.map(({ runner }) => runner))).toEqual(['r7', 'r8'])
  })
})
