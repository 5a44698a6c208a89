/** Requests of a daemon that was held up, or has heard of nobody, wait for news, and for no longer than that may take. */
import { beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { StalenessGuard, type StateCurrency } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

const LIMITS = { maxStateAgeMs: 2_450, maxContactAgeMs: 800 }
const CURRENT: StateCurrency = { storeAgeMs: 300, contactAgeMs: 200, behindForMs: 0, lacksChanges: false, isHeldUp: false }
/** After four seconds without processor time. */
const HELD_UP: StateCurrency = { ...CURRENT, storeAgeMs: 4_300, contactAgeMs: 4_200 }
const LONG_MS = 20_000

let clock: SimulatedClock
let currency: StateCurrency
let changes: string[]
let guard: StalenessGuard

/** Starts a wait; the result tells whether it has ended. */
function startWait (): { hasEnded: boolean } {
  const wait = { hasEnded: false }
  guard.waitUntilCurrent(new AbortController().signal).then(() => {
    wait.hasEnded = true
  })
  return wait
}

describe('guard against stale state', () => {
  beforeEach(() => {
    clock = SimulatedClock.create()
    currency = CURRENT
    changes = []
    guard = StalenessGuard.create({ clock, readCurrency: () => currency, computeLimits: () => LIMITS, recordChange: (message) => changes.push(message) })
  })

  it('has requests wait after the daemon was held up, until a peer has answered', async () => {
    currency = HELD_UP
    const wait = startWait()
    await clock.runFor(300)
    expect(wait.hasEnded).toEqual(false)
    currency = CURRENT
    await clock.runFor(50)
    expect([wait.hasEnded, changes.length]).toEqual([true, 2])
  })

  it('has them wait for a newer configuration, and for changes of the runners, of which that answer told', async () => {
    currency = HELD_UP
    const wait = startWait()
    for (const lacking of [{ behindForMs: 100 }, { lacksChanges: true }]) {
      await clock.runFor(100)
      currency = { ...CURRENT, ...lacking }
      await clock.runFor(100)
      expect(wait.hasEnded).toEqual(false)
    }
    currency = CURRENT
    await clock.runFor(50)
    expect(wait.hasEnded).toEqual(true)
  })

  it('has them wait on while the daemon is held up again and again, as it can\'t have asked for news', async () => {
    currency = HELD_UP
    const wait = startWait()
    for (let time = 0; time < 3; time += 1) {
      await clock.runFor(900)
      currency = { ...HELD_UP, isHeldUp: true }
      await clock.runFor(100)
      currency = HELD_UP
    }
    expect(wait.hasEnded).toEqual(false)
    await clock.runFor(1_100)
    expect(wait.hasEnded).toEqual(true)
  })

  it('lets them go on when no news can be had, and has those of the next time wait again', async () => {
    for (let time = 0; time < 2; time += 1) {
      currency = HELD_UP
      const wait = startWait()
      await clock.runFor(900)
      expect(wait.hasEnded).toEqual(false)
      await clock.runFor(200)
      expect([wait.hasEnded, guard.refresh()]).toEqual([true, false])
      currency = CURRENT
      guard.refresh()
    }
  })

  it('has none wait while nobody can read the store, as peers tell', () => {
    currency = { ...CURRENT, storeAgeMs: LONG_MS }
    expect(guard.refresh()).toEqual(false)
  })

  it('has none wait while a newer configuration is fetched, unless that takes too long', () => {
    currency = { ...CURRENT, behindForMs: 900 }
    expect(guard.refresh()).toEqual(false)
    currency = { ...CURRENT, behindForMs: 2_600 }
    expect(guard.refresh()).toEqual(true)
  })
})
