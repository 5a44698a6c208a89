/** A new configuration reaches every daemon of a large fleet in time, however large it is and however slow the links are. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions } from '../standins/SimulatedFleet.js'

/** A configuration must be in force everywhere within this time after its acknowledgement, in milliseconds (the sites' `apply-ms`). */
const ACTIVATION_LIMIT_MS = 3_000
/** The slowest links of the users' VMs, 7 Mbit/s, in bytes per millisecond. */
const SLOW_LINK_BYTES_PER_MS = 875
/** The fastest links of these VMs, 140 Mbit/s, in bytes per millisecond. */
const FAST_LINK_BYTES_PER_MS = 17_500
/** Time between two changes at the size to design for, 37,000 a day, in milliseconds. */
const CHANGE_INTERVAL_MS = 86_400_000 / 37_000
/** Bytes per millisecond that a daemon may spend on control at that size (3 KB a second). */
const MAX_CONTROL_BYTES_PER_MS = 3
/** Time in which 76 daemons of that size start, in milliseconds. */
const LARGE_DOCUMENT_SETTLE_MS = 30_000
/** Four data centres of 19 VMs, as at the site where daemons missed configurations. */
const LARGE_FLEET: SimulatedFleetOptions = { zones: ['a', 'b', 'c', 'd'], daemonsPerZone: 19, bytesPerMs: SLOW_LINK_BYTES_PER_MS }

describe('delivery of configurations in a large fleet', () => {
  it('brings 2,000 added routes to every daemon in time', async () => {
    const fleet = await SimulatedFleet.create(LARGE_FLEET, makeConfiguration(1, 49))
    expect(fleet.listBehind(1)).toEqual([])
    fleet.publish(makeConfiguration(2, 2_047))
    await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
    expect(fleet.listBehind(2)).toEqual([])
    await fleet.close()
  })

  it('brings them to every daemon in time although the first daemons of each data centre stop at that moment', async () => {
    const fleet = await SimulatedFleet.create(LARGE_FLEET, makeConfiguration(1, 49))
    fleet.publish(makeConfiguration(2, 2_047))
    for (const address of fleet.listTopRanked()) fleet.suspendDaemon(address)
    await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
    expect(fleet.listBehind(2)).toEqual([])
    await fleet.close()
  })

  it('costs what has changed, not the size of the document, when one route of 20,000 changes', async () => {
    const fleet = await SimulatedFleet.create({ ...LARGE_FLEET, bytesPerMs: FAST_LINK_BYTES_PER_MS }, makeConfiguration(1, 20_000))
    await fleet.clock.runFor(LARGE_DOCUMENT_SETTLE_MS)
    expect(fleet.listBehind(1)).toEqual([])
    const before = fleet.countSentBytes()
    await fleet.clock.runFor(CHANGE_INTERVAL_MS)
    const idleBytes = fleet.countSentBytes() - before
    const changed = makeConfiguration(1, 20_000)
    fleet.publish({ ...changed, version: 2, routes: changed.routes.map((route, index) => index === 7 ? { ...route, timeoutMs: 900 } : route) })
    await fleet.clock.runFor(CHANGE_INTERVAL_MS)
    expect(fleet.listBehind(2)).toEqual([])
    const bytesPerDaemon = (fleet.countSentBytes() - before - 2 * idleBytes) / fleet.daemons.size
    expect(bytesPerDaemon <= MAX_CONTROL_BYTES_PER_MS * CHANGE_INTERVAL_MS).toEqual(true)
    await fleet.close()
  })
})
