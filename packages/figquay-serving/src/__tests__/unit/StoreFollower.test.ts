/** What a daemon knows when the store can't be read: what its peers do. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeFailure, makeSuccess, SystemClock, TaskGroup, type CallFailure, type Outcome } from 'figquay'
import { ConfigurationHolder, FleetFacts, FleetLeadership, FleetRunnerTable, type Fact, type FleetConfiguration, type FleetStore, type Runner, type RunnerReading } from 'figquay-fleet'
import { FactKeeper, StoreFollower, type FleetSnapshot, type StoreRole } from '../../index.js'

const FAILURE: CallFailure = { sent: 'maybe', reason: 'timeout', message: 'down' }
const CONFIGURATION: FleetConfiguration = {
  version: 7,
  routes: [],
  services: new Map([['s', { name: 's', healthPath: '/h', maxConnections: 1, engine: { slots: 1, kvTokens: 1, weightsMb: 1, adapterSlots: 0, loadsPerSecond: 1, models: new Map() } }]]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}
const RUNNER: Runner = { id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 1, isLeaving: true, bornMs: 0, holdings: undefined }

/** A store that answers nothing, or the same thing always. */
function makeStore (isUp: boolean, readings: Array<Outcome<RunnerReading, CallFailure>>): FleetStore {
  const reply = async <T>(value: T) => {
    await SystemClock.create().waitFor(20)
    return isUp ? makeSuccess(value) : makeFailure(FAILURE)
  }
  return {
    readConfiguration: () => reply({ configuration: CONFIGURATION, position: 1 }),
    readRunners: async () => readings.shift() ?? await reply({ changes: [{ type: 'announced', runner: RUNNER, position: 4 }], isComplete: true, position: 4 }),
    readShared: () => reply({ records: [{ key: 'daemon/10.0.0.2:80', value: 'z', position: 0 }], end: 1 }),
    writeShared: () => reply({ type: 'written', position: 0 })
  } as unknown as FleetStore
}

function makeFollower (isUp: boolean, askPeer: () => Promise<FleetSnapshot | undefined>, role: StoreRole = 'reader', isSeed = true) {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('test', 'silent')
  const readings: Array<Outcome<RunnerReading, CallFailure>> = []
  const store = makeStore(isUp, readings)
  const configurations = ConfigurationHolder.create()
  const table = FleetRunnerTable.create(clock)
  const leadership = FleetLeadership.create({ self: 'a', bootId: 'b', store, clock, logger, listConnected: () => [], mayApply: () => true })
  const facts = FleetFacts.create(clock)
  const seen: string[] = []
  const leaving: string[] = []
  const follower = StoreFollower.create({
    isSeed, clock, logger, store, facts, keeper: FactKeeper.create({ clock, logger, store, facts, isHolder: () => false }), configurations, table, leadership, requestSnapshot: askPeer, findRole: () => role, announceLeaving: (runner) => leaving.push(runner), setDaemons: (daemons) => seen.push(...daemons.keys())
  })
  return { follower, facts, configurations, table, seen, leaving, readings, tasks: TaskGroup.create(clock, logger) }
}

