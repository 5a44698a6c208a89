/** Daemons of weak and strong VMs: those that tell all others what changes are strong ones, so that no link is overloaded and every daemon has each change in time. */
import { describe, it, type TestContext } from 'node:test'
import { expect } from 'earl'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions, type SimulatedVm } from '../standins/SimulatedFleet.js'

/** A configuration must be in force everywhere within this time after its acknowledgement, in milliseconds (the site's `apply-ms`). */
const ACTIVATION_LIMIT_MS = 3_000
/** VMs of the users' largest site with weak ones: cores, and links in bytes per millisecond (140, 17.5 and 7 Mbit/s). */
const STRONG_VM: SimulatedVm = { cores: 1.35, bytesPerMs: 17_500 }
const MEDIUM_VM: SimulatedVm = { cores: 0.81, bytesPerMs: 2_187 }
const WEAK_VM: SimulatedVm = { cores: 0.243, bytesPerMs: 875 }
const STRONG_VMS = 2
const WEAK_VMS = 20
/** Runners there, and how often the models of any of them change a second while demand moves. */
const RUNNER_COUNT = 98
const CHANGES_PER_SECOND = 90
/** The same while only weak VMs are there, which carry less. */
const WEAK_CHANGES_PER_SECOND = 45
/** Time for which the runners change before the configuration does, in milliseconds. */
const BUSY_MS = 6_000
/** Calls to the store in a second, as a multiple of those in calm. */
const MAX_CALL_RATIO = 3
const FIRST_ROUTES = 49
const ADDED_ROUTES = 40

/** In each data centre, the strong VMs come first, then the weak ones. */
function findVm (_zoneIndex: number, index: number): SimulatedVm {
  if (index < STRONG_VMS) return STRONG_VM
  return index < STRONG_VMS + WEAK_VMS ? WEAK_VM : MEDIUM_VM
}

async function createFleet (options: Partial<SimulatedFleetOptions> = {}): Promise<SimulatedFleet> {
  return await SimulatedFleet.create({ zones: ['a', 'b', 'c'], daemonsPerZone: 29, daemonCount: 85, bytesPerMs: WEAK_VM.bytesPerMs, findVm, ...options }, makeConfiguration(1, FIRST_ROUTES))
}

async function countCalls (fleet: SimulatedFleet, run: () => Promise<void>): Promise<number> {
  const callsBefore = fleet.storeCallCount
  await run()
  return fleet.storeCallCount - callsBefore
}

/** Changes the models of runners, and the configuration thrice; checks that every daemon has each version in time, and how often the store is called. */
async function checkBusyFleet (test: TestContext, fleet: SimulatedFleet, changesPerSecond: number): Promise<void> {
  const calmCalls = await countCalls(fleet, () => fleet.clock.runFor(BUSY_MS))
  fleet.addChangingRunners(RUNNER_COUNT, changesPerSecond)
  const busyCalls = await countCalls(fleet, () => fleet.clock.runFor(BUSY_MS))
  const late: string[] = []
  for (const version of [2, 3, 4]) {
    fleet.publish(makeConfiguration(version, FIRST_ROUTES + ADDED_ROUTES * version))
    await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
    late.push(...fleet.listBehind(version).map((address) => `${address}, version ${version}`))
  }
  test.diagnostic(`calls to the store in ${BUSY_MS} ms: ${calmCalls} in calm, ${busyCalls} while the models change`)
  await fleet.close()
  expect([late, busyCalls <= MAX_CALL_RATIO * calmCalls]).toEqual([[], true])
}

describe('a fleet of uneven VMs', () => {
  // Guards against a weak VM at the top of the tree, whose link carries less than its descendants need: they take turns at reading the store then.
  it('has each change of the configuration in time at every daemon, and reads the store no more often, while the runners\' models change', async (test) => {
    await checkBusyFleet(test, await createFleet(), CHANGES_PER_SECOND)
  })

  // Guards against a daemon that sends every change to all others of its data centre, whatever its VM.
  it('has them in time, and reads the store no more often, where all VMs are weak', async (test) => {
    await checkBusyFleet(test, await createFleet({ findVm: () => WEAK_VM }), WEAK_CHANGES_PER_SECOND)
  })

  // Daemons of the release before rank all by the hash of their address, and tell nobody of their processor.
  it('has each change in time at every daemon although every second one is of the release before', async () => {
    const fleet = await createFleet({ isPreviousRelease: (_zoneIndex, index) => index % 2 === 1 })
    fleet.addChangingRunners(RUNNER_COUNT, CHANGES_PER_SECOND / 10)
    await fleet.clock.runFor(BUSY_MS)
    const late: string[] = []
    for (const version of [2, 3, 4]) {
      fleet.publish(makeConfiguration(version, FIRST_ROUTES + ADDED_ROUTES * version))
      await fleet.clock.runFor(ACTIVATION_LIMIT_MS)
      late.push(...fleet.listBehind(version).map((address) => `${address}, version ${version}`))
    }
    await fleet.close()
    expect(late).toEqual([])
  })

  it('has strong VMs at the top of its tree', async () => {
    const fleet = await createFleet()
    const readers = fleet.listStoreReaders().map((address) => findVm(0, Number(address.split(':')[0]!.split('.')[3])))
    await fleet.close()
    expect(readers).toEqual([STRONG_VM, STRONG_VM, STRONG_VM])
  })
})
