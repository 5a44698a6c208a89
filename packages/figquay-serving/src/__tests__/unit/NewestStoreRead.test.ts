/** The age of the newest read of the store, as daemons tell it to each other. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { NewestStoreRead } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

/** Time that a message is under way, in milliseconds. */
const LATENCY_MS = 90

describe('newest read of the store', () => {
  it('does not seem newer with each message when daemons tell each other of it in circles', async () => {
    const clock = SimulatedClock.create()
    const daemons = [NewestStoreRead.create(clock), NewestStoreRead.create(clock)]
    daemons[0]!.noteReport({ storeAgeMs: 0, storeRead: 'boot-1/1' })
    const rounds = 20
    for (let round = 0; round < rounds; round += 1) {
      const { report } = daemons[round % 2]!
      await clock.runFor(LATENCY_MS)
      daemons[(round + 1) % 2]!.noteReport(report)
    }
    expect(daemons[0]!.ageMs).toEqual(rounds * LATENCY_MS)
  })

  it('is unknown until one is reported, also if a peer reports that it knows of none', () => {
    const clock = SimulatedClock.create()
    const newest = NewestStoreRead.create(clock)
    newest.noteReport(NewestStoreRead.create(clock).report)
    expect(newest.ageMs).toEqual(Number.POSITIVE_INFINITY)
  })
})
