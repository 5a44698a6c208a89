/** Store watcher: reads from the store, snapshots from peers during an outage and at the start, and expired entries after an outage. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeFailure, makeSuccess, SystemClock, TaskGroup, type CallFailure, type Outcome } from 'figquay'
import { ConfigurationHolder, encodePosition, FleetFacts, FleetLeadership, FleetRunnerTable, makeLogPosition, type Fact, type FleetConfiguration, type FleetStore, type Runner, type RunnerRegistryUpdate } from 'figquay-fleet'
import { chooseStoreRole, computeShortestOutage, computeStoreTiming, ConfigurationSource, ConfigurationSync, DaemonRecords, decodeProgress, FactStoreSync, StoreOutages, StoreWatcher, type ConfigurationRequest, type FleetSnapshot, type SnapshotRequest, type StoreRole } from '../../index.js'

const FAILURE: CallFailure = { sent: 'maybe', reason: 'timeout', message: 'down' }
const CONFIGURATION: FleetConfiguration = {
  version: 7,
  routes: [],
  services: new Map([['s', { name: 's', healthPath: '/h', maxConnections: 1, engine: { slots: 1, kvTokens: 1, weightsMb: 1, adapterSlots: 0, loadsPerSecond: 1, models: new Map() } }]]),
  customers: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}
const BOUNDS = { drainWithinMs: 2_000, applyWithinMs: 2_000 }
const TIMING = computeStoreTiming(BOUNDS, { spreadMs: 300, reportIntervalMs: 200 })
/** Time by which the answer to a read of the configuration is overdue, in milliseconds. */
const HANGING_READ_MS = 1_500
/** Interval at which runners renew their entries, in milliseconds. */
const HEARTBEAT_MS = 1_200
/** Failures in a row, one every 250 ms, that last longer than the shortest outage in which entries expire. */
const OUTAGE_FAILURES = Array.from({ length: 10 }, () => makeFailure(FAILURE))
const EVERYTHING: SnapshotRequest = { position: -1, needsFacts: true }
const RUNNER: Runner = { id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 1, isLeaving: true, bornMs: 0, holdings: undefined }

/** A store whose reads always fail, or always return the same after the queued readings. */
function makeStore (isUp: boolean, readings: Array<Outcome<RunnerRegistryUpdate, CallFailure>>, configurationReads: number[]): FleetStore {
  const reply = async <T>(value: T) => {
    await SystemClock.create().waitFor(20)
    return isUp ? makeSuccess(value) : makeFailure(FAILURE)
  }
  return {
    readConfiguration: (after: number) => {
      configurationReads.push(after)
      return reply({ configuration: CONFIGURATION, position: 1 })
    },
    readRunners: async () => readings.shift() ?? await reply({ changes: [{ type: 'announced', runner: RUNNER, position: 4 }], isComplete: true, position: 4 }),
    readShared: () => reply({ records: [{ key: 'daemon/10.0.0.2:80', value: 'z', position: 0 }], end: 1 }),
    writeShared: () => reply({ type: 'written', position: 0 }),
    renewConnections: () => {}
  } as unknown as FleetStore
}

