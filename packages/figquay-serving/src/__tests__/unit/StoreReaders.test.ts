/** Fleets of any size whose connections to the store go silent, or whose readers of the store are cut off together, apply changes in time. */
import { describe, it, type TestContext } from 'node:test'
import { expect } from 'earl'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions } from '../standins/SimulatedFleet.js'

const BYTES_PER_MS = 17_500
const RUNNER_COUNT = 4
const STEP_MS = 25
const SECOND_MS = 1_000
const CALM_SECONDS = 5
/** Changes are made at these times after the disturbance, in milliseconds, so that they fall before and after reads of all kinds. */
const CHANGE_DELAYS_MS = [0, 50, 170, 310, 480, 600, 830, 1_100]
/** Calls per second that the sites' stores allow all daemons together (`reads-per-s`, the larger of two rates). */
const MAX_CALLS_PER_SECOND = 2_000
/** In the largest fleet, which takes minutes to play. */
const FEW_CHANGE_DELAYS_MS = [50, 600, 1_100]
/** Fleets with the bounds of sites of their size, in milliseconds (`drain-ms`, `apply-ms`). */
const FLEETS: ReadonlyArray<Pick<SimulatedFleetOptions, 'zones' | 'daemonsPerZone'> & { readonly boundMs: number, readonly delays: readonly number[] }> = [
  { zones: ['a', 'b'], daemonsPerZone: 4, boundMs: 2_000, delays: CHANGE_DELAYS_MS },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 22, boundMs: 3_000, delays: CHANGE_DELAYS_MS },
  { zones: ['a', 'b', 'c', 'd', 'e', 'f'], daemonsPerZone: 55, boundMs: 4_000, delays: FEW_CHANGE_DELAYS_MS }
]

/** Runs until a condition holds, or for `limitMs`; returns the time that it took, in milliseconds. */
async function runUntil (fleet: SimulatedFleet, limitMs: number, isMet: () => boolean): Promise<number> {
  const startedAtMs = fleet.clock.readMonotonicMs()
  while (!isMet() && fleet.clock.readMonotonicMs() - startedAtMs < limitMs) await fleet.clock.runFor(STEP_MS)
  return fleet.clock.readMonotonicMs() - startedAtMs
}

function formatTimes (times: readonly number[]): string {
  const sorted = [...times].sort((a, b) => a - b)
  return `half ${sorted[Math.floor(sorted.length / 2)]} ms, most ${sorted.at(-1)} ms`
}

/** Repeats a disturbance with changes at different times after it; checks that all daemons in touch apply each within the bound. */
async function checkChanges (test: TestContext, fleet: SimulatedFleet, { boundMs, delays }: { readonly boundMs: number, readonly delays: readonly number[] }, disturb: () => readonly string[], settle: (cut: readonly string[]) => void): Promise<void> {
  const times: number[] = []
  const missed: string[] = []
  const calls: number[] = []
  for (const [index, delayMs] of delays.entries()) {
    const version = index + 2
    const cut = disturb()
    await fleet.clock.runFor(delayMs)
    const callsBefore = fleet.storeCallCount
    fleet.publish(makeConfiguration(version, 49 + version))
    const runner = `runner-${index}`
    fleet.removeRunner(runner)
    const listMissing = (): string[] => [...fleet.listBehind(version).filter((address) => !cut.includes(address)), ...fleet.listDaemonsWithRunner(runner, cut)]
    times.push(await runUntil(fleet, boundMs, () => listMissing().length === 0))
    missed.push(...listMissing().map((address) => `${address}, change ${delayMs} ms after the disturbance`))
    calls.push((fleet.storeCallCount - callsBefore) / (Math.max(times.at(-1)!, SECOND_MS) / SECOND_MS))
    settle(cut)
    await fleet.clock.runFor(3 * SECOND_MS)
  }
  const callsBefore = fleet.storeCallCount
  await fleet.clock.runFor(CALM_SECONDS * SECOND_MS)
  test.diagnostic(`from the write to its effect everywhere: ${formatTimes(times)}; calls a second: ${((fleet.storeCallCount - callsBefore) / CALM_SECONDS).toFixed(1)} in calm, ${Math.round(Math.max(...calls))} at most meanwhile`)
  expect([missed, Math.max(...calls) <= MAX_CALLS_PER_SECOND]).toEqual([[], true])
}

describe('readers of the store in calm', () => {
  for (const { boundMs, zones, daemonsPerZone } of FLEETS) {
    it(`are one of ${zones.length * daemonsPerZone} daemons, however the runners' writes are spread over time`, async () => {
      const fleet = await SimulatedFleet.create({ zones, daemonsPerZone, bytesPerMs: BYTES_PER_MS, bounds: { drainWithinMs: boundMs, applyWithinMs: boundMs } }, makeConfiguration(1, 49))
      // The runners were started together: their writes come together, too.
      fleet.addRunners(RUNNER_COUNT, 30)
      await fleet.clock.runFor(3 * SECOND_MS)
      const counts = new Set<number>()
      for (let elapsedMs = 0; elapsedMs < CALM_SECONDS * SECOND_MS; elapsedMs += STEP_MS) {
        await fleet.clock.runFor(STEP_MS)
        counts.add([...fleet.daemons.values()].filter(({ storeRole }) => storeRole === 'reader').length)
      }
      expect([...counts]).toEqual([1])
      await fleet.close()
    })
  }
})

describe('changes in the store', () => {
  for (const { boundMs, delays, ...size } of FLEETS) {
    const limits = { boundMs, delays }
    const daemonCount = size.zones.length * size.daemonsPerZone
    const createFleet = async (): Promise<SimulatedFleet> => {
      const fleet = await SimulatedFleet.create({ ...size, bytesPerMs: BYTES_PER_MS, bounds: { drainWithinMs: boundMs, applyWithinMs: boundMs } }, makeConfiguration(1, 49))
      fleet.addRunners(CHANGE_DELAYS_MS.length + RUNNER_COUNT)
      await fleet.clock.runFor(3 * SECOND_MS)
      return fleet
    }

    it(`reach ${daemonCount} daemons in time although the connections on which reads wait go silent`, async (test) => {
      const fleet = await createFleet()
      await checkChanges(test, fleet, limits, () => {
        fleet.silenceStoreReads()
        return []
      }, () => {})
      await fleet.close()
    })

    it(`reach those of ${daemonCount} daemons in time that are not cut off, although all that read for the others are`, async (test) => {
      const fleet = await createFleet()
      await checkChanges(test, fleet, limits, () => {
        const readers = fleet.listStoreReaders()
        fleet.cutFromStore(readers)
        return readers
      }, (cut) => fleet.healStoreLinks(cut))
      await fleet.close()
    })
  }
})
