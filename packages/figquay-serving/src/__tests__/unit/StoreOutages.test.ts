/** Outages of the store, as told from the reads of all daemons. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { computeShortestOutage, StoreOutages } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

const HEARTBEAT_MS = 1_200
const SHORTEST_MS = computeShortestOutage(HEARTBEAT_MS)

/** Reads by several daemons, at these times in milliseconds; then the grace periods at further times. */
async function measureGraces (readsMs: readonly number[], timesMs: readonly number[]): Promise<number[]> {
  const clock = SimulatedClock.create()
  const outages = StoreOutages.create({ clock, heartbeatMs: HEARTBEAT_MS })
  const graces: number[] = []
  for (const atMs of [...new Set([...readsMs, ...timesMs])].sort((a, b) => a - b)) {
    await clock.runFor(atMs - clock.readMonotonicMs())
    if (readsMs.includes(atMs)) outages.noteRead({ storeAgeMs: 0, storeRead: `boot-${atMs % 3}/${atMs}` })
    if (timesMs.includes(atMs)) graces.push(Math.round(outages.graceMs))
  }
  return graces
}

describe('outages of the store', () => {
  it('begin a grace period when they end, and only if they were long enough for an entry to expire', async () => {
    expect(await measureGraces([1_000, 1_000 + SHORTEST_MS - 1], [1_000 + SHORTEST_MS - 1])).toEqual([0])
    const backMs = 1_000 + SHORTEST_MS
    expect(await measureGraces([1_000, backMs, backMs + 500, backMs + 1_500], [backMs, backMs + 500, backMs + 1_999, backMs + 2_001])).toEqual([2_000, 1_500, 1, 0])
  })

  it('may last as long as no read is heard of', async () => {
    expect(await measureGraces([1_000], [1_500, 1_000 + SHORTEST_MS, 9_000])).toEqual([0, 2_000, 2_000])
    expect(await measureGraces([], [500])).toEqual([2_000])
  })
})
