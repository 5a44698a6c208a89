/** The age of the newest read of the store, as daemons tell it to each other. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { EVENT_LOOP_TICK_MS, EventLoopMonitor, JsonLogger, TaskGroup } from 'figquay'
import { NewestStoreRead } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

/** Time that a message is under way, in milliseconds. */
const LATENCY_MS = 90
/** Time for which a process doesn't run, in milliseconds. */
const HELD_UP_MS = 4_000
/** Time for several ticks of the monitor, in milliseconds. */
const TICKS_MS = 450

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

  it('is as old as the request that a held-up daemon made for the report', async () => {
    const clock = SimulatedClock.create()
    const newest = NewestStoreRead.create(clock)
    const requestedAtMs = clock.readMonotonicMs()
    await clock.runFor(HELD_UP_MS)
    newest.noteReport({ storeAgeMs: 100, storeRead: 'boot-1/1' }, requestedAtMs)
    expect(newest.ageMs).toEqual(HELD_UP_MS + 100)
  })
})

describe('input of a process that was held up', () => {
  it('counts as having arrived when the process last read its sockets, and as new once it has read them again', async () => {
    const clock = SimulatedClock.create()
    const delays: number[] = []
    const monitor = EventLoopMonitor.create({ clock, noteDelay: (delayMs) => delays.push(delayMs) })
    const tasks = TaskGroup.create(clock, JsonLogger.create('held-up', 'error'))
    tasks.startLoop('event loop', EVENT_LOOP_TICK_MS, async () => monitor.tick())
    await clock.runFor(TICKS_MS)
    expect(monitor.estimateArrivalMs()).toEqual(clock.readMonotonicMs())
    clock.skip(HELD_UP_MS)
    const ageMs = clock.readMonotonicMs() - monitor.estimateArrivalMs()
    expect(ageMs >= HELD_UP_MS).toEqual(true)
    await clock.runFor(TICKS_MS)
    expect([monitor.estimateArrivalMs(), delays.length]).toEqual([clock.readMonotonicMs(), 1])
    await tasks.stop()
  })
})
