/** Which daemons of a small fleet read the store for the others. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { chooseStoreRole, computeStoreTiming, type StoreAges, type StoreRole } from '../../index.js'

const DAEMONS = Array.from({ length: 66 }, (_, index) => `10.0.0.${index}:80`)

const TIMING = computeStoreTiming({ drainWithinMs: 2_000, applyWithinMs: 2_000 }, { spreadMs: 300, reportIntervalMs: 200 })
const FRESH: StoreAges = { reportedAgeMs: 0, storeAgeMs: 0 }

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

  it('are those of readers at the lookers, one after the other, and then at all daemons, as the age of the last read grows', () => {
    const daemons = DAEMONS.slice(0, 8)
    const countReaders = (ageMs: number): number => listByRole('reader', daemons, { reportedAgeMs: ageMs, storeAgeMs: ageMs }).length
    const { lookerAgeMs, takeoverStaggerMs, maxAgeMs } = TIMING
    expect([lookerAgeMs, lookerAgeMs + 1, lookerAgeMs + takeoverStaggerMs + 1, maxAgeMs + 1].map(countReaders)).toEqual([1, 2, 3, 8])
  })

  it('stay those of readers at a looker whose own reads succeed while those of the reader are not heard of', () => {
    expect(listByRole('reader', DAEMONS.slice(0, 8), { reportedAgeMs: TIMING.lookerAgeMs + 1, storeAgeMs: 0 }).length).toEqual(2)
  })

  it('make a daemon without peers a reader', () => {
    expect(chooseStoreRole(DAEMONS[5]!, [], FRESH, TIMING)).toEqual('reader')
  })
})
