/** Records that a restore of the store has lost are written again by the leader, once, and in calls of a bounded size. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeSuccess, SystemClock } from 'figquay'
import { FleetFacts, type Fact, type SharedWrite } from 'figquay-fleet'
import { DaemonRecords, FactStoreSync } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

const logger = JsonLogger.create('test', 'silent')
/** Longer than other daemons' own attempts to write a record take. */
const ORPHANED_AFTER_MS = 5_000

function makeStore () {
  const writes: SharedWrite[][] = []
  return {
    writes,
    writeRecords: async (records: readonly SharedWrite[]) => {
      writes.push([...records])
      return makeSuccess(undefined)
    }
  }
}

function makeCrash (index: number, suspects: readonly string[] = ['a']): Fact {
  return { type: 'crash', id: `crash-${index}`, runner: 'r', bornMs: index, suspects, isolated: [], bystanders: [], atMs: SystemClock.create().now().getTime() }
}

describe('facts that a restore of the store has lost', () => {
  it('are written again by the leader alone, and only those', async () => {
    for (const isLeader of [true, false]) {
      const clock = SimulatedClock.create()
      const store = makeStore()
      const facts = FleetFacts.create(clock)
      const sync = FactStoreSync.create({ clock, logger, store, facts, isLeader: () => isLeader })
      for (const index of [1, 2]) sync.applyRecord(`fact/crash-${index}`, JSON.stringify({ ...makeCrash(index), atMs: clock.now().getTime() }))
      await clock.runFor(ORPHANED_AFTER_MS)
      await sync.flush()
      expect(store.writes).toEqual([])
      sync.replaceRecords(['fact/crash-1'])
      await sync.flush()
      await sync.flush()
      expect(store.writes.map((records) => records.map(({ key }) => key))).toEqual(isLeader ? [['fact/crash-2']] : [])
    }
  })

  it('are written in several calls if they are many', async () => {
    const clock = SimulatedClock.create()
    const store = makeStore()
    const facts = FleetFacts.create(clock)
    const sync = FactStoreSync.create({ clock, logger, store, facts, isLeader: () => true })
    const suspects = Array.from({ length: 100 }, (_, index) => `${index}`.padStart(44, '0'))
    const count = 300
    for (let index = 0; index < count; index += 1) sync.addPending({ ...makeCrash(index, suspects), atMs: clock.now().getTime() })
    for (let call = 0; call < 10; call += 1) await sync.flush()
    const sizes = store.writes.map((records) => JSON.stringify(records).length)
    expect([store.writes.flat().length, sizes.length > 1, Math.max(...sizes) < 1_000_000]).toEqual([count, true, true])
  })
})

describe('records of daemons that a restore of the store has lost', () => {
  it('are written again in one call by the leader, unless they come back by themselves', async () => {
    const clock = SimulatedClock.create()
    const store = makeStore()
    let isLeader = false
    const records = DaemonRecords.create({ clock, logger, store, canRestore: () => isLeader })
    for (const address of ['a', 'b', 'c', 'd']) records.applyRecord(`daemon/${address}`, 'zone')
    records.replaceRecords(['daemon/a'])
    records.applyRecord('daemon/b', 'zone')
    await clock.runFor(ORPHANED_AFTER_MS)
    await records.flush()
    expect(store.writes).toEqual([])
    isLeader = true
    await records.flush()
    await clock.runFor(ORPHANED_AFTER_MS)
    await records.flush()
    expect(store.writes).toEqual([[{ key: 'daemon/c', value: 'zone' }, { key: 'daemon/d', value: 'zone' }]])
  })

  it('are not written if a peer names a daemon a little before the store does, but are if the store never does', async () => {
    const clock = SimulatedClock.create()
    const store = makeStore()
    const records = DaemonRecords.create({ clock, logger, store, canRestore: () => true })
    expect([records.addDaemons({ daemons: [['a', 'zone'], ['b', 'zone']] }), records.addDaemons({ daemons: [['a', 'zone']] })]).toEqual([true, false])
    await clock.runFor(1_000)
    await records.flush()
    expect(store.writes).toEqual([])
    records.applyRecord('daemon/a', 'zone')
    await clock.runFor(ORPHANED_AFTER_MS)
    await records.flush()
    expect(store.writes).toEqual([[{ key: 'daemon/b', value: 'zone' }]])
  })
})
