/** What daemons tell each other, and the store, of the daemons that they know. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, makeSuccess } from 'figquay'
import { DaemonRecords, makeDaemonRecords, PROCESSOR_KEY_PREFIX, rankDaemons } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

function createRecords (): DaemonRecords {
  return DaemonRecords.create({ clock: SimulatedClock.create(), logger: JsonLogger.create('test', 'silent'), store: { writeRecords: async () => makeSuccess(undefined) }, canRestore: () => false })
}

/** Applies the records of a daemon as they are read from the store. */
function applyRecords (records: DaemonRecords, address: string, cores: number | undefined): void {
  for (const { key, value } of makeDaemonRecords(address, 'a', cores)) {
    if (key.startsWith(PROCESSOR_KEY_PREFIX)) records.applyProcessorRecord(key, value)
    else records.applyRecord(key, value)
  }
}

describe('the list of daemons', () => {
  it('reaches a peer with the processors, and is empty for one that has the same list', () => {
    const sender = createRecords()
    applyRecords(sender, 'weak', 0.243)
    applyRecords(sender, 'strong', 1.35)
    const receiver = createRecords()
    expect(receiver.addDaemons(sender.makeList(receiver.digest))).toEqual(true)
    expect(rankDaemons(receiver.daemons, receiver.processorCores).get('a')).toEqual(['strong', 'weak'])
    expect([sender.makeList(receiver.digest), receiver.addDaemons(sender.makeList(receiver.digest))]).toEqual([{ daemons: [] }, false])
  })

  it('is sent whole to a daemon of the release before, which sends no digest, and taken from one, which sends no processors', () => {
    const records = createRecords()
    applyRecords(records, 'new', 0.243)
    expect(records.makeList(undefined).daemons).toEqual([['new', 'a']])
    expect(records.addDaemons({ daemons: [['old', 'a']] })).toEqual(true)
    expect([[...records.daemons.keys()], [...records.processorCores.keys()]]).toEqual([['new', 'old'], ['new']])
    expect(rankDaemons(records.daemons, records.processorCores)).toEqual(rankDaemons(records.daemons))
  })

  it('ignores processors that make no sense', () => {
    const records = createRecords()
    applyRecords(records, 'daemon', -1)
    records.addDaemons({ daemons: [['other', 'a']], processors: [['other', Number.NaN]] })
    expect([...records.processorCores]).toEqual([])
  })
})
