/** Two or three daemons of a data centre read the store, and all have each change in time, whichever daemons are cut off from it or frozen. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { rankDaemons } from '../../index.js'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions } from '../standins/SimulatedFleet.js'

const STEP_MS = 25
const RUNNER_COUNT = 8
const MAX_ZONE_READERS = 3
/** Changes are made at these times after each loss, in milliseconds. */
const CHANGE_DELAYS_MS = [50, 600, 1_100]
const FLEETS: ReadonlyArray<Pick<SimulatedFleetOptions, 'zones' | 'daemonsPerZone' | 'daemonCount'> & { readonly boundMs: number }> = [
  { zones: ['a', 'b'], daemonsPerZone: 4, boundMs: 2_000 },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 27, daemonCount: 80, boundMs: 3_000 }
]

function listByZone (addresses: readonly string[]): string[][] {
  const zones = [...new Set(addresses.map((address) => address.split('.')[1]))]
  return zones.map((zone) => addresses.filter((address) => address.split('.')[1] === zone))
}

/** The daemons of each data centre that rank first. */
function listFirst (daemons: readonly string[], count: number): string[] {
  return [...rankDaemons(new Map(daemons.map((address) => [address, address.split('.')[1]!]))).values()].flatMap((ranked) => ranked.slice(0, count))
}

/** Every second daemon in the order of the ranking. */
function listEverySecond (daemons: readonly string[]): string[] {
  return [...rankDaemons(new Map(daemons.map((address) => [address, address.split('.')[1]!]))).values()].flatMap((ranked) => ranked.filter((_, index) => index % 2 === 0))
}

const LOSSES: ReadonlyArray<{ readonly name: string, readonly select: (daemons: readonly string[]) => string[] }> = [
  { name: 'the first of each data centre', select: (daemons) => listFirst(daemons, 1) },
  { name: 'the first two of each data centre', select: (daemons) => listFirst(daemons, 2) },
  { name: 'every second of each data centre', select: listEverySecond }
]

/** Makes changes while some daemons are lost; returns those that came late, and the most other daemons of a data centre that read at once. */
async function playLosses (fleet: SimulatedFleet, lost: readonly string[], boundMs: number, lose: () => void, recover: () => void): Promise<{ readonly late: readonly number[], readonly zoneReaders: number }> {
  const late: number[] = []
  let zoneReaders = 0
  for (const [index, delayMs] of CHANGE_DELAYS_MS.entries()) {
    const version = index + 2
    lose()
    await fleet.clock.runFor(delayMs)
    fleet.publish(makeConfiguration(version, 49 + version))
    fleet.announceLeaving(`runner-${index}`)
    for (let elapsedMs = 0; elapsedMs < boundMs; elapsedMs += STEP_MS) {
      await fleet.clock.runFor(STEP_MS)
      zoneReaders = Math.max(zoneReaders, ...listByZone(fleet.listStoreReaders().filter((address) => !lost.includes(address))).map(({ length }) => length))
    }
    if ([...fleet.listBehind(version), ...fleet.listDaemonsUsingRunner(`runner-${index}`)].some((address) => !lost.includes(address))) late.push(delayMs)
    recover()
    await fleet.clock.runFor(1_500)
  }
  return { late, zoneReaders }
}

describe('readers of the store', () => {
  for (const { boundMs, ...size } of FLEETS) {
    const daemonCount = size.daemonCount ?? size.zones.length * size.daemonsPerZone
    const createFleet = async (): Promise<SimulatedFleet> => {
      const fleet = await SimulatedFleet.create({ ...size, bytesPerMs: 17_500, bounds: { drainWithinMs: boundMs, applyWithinMs: boundMs } }, makeConfiguration(1, 49))
      fleet.addRunners(RUNNER_COUNT)
      await fleet.clock.runFor(3_000)
      return fleet
    }
    for (const { name, select } of LOSSES) {
      // Guards against too few or too many daemons that read in place of others.
      it(`are at most three of a data centre of ${daemonCount} daemons, and in time, while ${name} are cut off from it`, async () => {
        const fleet = await createFleet()
        const lost = select([...fleet.daemons.keys()])
        const { late, zoneReaders } = await playLosses(fleet, lost, boundMs, () => fleet.cutFromStore(lost), () => fleet.healStoreLinks(lost))
        await fleet.close()
        expect([late, zoneReaders <= MAX_ZONE_READERS]).toEqual([[], true])
      })
    }

    // Guards against all daemons of a data centre that reach none above them taking its first place.
    it(`are at most three of a data centre of ${daemonCount} daemons, and in time, after the first two of each were frozen`, async () => {
      const fleet = await createFleet()
      const lost = listFirst([...fleet.daemons.keys()], 2)
      const { late, zoneReaders } = await playLosses(fleet, lost, boundMs, () => {
        for (const address of lost) if (!fleet.network.isSuspended(address)) fleet.suspendDaemon(address)
      }, () => {})
      await fleet.close()
      expect([late, zoneReaders <= MAX_ZONE_READERS]).toEqual([[], true])
    })
  }
})