describe('follower of the store', () => {
  it('knows configuration, runners and daemons from the store, and gives them to peers whole', async () => {
    const reader = makeFollower(true, async () => undefined)
    reader.follower.startTasks(reader.tasks)
    await SystemClock.create().waitFor(150)
    await reader.tasks.stop()
    expect([reader.follower.isInformed, reader.configurations.version, reader.seen.includes('10.0.0.2:80')]).toEqual([true, 7, true])
    expect(reader.leaving).toEqual(['r'])
    const wire = JSON.parse(JSON.stringify(reader.follower.makeSnapshot(-1, -1))) as FleetSnapshot
    const other = makeFollower(false, async () => wire)
    other.follower.takeSnapshot(wire)
    expect([other.configurations.findService('s')?.engine?.models.size, other.table.findRunner('r')?.isLeaving]).toEqual([0, true])
    expect(reader.follower.makeSnapshot(7, 4).configuration).toEqual(undefined)
    expect(reader.follower.makeSnapshot(7, 4).runners).toEqual([])
  })

  it('asks a peer while the store answers nothing, and is informed by it', async () => {
    const reader = makeFollower(true, async () => undefined)
    reader.configurations.adoptConfiguration(CONFIGURATION)
    // A daemon that doesn't know itself what binds all can't inform another.
    reader.follower.takeSnapshot({ configuration: undefined, runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    const cutOff = makeFollower(false, async () => JSON.parse(JSON.stringify(reader.follower.makeSnapshot(-1, -1))) as FleetSnapshot)
    cutOff.follower.startTasks(cutOff.tasks)
    await SystemClock.create().waitFor(200)
    await cutOff.tasks.stop()
    expect([cutOff.follower.isInformed, cutOff.follower.isConnected, cutOff.configurations.version]).toEqual([true, false, 7])
  })

  it('is informed at its start by peers that know, without reading the list itself', async () => {
    const reader = makeFollower(true, async () => undefined)
    reader.configurations.adoptConfiguration(CONFIGURATION)
    // A daemon that doesn't know itself what binds all can't inform another.
    reader.follower.takeSnapshot({ configuration: undefined, runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    const other = makeFollower(true, async () => reader.follower.makeSnapshot(-1, -1), 'listener', false)
    other.readings.push(makeFailure(FAILURE))
    other.follower.startTasks(other.tasks)
    await SystemClock.create().waitFor(400)
    await other.tasks.stop()
    expect([other.follower.isInformed, other.table.position, other.readings.length]).toEqual([true, 4, 1])
  })

  it('reads for itself at its start while no peer knows anything', async () => {
    const other = makeFollower(true, async () => undefined, 'listener', false)
    other.follower.startTasks(other.tasks)
    await SystemClock.create().waitFor(2_000)
    await other.tasks.stop()
    expect(other.follower.isInformed).toEqual(true)
  })

  it('is not informed before it knows what binds every daemon, and gets that from a peer or the store', async () => {
    const fact: Fact = { type: 'acquittal', id: 'a', fingerprint: 'f', atMs: Date.now() }
    const snapshot: FleetSnapshot = { configuration: undefined, runners: [], removals: [], position: 4, daemons: [], facts: undefined, storeAgeMs: 0 }
    const { follower, configurations, facts } = makeFollower(false, async () => undefined)
    configurations.adoptConfiguration(CONFIGURATION)
    follower.takeSnapshot(snapshot)
    expect(follower.isInformed).toEqual(false)
    follower.takeSnapshot({ ...snapshot, facts: [fact] })
    expect([follower.isInformed, facts.listAfter(0)]).toEqual([true, [fact]])
    expect(follower.makeSnapshot(7, 4).facts).toEqual([fact])
  })

  it('looks itself soon after its reader has fallen quiet', async () => {
    const { follower, tasks, readings, configurations } = makeFollower(true, async () => undefined, 'looker')
    configurations.adoptConfiguration(CONFIGURATION)
    readings.push(...[4, 5, 6, 7].map((position) => makeSuccess<RunnerReading>({ changes: [], isComplete: true, position })))
    follower.startTasks(tasks)
    const clock = SystemClock.create()
    while (readings.length > 3) await clock.waitFor(10)
    const firstAtMs = clock.readMonotonicMs()
    while (readings.length > 2) await clock.waitFor(10)
    await tasks.stop()
    // Two seconds in which a leaving runner must be known to all, less an interval of telling.
    expect(clock.readMonotonicMs() - firstAtMs < 1_800).toEqual(true)
  })

  it('asks a peer for changes, not for signs of life', async () => {
    let asked = 0
    const { follower, table } = makeFollower(false, async () => {
      asked += 1
      return undefined
    }, 'listener')
    follower.takeSnapshot({ configuration: undefined, runners: [{ runner: RUNNER, position: 4 }], removals: [], position: 4, daemons: [], facts: [], storeAgeMs: 0 })
    follower.notePeer('b', { version: -1, position: 9, changedAt: 3, daemonCount: 0 })
    expect([asked, table.position]).toEqual([0, 9])
    follower.notePeer('b', { version: -1, position: 12, changedAt: 11, daemonCount: 0 })
    follower.notePeer('c', { version: -1, position: 12, changedAt: 11, daemonCount: 0 })
    expect([asked, table.position]).toEqual([1, 9])
    await SystemClock.create().waitFor(0)
    follower.notePeer('b', { version: -1, position: 9, changedAt: 3, daemonCount: 1 })
    expect(asked).toEqual(2)
  })

  it('keeps runners whose entries lapsed with the store for two seconds, and takes other removals at once', async () => {
    const { follower, table, tasks, readings } = makeFollower(true, async () => undefined)
    const remove = (id: string, position: number): RunnerReading => ({ changes: [{ type: 'removed', id, position }], isComplete: false, position })
    table.putRunner({ ...RUNNER, id: 'leaver' }, 4)
    table.putRunner({ ...RUNNER, id: 'lapsed' }, 4)
    readings.push(makeSuccess(remove('leaver', 5)), makeFailure(FAILURE), makeSuccess(remove('lapsed', 6)))
    const idle = makeSuccess<RunnerReading>({ changes: [], isComplete: false, position: 6 })
    const idleCount = 50
    readings.push(...Array.from({ length: idleCount }, () => idle))
    follower.startTasks(tasks)
    const clock = SystemClock.create()
    while (readings.length > idleCount) await clock.waitFor(10)
    const readAtMs = clock.readMonotonicMs()
    expect([table.findRunner('leaver'), table.findRunner('lapsed')?.id]).toEqual([undefined, 'lapsed'])
    const graces = table.listRemovals(5).map(({ id, graceMs }) => [id, graceMs > 0 && graceMs <= 2_000])
    expect(graces).toEqual([['lapsed', true]])
    while (table.listViews('s').length > 0) await clock.waitFor(10)
    // The reading was noticed within some milliseconds, and its grace began with it.
    expect(clock.readMonotonicMs() - readAtMs > 1_500).toEqual(true)
    expect(table.findRunner('lapsed')).toEqual(undefined)
    await tasks.stop()
  })
})
