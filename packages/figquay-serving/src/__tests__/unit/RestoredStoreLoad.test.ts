/** After a restore of the store, fleets of any size read it and write to it within the rates that it allows, and learn the next configuration in time. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions } from '../standins/SimulatedFleet.js'

const BYTES_PER_MS = 17_500
/** Calls per second that the sites' stores allow all daemons together (`reads-per-s`, the larger of two rates). */
const MAX_CALLS_PER_SECOND = 2_000
/** A configuration must be in force everywhere within this time after its acknowledgement, in milliseconds (the sites' `apply-ms`). */
const ACTIVATION_LIMIT_MS = 3_000
/** Lost records are written again within this time, in milliseconds. */
const REWRITE_LIMIT_MS = 4_000
const OUTAGE_MS = 2_000
const SECOND_MS = 1_000
const FLEETS: ReadonlyArray<Pick<SimulatedFleetOptions, 'zones' | 'daemonsPerZone'>> = [
  { zones: ['a', 'b'], daemonsPerZone: 2 },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 22 },
  { zones: ['a', 'b', 'c', 'd', 'e', 'f'], daemonsPerZone: 55 }
]

async function measureCalls (fleet: SimulatedFleet, seconds: number): Promise<number[]> {
  const counts: number[] = []
  for (let second = 0; second < seconds; second += 1) {
    const before = fleet.storeCallCount
    await fleet.clock.runFor(SECOND_MS)
    counts.push(fleet.storeCallCount - before)
  }
  return counts
}

describe('a restored store', () => {
  for (const size of FLEETS) {
    const daemonCount = size.zones.length * size.daemonsPerZone
    it(`is called within its rate by ${daemonCount} daemons, which learn the next configuration and write what was lost`, async (test) => {
      const fleet = await SimulatedFleet.create({ ...size, bytesPerMs: BYTES_PER_MS }, makeConfiguration(1, 49))
      const copy = fleet.takeStoreCopy()
      fleet.publish(makeConfiguration(2, 50))
      await fleet.clock.runFor(SECOND_MS)
      const before = await measureCalls(fleet, 2)
      const keys = fleet.listSharedKeys()
      fleet.stopStore()
      const during = await measureCalls(fleet, OUTAGE_MS / SECOND_MS)
      fleet.restoreStore({ ...copy, shared: Math.floor(copy.shared / 2) })
      fleet.publish(makeConfiguration(2, 50))
      const after = await measureCalls(fleet, 3)
      fleet.publish(makeConfiguration(3, 51))
      await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
      expect(fleet.listBehind(3)).toEqual([])
      await fleet.clock.runFor(REWRITE_LIMIT_MS)
      const lost = [...keys].filter((key) => !fleet.listSharedKeys().has(key))
      test.diagnostic(`calls a second: before ${before.join(' ')}, during the outage ${during.join(' ')}, after ${after.join(' ')}`)
      expect([lost, Math.max(...during, ...after) <= MAX_CALLS_PER_SECOND]).toEqual([[], true])
      await fleet.close()
    })
  }

  it('is restored several times, once while it is down for the daemons of a data centre that has not heard of it', async () => {
    const fleet = await SimulatedFleet.create({ zones: ['a', 'b', 'c'], daemonsPerZone: 8, bytesPerMs: BYTES_PER_MS }, makeConfiguration(1, 49))
    const suspended = fleet.listTopRanked()[0]!
    for (let version = 2; version < 8; version += 1) {
      const copy = fleet.takeStoreCopy()
      fleet.publish(makeConfiguration(version, 49 + version))
      await fleet.clock.runFor(SECOND_MS)
      fleet.stopStore()
      if (version === 4) fleet.suspendDaemon(suspended)
      await fleet.clock.runFor(300)
      fleet.restoreStore(copy)
      await fleet.clock.runFor(SECOND_MS)
    }
    fleet.publish(makeConfiguration(8, 60))
    await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
    expect(fleet.listBehind(8)).toEqual([])
    await fleet.close()
  })
})
