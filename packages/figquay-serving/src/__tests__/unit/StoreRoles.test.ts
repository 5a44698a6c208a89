/** Which daemons of a small fleet read the store for the others. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseStoreRole, computeStoreTiming, type StoreAges, type StoreRole } from '../../index.js'

const DAEMONS = Array.from({ length: 66 }, (_, index) => `10.0.0.${index}:80`)

const TIMING = computeStoreTiming({ drainWithinMs: 2_000, applyWithinMs: 2_000 }, { spreadMs: 300, reportIntervalMs: 200 })
const NEVER = Number.POSITIVE_INFINITY
const FRESH: StoreAges = { reportedAgeMs: 0, storeAgeMs: 0, ownAgeMs: NEVER }

function listByRole (role: StoreRole, daemons: readonly string[], ages = FRESH): string[] {
  return daemons.filter((self) => chooseStoreRole(self, daemons.filter((other) => other !== self), ages, TIMING) === role)
}

describe('store roles in a small fleet', () => {
  it('are one reader and two lookers in a fleet of any size', () => {
    for (const count of [8, 16, 66]) {
      const daemons = DAEMONS.slice(0, count)
      expect([listByRole('reader', daemons).length, listByRole('looker', daemons).length]).toEqual([1, 2])
    }
  })

  it('pass to other daemons when the reader and the lookers are lost', () => {
    const lost = new Set([...listByRole('reader', DAEMONS), ...listByRole('looker', DAEMONS)])
    const remaining = DAEMONS.filter((daemon) => !lost.has(daemon))
    expect([listByRole('reader', remaining).length, listByRole('looker', remaining).length]).toEqual([1, 2])
    expect(listByRole('reader', remaining).filter((daemon) => lost.has(daemon))).toEqual([])
  })

  it('are those of readers at the lookers, one after the other, as the age of the last read grows', () => {
    const daemons = DAEMONS.slice(0, 8)
    const countReaders = (ageMs: number): number => listByRole('reader', daemons, { reportedAgeMs: ageMs, storeAgeMs: ageMs, ownAgeMs: NEVER }).length
    const { lookerAgeMs, takeoverStaggerMs } = TIMING
    expect([lookerAgeMs, lookerAgeMs + 1, lookerAgeMs + takeoverStaggerMs + 1].map(countReaders)).toEqual([1, 2, 3])
  })

  // Guards against all daemons reading a store that none of them can read, and against daemons that never try it.
  it('are those of readers at every daemon in turn, of three at a time, while nobody reads', () => {
    const daemons = DAEMONS.slice(0, 8)
    const { lookerAgeMs, takeoverStaggerMs, standInAgeMs, maxAgeMs } = TIMING
    const listReaders = (ageMs: number): string[] => listByRole('reader', daemons, { reportedAgeMs: ageMs, storeAgeMs: ageMs, ownAgeMs: NEVER })
    const ages = Array.from({ length: 100 }, (_, index) => lookerAgeMs + takeoverStaggerMs + 1 + index * 50)
    expect([...new Set(ages.map((ageMs) => listReaders(ageMs).length))]).toEqual([3])
    expect(new Set(ages.flatMap(listReaders)).size).toEqual(daemons.length)
    // The first listener has its turn before the age that makes what it knows too old.
    expect(standInAgeMs <= maxAgeMs).toEqual(true)
    expect(listReaders(maxAgeMs + 1).filter((daemon) => listByRole('listener', daemons).includes(daemon)).length).toEqual(1)
  })

  it('stay that of a reader at a listener that has read in turn, until it hears of another one\'s reads', () => {
    const daemons = DAEMONS.slice(0, 8)
    const listener = listByRole('listener', daemons)[0]!
    const chooseRole = (reportedAgeMs: number): StoreRole => chooseStoreRole(listener, daemons.filter((other) => other !== listener), { reportedAgeMs, storeAgeMs: 0, ownAgeMs: 0 }, TIMING)
    expect([chooseRole(TIMING.lookerAgeMs + 1), chooseRole(0)]).toEqual(['reader', 'listener'])
  })

  it('stay those of readers at a looker whose own reads succeed while those of the reader are not heard of', () => {
    expect(listByRole('reader', DAEMONS.slice(0, 8), { reportedAgeMs: TIMING.lookerAgeMs + 1, storeAgeMs: 0, ownAgeMs: NEVER }).length).toEqual(2)
  })

  it('make a daemon without peers a reader', () => {
    expect(chooseStoreRole(DAEMONS[5]!, [], FRESH, TIMING)).toEqual('reader')
  })
})
