/** A route that was added is never refused as not found once its configuration should be in force, however slowly the daemons that read the store receive it. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { Refusal } from 'figquay'
import type { Route } from 'figquay-fleet'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions } from '../standins/SimulatedFleet.js'

/** A configuration must be in force everywhere within this time after its acknowledgement, in milliseconds (the site's `apply-ms`). */
const ACTIVATION_LIMIT_MS = 3_000
/** The slowest links of the users' VMs, 7 Mbit/s, in bytes per millisecond. */
const SLOW_LINK_BYTES_PER_MS = 875
/** What requests leave of such a link for responses of the store, little and next to nothing, in bytes per millisecond. */
const STORE_BANDWIDTHS = [100, 20]
/** Times of the change, in milliseconds, so that it falls before and after reads of all kinds. */
const CHANGE_DELAYS_MS = [0, 310, 830]
const FIRST_ROUTES = 49
const ADDED_ROUTES = 1_392
const OBSERVED_MS = 4_000
const STEP_MS = 25

/** Fleets whose connections to the store go silent, with the bounds of sites of their size in milliseconds (`apply-ms`). */
const SILENCED_FLEETS: ReadonlyArray<Pick<SimulatedFleetOptions, 'zones' | 'daemonsPerZone' | 'daemonCount'> & { readonly boundMs: number }> = [
  { zones: ['a', 'b'], daemonsPerZone: 4, boundMs: 2_000 },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 29, daemonCount: 85, boundMs: 3_000 }
]
/** Times of the silence and the change, in milliseconds, so that they fall at all moments of the reader's wait. */
const SILENCE_DELAYS_MS = [0, 310, 830, 1_100, 1_400]

/** Plays the time after a change; returns when each daemon refused the last added route as not found for the last time, of those that did after the limit. */
async function findLateRefusals (fleet: SimulatedFleet, route: Route, limitMs: number): Promise<Map<string, number>> {
  const refusing = new Map<string, number>()
  await fleet.clock.runFor(limitMs)
  for (let elapsedMs = 0; elapsedMs < OBSERVED_MS; elapsedMs += STEP_MS) {
    for (const address of listNotFound(fleet, route)) refusing.set(address, limitMs + elapsedMs)
    await fleet.clock.runFor(STEP_MS)
  }
  return refusing
}

/** Daemons that refuse the last added route as not found. */
function listNotFound (fleet: SimulatedFleet, { host, pathPrefix }: { readonly host: string, readonly pathPrefix: string }): string[] {
  return [...fleet.daemons].filter(([, daemon]) => {
    const route = daemon.resolveRoute(host, pathPrefix)
    return route instanceof Refusal && route.code === 'not_found'
  }).map(([address]) => address)
}