function makeWatcher (isUp: boolean, requestSnapshot: () => Promise<FleetSnapshot | undefined>, role: StoreRole | (() => StoreRole) = 'reader', isSeed = true, peerConfigurations = ConfigurationHolder.create()) {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const readings: Array<Outcome<RunnerRegistryUpdate, CallFailure>> = []
  const configurationReads: number[] = []
  const store = makeStore(isUp, readings, configurationReads)
  const configurations = ConfigurationHolder.create()
  const table = FleetRunnerTable.create(clock)
  const leadership = FleetLeadership.create({ self: 'a', bootId: 'b', store, clock, logger, listConnected: () => [], isEligible: () => true })
  const facts = FleetFacts.create(clock)
  const outages = StoreOutages.create({ clock, heartbeatMs: HEARTBEAT_MS })
  const seenDaemons: string[] = []
  const leaving: string[] = []
  const tasks = TaskGroup.create(clock, logger)
  const source = ConfigurationSource.create({ clock, configurations: peerConfigurations, listPeersWith: () => [] })
  const callPeer = async <T>(_peer: string, _method: string, request: unknown): Promise<Outcome<T, string>> => makeSuccess(JSON.parse(JSON.stringify(source.serveRequest(request as ConfigurationRequest))) as T)
  const sync = ConfigurationSync.create({ self: 'a', clock, logger, tasks, configurations, callPeer, listConnected: () => ['b'], computeFallbackMs: () => 1_000, isStoreReadRecent: () => true, readFromStore: async () => undefined })
  const watcher = StoreWatcher.create({
    bootId: 'b', isSeed, clock, logger, store, facts, factStore: FactStoreSync.create({ clock, logger, store, facts, isLeader: () => false }), daemonRecords: DaemonRecords.create({ clock, logger, store, canRestore: () => false }), configurations, table, leadership, outages, requestSnapshot, adoptConfiguration: (configuration) => configurations.adoptConfiguration(configuration), findStoreRole: () => typeof role === 'function' ? role() : role, computeTiming: () => TIMING, estimateArrivalMs: () => clock.readMonotonicMs(), noteStoreRead: () => {}, announceLeaving: (runner) => leaving.push(runner), setDaemons: (daemons) => seenDaemons.push(...daemons.keys())
  })
  return { outages, configurationReads, store, watcher, sync, facts, configurations, table, seenDaemons, leaving, readings, tasks }
}