describe('a route that was added', () => {
  for (const storeBytesPerMs of STORE_BANDWIDTHS) {
    for (const delayMs of CHANGE_DELAYS_MS) {
      it(`isn't refused as not found after the limit while readers receive ${storeBytesPerMs} bytes a millisecond, changed after ${delayMs} ms`, async (test) => {
        const fleet = await SimulatedFleet.create({ zones: ['a', 'b', 'c'], daemonsPerZone: 22, bytesPerMs: SLOW_LINK_BYTES_PER_MS, storeBytesPerMs }, makeConfiguration(1, FIRST_ROUTES))
        await fleet.clock.runFor(delayMs)
        const changed = makeConfiguration(2, FIRST_ROUTES + ADDED_ROUTES)
        fleet.publish(changed)
        const refusing = await findLateRefusals(fleet, changed.routes.at(-1)!, ACTIVATION_LIMIT_MS)
        test.diagnostic(`${refusing.size} daemons refuse it after the limit, the last one ${Math.max(0, ...refusing.values())} ms after the change; ${fleet.listBehind(2).length} lack it ${ACTIVATION_LIMIT_MS + OBSERVED_MS} ms after it`)
        expect([...refusing]).toEqual([])
        await fleet.close()
      })
    }
  }

  it('isn\'t refused as not found after the limit while every second daemon is of the release before, and every fifth is cut off from the store', async () => {
    const fleet = await SimulatedFleet.create({ zones: ['a', 'b', 'c'], daemonsPerZone: 22, bytesPerMs: 17_500, isPreviousRelease: (_zoneIndex, index) => index % 2 === 1 }, makeConfiguration(1, FIRST_ROUTES))
    fleet.addRunners(8)
    await fleet.clock.runFor(3_000)
    fleet.cutFromStore([...fleet.daemons.keys()].filter((_address, index) => index % 5 === 0))
    const changed = makeConfiguration(2, FIRST_ROUTES + 1)
    fleet.publish(changed)
    const refusing = await findLateRefusals(fleet, changed.routes.at(-1)!, ACTIVATION_LIMIT_MS)
    expect([[...refusing], fleet.listBehind(2)]).toEqual([[], []])
    await fleet.close()
  })

  // Guards against a snapshot that tells of a read of the store, and not of what was found there.
  it('isn\'t refused as not found after the limit by daemons whose exchanges and calls to the store fail, and which get snapshots', async (test) => {
    const fleet = await SimulatedFleet.create({ zones: ['a', 'b', 'c'], daemonsPerZone: 22, bytesPerMs: 17_500 }, makeConfiguration(1, FIRST_ROUTES))
    fleet.addRunners(8)
    await fleet.clock.runFor(3_000)
    const cut = [...fleet.daemons.keys()].filter((address, index) => index % 5 === 0 && !fleet.listTopRanked().includes(address))
    fleet.cutFromStore(cut)
    fleet.network.setCallFaults((from, _to, method) => cut.includes(from) && method === 'fleet.exchange' ? { type: 'closed' } : undefined)
    await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
    const changed = makeConfiguration(2, FIRST_ROUTES + 1)
    fleet.publish(changed)
    const refusing = await findLateRefusals(fleet, changed.routes.at(-1)!, ACTIVATION_LIMIT_MS)
    test.diagnostic(`${refusing.size} of ${cut.length} daemons refuse it after the limit, the last one ${Math.max(0, ...refusing.values())} ms after the change; ${fleet.listBehind(2).length} lack it ${ACTIVATION_LIMIT_MS + OBSERVED_MS} ms after it`)
    expect([...refusing]).toEqual([])
    await fleet.close()
  })

  for (const { boundMs, ...size } of SILENCED_FLEETS) {
    const daemonCount = size.daemonCount ?? size.zones.length * size.daemonsPerZone
    for (const delayMs of SILENCE_DELAYS_MS) {
      // Guards against a read of the list of runners that vouches for a configuration which nobody has read.
      it(`isn't refused as not found after the limit by ${daemonCount} daemons while connections to the store are silent and the reader gets no answer about the configuration, changed after ${delayMs} ms`, async (test) => {
        const fleet = await SimulatedFleet.create({ ...size, bytesPerMs: 17_500, bounds: { drainWithinMs: boundMs, applyWithinMs: boundMs } }, makeConfiguration(1, FIRST_ROUTES))
        fleet.addRunners(8)
        await fleet.clock.runFor(3_000 + delayMs)
        fleet.stallConfigurationReads([...fleet.daemons].filter(([, { storeRole }]) => storeRole === 'reader').map(([address]) => address))
        fleet.silenceStoreReads()
        const changed = makeConfiguration(2, FIRST_ROUTES + 1)
        fleet.publish(changed)
        const refusing = await findLateRefusals(fleet, changed.routes.at(-1)!, boundMs)
        test.diagnostic(`${refusing.size} daemons refuse it after the limit, the last one ${Math.max(0, ...refusing.values())} ms after the change`)
        expect([...refusing]).toEqual([])
        await fleet.close()
      })
    }
  }
})