describe('store watcher', () => {
  it('tells peers of no newer read while the reader\'s read of the configuration takes too long', async () => {
    const clock = SystemClock.create()
    const reader = makeWatcher(true, async () => undefined)
    reader.watcher.startTasks(reader.tasks)
    await clock.waitFor(150)
    Object.assign(reader.store, { readConfiguration: (_after: number, waitMs: number, signal: AbortSignal) => clock.waitFor(waitMs + HANGING_READ_MS, signal).then(() => makeFailure(FAILURE)) })
    await clock.waitFor(TIMING.configurationWaitMs + HANGING_READ_MS)
    const { ageMs } = reader.watcher.ownRead
    await reader.tasks.stop()
    expect([reader.watcher.measureTopicAge('runners') < TIMING.runnersIntervalMs, ageMs > HANGING_READ_MS / 2]).toEqual([true, true])
  })

  it('loads configuration, runners and daemons from the store and passes runners and daemons to peers in a snapshot', async () => {
    const reader = makeWatcher(true, async () => undefined)
    reader.watcher.startTasks(reader.tasks)
    await SystemClock.create().waitFor(150)
    await reader.tasks.stop()
    expect([reader.watcher.isSynced, reader.configurations.version, reader.seenDaemons.includes('10.0.0.2:80')]).toEqual([true, 7, true])
    expect(reader.leaving).toEqual(['r'])
    const wire = JSON.parse(JSON.stringify(reader.watcher.makeSnapshot(EVERYTHING))) as FleetSnapshot
    const other = makeWatcher(false, async () => wire)
    other.watcher.applySnapshot(wire)
    expect(other.table.findRunner('r')?.isLeaving).toEqual(true)
    expect(reader.watcher.makeSnapshot({ position: 4, needsFacts: true }).runners).toEqual([])
  })

  it('syncs from a peer while the store is unreachable', async () => {
    const reader = makeWatcher(true, async () => undefined)
    reader.configurations.adoptConfiguration(CONFIGURATION)
    // A daemon can sync another one only if it has the facts itself.
    reader.watcher.applySnapshot({ runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    const cutOff = makeWatcher(false, async () => JSON.parse(JSON.stringify(reader.watcher.makeSnapshot(EVERYTHING))) as FleetSnapshot, 'reader', true, reader.configurations)
    cutOff.watcher.startTasks(cutOff.tasks)
    cutOff.sync.start()
    await SystemClock.create().waitFor(200)
    await cutOff.tasks.stop()
    expect([cutOff.watcher.isSynced, cutOff.watcher.isStoreReachable, cutOff.configurations.version]).toEqual([true, false, 7])
  })

  it('syncs from peers at its start without reading the list of runners', async () => {
    const reader = makeWatcher(true, async () => undefined)
    reader.configurations.adoptConfiguration(CONFIGURATION)
    // A daemon can sync another one only if it has the facts itself.
    reader.watcher.applySnapshot({ runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    const other = makeWatcher(true, async () => reader.watcher.makeSnapshot(EVERYTHING), 'listener', false, reader.configurations)
    other.readings.push(makeFailure(FAILURE))
    other.watcher.startTasks(other.tasks)
    other.sync.start()
    await SystemClock.create().waitFor(400)
    await other.tasks.stop()
    expect([other.watcher.isSynced, other.table.position, other.readings.length]).toEqual([true, 4, 1])
  })

  it('reads the store at its start when no peer sends a snapshot', async () => {
    const other = makeWatcher(true, async () => undefined, 'listener', false)
    other.watcher.startTasks(other.tasks)
    await SystemClock.create().waitFor(2_000)
    await other.tasks.stop()
    expect(other.watcher.isSynced).toEqual(true)
  })

  it('is not synced before it has the facts, which it gets from a peer or the store', async () => {
    const fact: Fact = { type: 'acquittal', id: 'a', fingerprint: 'f', atMs: Date.now() }
    const snapshot: FleetSnapshot = { runners: [], removals: [], position: 4, daemons: [], facts: undefined, storeAgeMs: 0 }
    const { watcher, configurations, facts } = makeWatcher(false, async () => undefined)
    configurations.adoptConfiguration(CONFIGURATION)
    watcher.applySnapshot(snapshot)
    expect(watcher.isSynced).toEqual(false)
    watcher.applySnapshot({ ...snapshot, facts: [fact] })
    expect([watcher.isSynced, facts.listAfter(0)]).toEqual([true, [fact]])
    expect(watcher.makeSnapshot({ position: 4, needsFacts: true }).facts).toEqual([fact])
    expect(watcher.makeSnapshot({ position: 4, needsFacts: false }).facts).toEqual(undefined)
  })

  it('reads all topics as a looker soon after the reader has become silent', async () => {
    const clock = SystemClock.create()
    let silentSinceMs = Number.POSITIVE_INFINITY
    // By the hashes of the addresses, the first peer is the reader and this daemon stands by first.
    const findRole = (): StoreRole => chooseStoreRole('10.0.0.0:80', ['10.0.0.2:80', '10.0.0.5:80'], { reportedAgeMs: Math.max(0, clock.readMonotonicMs() - silentSinceMs), storeAgeMs: 0, ownAgeMs: Number.POSITIVE_INFINITY }, TIMING)
    const { watcher, tasks, readings, configurations, configurationReads } = makeWatcher(true, async () => undefined, findRole)
    expect(findRole()).toEqual('looker')
    configurations.adoptConfiguration(CONFIGURATION)
    readings.push(...[4, 5, 6, 7].map((position) => makeSuccess<RunnerRegistryUpdate>({ changes: [], isComplete: true, position })))
    watcher.startTasks(tasks)
    while (readings.length > 3) await clock.waitFor(10)
    silentSinceMs = clock.readMonotonicMs()
    const configurationReadsBefore = configurationReads.length
    while (readings.length > 2) await clock.waitFor(10)
    const tookMs = clock.readMonotonicMs() - silentSinceMs
    while (configurationReads.length === configurationReadsBefore) await clock.waitFor(10)
    const tookForAllMs = clock.readMonotonicMs() - silentSinceMs
    await tasks.stop()
    // All daemons must know a leaving runner within 2 s, which leaves 1.8 s after one interval for the exchange between peers.
    expect([tookMs < 1_800, tookForAllMs < 1_800]).toEqual([true, true])
  })

  it('reads all topics as a listener that takes over, though a peer reads again before', async () => {
    const clock = SystemClock.create()
    let role: StoreRole = 'listener'
    const { watcher, tasks, configurations, configurationReads, readings } = makeWatcher(true, async () => undefined, () => role)
    configurations.adoptConfiguration(CONFIGURATION)
    watcher.applySnapshot({ runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    readings.push(...[4, 5].map((position) => makeSuccess<RunnerRegistryUpdate>({ changes: [], isComplete: true, position })))
    watcher.startTasks(tasks)
    await clock.waitFor(300)
    expect([configurationReads.length, readings.length]).toEqual([0, 2])
    role = 'reader'
    while (readings.length === 2) await clock.waitFor(1)
    role = 'listener'
    await clock.waitFor(300)
    await tasks.stop()
    expect([configurationReads.length, readings.length]).toEqual([1, 1])
  })

  it('pauses between reads that the store answers at once without anything new', async () => {
    const { watcher, tasks, configurationReads } = makeWatcher(true, async () => undefined)
    watcher.startTasks(tasks)
    const clock = SystemClock.create()
    const measureMs = 1_000
    await clock.waitFor(measureMs)
    await tasks.stop()
    // The stand-in answers within 20 ms, so without a pause there would be some fifty.
    expect(configurationReads.length <= measureMs / 100 + 1).toEqual(true)
  })

  it('sends a peer that knows no eras the difference, and one that has read lost records everything', () => {
    const { watcher, table } = makeWatcher(false, async () => undefined)
    table.putRunner({ ...RUNNER, id: 'old' }, makeLogPosition(2, 3))
    table.putRunner({ ...RUNNER, id: 'new' }, makeLogPosition(2, 8))
    const listIds = (request: Omit<SnapshotRequest, 'needsFacts'>): string[] => watcher.makeSnapshot({ ...request, needsFacts: false }).runners.map(({ runner }) => runner.id)
    expect([listIds({ position: 5 }), listIds({ era: 2, position: 5 }), listIds({ era: 1, position: 90 }), watcher.makeSnapshot({ era: 1, position: 90, needsFacts: false }).isComplete]).toEqual([['new'], ['new'], ['old', 'new'], true])
  })

  it('drops runners of lost records that a peer of the new era doesn\'t list, after the grace period, and ignores one of the old era', async () => {
    const { watcher, table } = makeWatcher(false, async () => undefined)
    const makeSnapshot = (era: number, id: string): FleetSnapshot => ({ runners: [{ runner: { ...RUNNER, id }, era, position: 4 }], removals: [], isComplete: true, era, position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    watcher.applySnapshot(makeSnapshot(1, 'lost'))
    watcher.applySnapshot(makeSnapshot(2, 'kept'))
    watcher.applySnapshot(makeSnapshot(1, 'late'))
    const before = ['lost', 'kept', 'late'].map((id) => table.findRunner(id)?.id)
    await SystemClock.create().waitFor(2_200)
    table.listViews('s')
    expect([before, ['lost', 'kept', 'late'].map((id) => table.findRunner(id)?.id)]).toEqual([['lost', 'kept', undefined], [undefined, 'kept', undefined]])
  })

  it('requests a snapshot for changes but not for heartbeats', async () => {
    let asked = 0
    const { watcher, table } = makeWatcher(false, async () => {
      asked += 1
      return undefined
    }, 'listener')
    watcher.applySnapshot({ runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    watcher.comparePeerProgress('b', { position: 9, changedAt: 3, daemonCount: 0 })
    expect([asked, table.position]).toEqual([0, 9])
    watcher.comparePeerProgress('b', { position: 12, changedAt: 11, daemonCount: 0 })
    watcher.comparePeerProgress('c', { position: 12, changedAt: 11, daemonCount: 0 })
    expect([asked, table.position]).toEqual([1, 9])
    await SystemClock.create().waitFor(0)
    watcher.comparePeerProgress('b', { position: 9, changedAt: 3, daemonCount: 1 })
    expect(asked).toEqual(2)
  })

  // Guards against requests to a removed runner: a daemon that starts reads the newest record of each key, in which a removal leaves no trace, and its peers take its position for knowledge of all before it.
  it('has a peer drop a runner that was removed before this daemon read the list for the first time', async () => {
    for (const position of [6, 8]) {
      const started = makeWatcher(true, async () => undefined)
      started.readings.push(makeSuccess<RunnerRegistryUpdate>({ changes: [{ type: 'announced', runner: { ...RUNNER, isLeaving: false }, position: 7 }], isComplete: true, position: 9 }))
      started.watcher.startTasks(started.tasks)
      while (started.table.position < 9) await SystemClock.create().waitFor(5)
      const other: ReturnType<typeof makeWatcher> = makeWatcher(false, async () => JSON.parse(JSON.stringify(started.watcher.makeSnapshot({ ...encodePosition(other.table.position), needsFacts: false, acceptsIds: true }))) as FleetSnapshot, 'listener')
      other.watcher.applySnapshot({ runners: ['r', 'gone'].map((id) => ({ runner: { ...RUNNER, isLeaving: false, id }, position: 4 })), removals: [], position, daemons: [], facts: [], gaps: [], storeAgeMs: 0 })
      other.watcher.comparePeerProgress('b', decodeProgress({ ...encodePosition(started.table.position), changedAt: started.table.lastChangePosition, daemonCount: 0 }))
      await SystemClock.create().waitFor(20)
      await started.tasks.stop()
      expect([other.table.findRunner('gone'), other.table.findRunner('r')?.id, other.table.position]).toEqual([undefined, 'r', 9])
    }
  })

  // Guards against the same from a daemon of the release before, which would take such a snapshot for the difference.
  it('leaves a peer that takes no ids where it is, and has it count no read, while this daemon can\'t tell it all removals', () => {
    const started = makeWatcher(false, async () => undefined)
    started.watcher.applySnapshot({ runners: [{ runner: RUNNER, position: 7 }], removals: [], position: 9, daemons: [], facts: [], gaps: [{ after: { position: -1 }, upTo: { position: 9 } }], storeAgeMs: 0, storeRead: 'boot/1' })
    const { runners, position, storeAgeMs } = started.watcher.makeSnapshot({ position: 8, needsFacts: false })
    expect([runners, position, storeAgeMs]).toEqual([[], 8, Number.MAX_SAFE_INTEGER])
    expect(started.watcher.makeSnapshot({ position: 9, needsFacts: false }).storeAgeMs < 1_000).toEqual(true)
    expect([started.table.lastChangePosition, started.watcher.makeSnapshot(EVERYTHING).runners.length]).toEqual([9, 1])
  })

  it('takes the difference of a daemon of the release before, and vouches for nothing before the first one', () => {
    const { watcher, table } = makeWatcher(false, async () => undefined)
    const snapshot: FleetSnapshot = { runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 5, daemons: [], facts: [], storeAgeMs: 0 }
    watcher.applySnapshot(snapshot)
    watcher.applySnapshot({ ...snapshot, runners: [], removals: [{ id: 'r', position: 7, graceMs: 0 }], position: 8 })
    expect([table.findRunner('r'), table.position, table.progress.listedGaps]).toEqual([undefined, 8, [{ after: -1, upTo: 5 }]])
  })

  // Guards against a removal that is lost on the way: its sender has read only that the runner is gone, and its receiver has read of it.
  it('passes on the removal of a runner that it never knew', () => {
    const { watcher, table } = makeWatcher(false, async () => undefined)
    watcher.applySnapshot({ runners: [], removals: [{ id: 'brief', position: 6, graceMs: 0 }], position: 7, daemons: [], facts: [], gaps: [], storeAgeMs: 0 })
    expect([table.lastChangePosition, watcher.makeSnapshot({ position: 5, needsFacts: false }).removals.map(({ id }) => id)]).toEqual([6, ['brief']])
  })

  // Guards against removals that are skipped between the pages of a long list: entries written meanwhile lie beyond the position up to which everything was read.
  it('reads on from the end of a complete list, whatever the positions of its entries', async () => {
    const { watcher, table, tasks, readings } = makeWatcher(true, async () => undefined)
    const announced = ['r', 'brief'].map((id, index) => ({ type: 'announced' as const, runner: { ...RUNNER, id, isLeaving: false }, position: 4 + 3 * index }))
    const removal: RunnerRegistryUpdate = { changes: [{ type: 'removed', id: 'r', position: 6 }], isComplete: false, position: 7 }
    readings.push(makeSuccess<RunnerRegistryUpdate>({ changes: announced, isComplete: true, position: 5 }), makeSuccess(removal), makeSuccess<RunnerRegistryUpdate>({ changes: [], isComplete: false, position: 7 }))
    watcher.startTasks(tasks)
    while (table.position < 5) await SystemClock.create().waitFor(5)
    const positionAfterList = table.position
    while (readings.length > 0) await SystemClock.create().waitFor(5)
    await tasks.stop()
    expect([positionAfterList, table.findRunner('r'), table.findRunner('brief')?.id]).toEqual([5, undefined, 'brief'])
  })

  // Guards against records of the leader, daemons and facts that are skipped between the pages of a long list.
  it('reads the shared records on from the end of a complete list, whatever the positions of its records', async () => {
    const { watcher, store, tasks } = makeWatcher(true, async () => undefined)
    const reads: number[] = []
    const records = [3, 7].map((position) => ({ key: `daemon/10.0.0.${position}:80`, value: 'z', position }))
    Object.assign(store, {
      readShared: async (after: number) => {
        reads.push(after)
        await SystemClock.create().waitFor(20)
        return makeSuccess(reads.length === 1 ? { records, isComplete: true, end: 5 } : { records: [], isComplete: false, end: 5 })
      }
    })
    watcher.startTasks(tasks)
    while (reads.length < 2) await SystemClock.create().waitFor(5)
    await tasks.stop()
    expect(reads.slice(0, 2)).toEqual([-1, 4])
  })

  // Guards against requests to a removed runner from a daemon that takes over long after an outage which it has seen itself.
  it('applies a removal at once if another daemon has read the store since the outage', async () => {
    let role: StoreRole = 'reader'
    const { watcher, table, tasks, readings, configurations } = makeWatcher(true, async () => undefined, () => role)
    configurations.adoptConfiguration(CONFIGURATION)
    watcher.applySnapshot({ runners: [{ runner: { ...RUNNER, id: 'gone' }, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    readings.push(makeFailure(FAILURE))
    watcher.startTasks(tasks)
    const clock = SystemClock.create()
    while (readings.length > 0) await clock.waitFor(5)
    role = 'listener'
    await clock.waitFor(400)
    watcher.applySnapshot({ runners: [], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0, storeRead: 'peer/1' })
    await clock.waitFor(2_200)
    readings.push(makeSuccess<RunnerRegistryUpdate>({ changes: [{ type: 'removed', id: 'gone', position: 5 }], isComplete: false, position: 5 }))
    role = 'reader'
    while (readings.length > 0) await clock.waitFor(5)
    await clock.waitFor(20)
    await tasks.stop()
    expect(table.findRunner('gone')).toEqual(undefined)
  })

  // Guards against requests to a removed runner: trouble of the reader alone was taken for an outage in which entries expire.
  it('applies a removal at once after reads have failed for too short a time for an entry to expire, or only here', async () => {
    for (const failures of [[makeFailure(FAILURE)], OUTAGE_FAILURES]) {
      const { watcher, table, tasks, readings, outages } = makeWatcher(true, async () => undefined)
      const clock = SystemClock.create()
      table.putRunner({ ...RUNNER, id: 'gone' }, 4)
      readings.push(makeSuccess<RunnerRegistryUpdate>({ changes: [], isComplete: false, position: 5 }), ...failures, makeSuccess<RunnerRegistryUpdate>({ changes: [{ type: 'removed', id: 'gone', position: 6 }], isComplete: false, position: 6 }))
      watcher.startTasks(tasks)
      // Meanwhile, another daemon reads the store every second.
      for (let read = 1; readings.length > 0; read += 1) {
        if (read % 10 === 0) outages.noteRead({ storeAgeMs: 0, storeRead: `peer/${read}` })
        await clock.waitFor(100)
      }
      await tasks.stop()
      expect(table.findRunner('gone')).toEqual(undefined)
    }
  })

  // Guards against the same at daemons that know better than the one from which they get the removal.
  it('takes over no grace period that its own knowledge of the store doesn\'t bear out, and does after an outage', async () => {
    const { watcher, table, outages } = makeWatcher(false, async () => undefined, 'listener')
    const clock = SystemClock.create()
    const snapshot: FleetSnapshot = { runners: ['a', 'b'].map((id) => ({ runner: { ...RUNNER, id }, position: 4 })), removals: [], position: 5, daemons: [], facts: [], gaps: [], storeAgeMs: 0, storeRead: 'peer/1' }
    const remove = (id: string, position: number, storeRead: string): FleetSnapshot => ({ ...snapshot, runners: [], removals: [{ id, position, graceMs: 2_000 }], position, storeRead })
    watcher.applySnapshot(snapshot)
    watcher.applySnapshot(remove('a', 6, 'peer/2'))
    expect(table.findRunner('a')).toEqual(undefined)
    await clock.waitFor(computeShortestOutage(HEARTBEAT_MS))
    outages.noteRead({ storeAgeMs: 0, storeRead: 'peer/3' })
    watcher.applySnapshot(remove('b', 7, 'peer/4'))
    expect(table.findRunner('b')?.id).toEqual('b')
  })

  it('keeps runners whose entries expired during a store outage for two seconds and applies other removals at once', async () => {
    const { watcher, table, tasks, readings } = makeWatcher(true, async () => undefined)
    const remove = (id: string, position: number): RunnerRegistryUpdate => ({ changes: [{ type: 'removed', id, position }], isComplete: false, position })
    table.putRunner({ ...RUNNER, id: 'leaver' }, 4)
    table.putRunner({ ...RUNNER, id: 'lapsed' }, 4)
    readings.push(makeSuccess(remove('leaver', 5)), ...OUTAGE_FAILURES, makeSuccess(remove('lapsed', 6)))
    const idle = makeSuccess<RunnerRegistryUpdate>({ changes: [], isComplete: false, position: 6 })
    const idleCount = 50
    readings.push(...Array.from({ length: idleCount }, () => idle))
    watcher.startTasks(tasks)
    const clock = SystemClock.create()
    while (readings.length > idleCount) await clock.waitFor(10)
    const readAtMs = clock.readMonotonicMs()
    expect([table.findRunner('leaver'), table.findRunner('lapsed')?.id]).toEqual([undefined, 'lapsed'])
    const graces = table.listRemovals(5).map(({ id, graceMs }) => [id, graceMs > 0 && graceMs <= 2_000])
    expect(graces).toEqual([['lapsed', true]])
    while (table.listViews('s').length > 0) await clock.waitFor(10)
    // The grace period begins with the read, which this test notices some milliseconds later.
    expect(clock.readMonotonicMs() - readAtMs > 1_500).toEqual(true)
    expect(table.findRunner('lapsed')).toEqual(undefined)
    await tasks.stop()
  })
})
