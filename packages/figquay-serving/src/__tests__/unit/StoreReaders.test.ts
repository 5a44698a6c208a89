/** Fleets of any size whose store drops its history, whose connections to it go silent, or whose readers are cut off together, apply changes in time. */
import { describe, it, type TestContext } from 'node:test'
import { expect } from 'earl'
import type { Logger } from 'figquay'
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

/** Fleets whose store drops its history, and when it begins to reset connections, in milliseconds after that. */
const FORGETTING_FLEETS: ReadonlyArray<Pick<SimulatedFleetOptions, 'zones' | 'daemonsPerZone' | 'daemonCount'> & { readonly boundMs: number, readonly resetStarts: readonly number[] }> = [
  { zones: ['a', 'b'], daemonsPerZone: 4, boundMs: 2_000, resetStarts: [0, 600, 1_200, 2_000] },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 22, boundMs: 3_000, resetStarts: [0, 600, 2_000] },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 27, daemonCount: 80, boundMs: 3_000, resetStarts: [0, 600, 2_000] },
  { zones: ['a', 'b', 'c', 'd', 'e', 'f'], daemonsPerZone: 55, boundMs: 4_000, resetStarts: [2_000] }
]
/** Latency of the store after it has dropped its history, in milliseconds: 50 times the usual one. */
const SLOW_LATENCY_MS = 200
/** It resets all connections for this long, in milliseconds. */
const RESET_MS = 1_000
/** It responds slowly until this time of the measured span, in milliseconds. */
const SLOW_END_MS = 5_300
/** Length of the measured span, in milliseconds. */
const SPAN_MS = 8_000
/** Changes are made at these times after the first reset, in milliseconds: while connections are reset, while the store is slow, and afterwards. */
const CHANGES_AFTER_RESET_MS = [100, 400, 700, 950, 1_500, 3_200]
/** Daemons of a data centre that may read the store at one time. */
const MAX_ZONE_READERS = 3
/** Calls within any second, as a multiple of those in the worst second without the fault. */
const MAX_CALL_RATIO = 3
/** Bytes between data centres in the span, as a multiple of those without the fault. */
const MAX_BYTES_RATIO = 1.2

/** What the daemons did in a span. */
interface SpanFigures {
  readonly calls: number
  readonly worstSecond: number
  readonly snapshotReads: number
  readonly crossZoneBytes: number
  readonly roleChanges: number
  /** Most daemons of a data centre that read the store at one time. */
  readonly zoneReaders: number
  readonly longestChangeMs: number
  /** Changes that a daemon didn't have within the bound. */
  readonly missed: readonly string[]
}

/** Counts the role changes of all daemons by their log lines. */
class RoleChangeCounter {
  count = 0

  readonly createLogger = (): Logger => ({
    debug: () => {},
    info: (message) => {
      if (message === 'store role changed') this.count += 1
    },
    warn: () => {},
    error: () => {}
  })
}

/** Plays a span with changes, and measures it; `disturb` is called at the start of each step with the time since the start of the span. */
async function playSpan (fleet: SimulatedFleet, counter: RoleChangeCounter, { firstVersion, boundMs, resetStartMs }: { readonly firstVersion: number, readonly boundMs: number, readonly resetStartMs: number }, disturb: (elapsedMs: number) => void): Promise<SpanFigures> {
  const before = { calls: fleet.storeCallCount, snapshotReads: fleet.snapshotReadCount, bytes: fleet.countCrossZoneBytes(), roles: counter.count }
  const callCounts: number[] = []
  const missed: string[] = []
  let pending: Array<{ readonly version: number, readonly runner: string, readonly madeAtMs: number }> = []
  let zoneReaders = 0
  let longestChangeMs = 0
  for (let elapsedMs = 0; elapsedMs < SPAN_MS; elapsedMs += STEP_MS) {
    disturb(elapsedMs)
    const change = CHANGES_AFTER_RESET_MS.indexOf(elapsedMs - resetStartMs)
    if (change >= 0) {
      const made = { version: firstVersion + change, runner: `runner-${firstVersion - 2 + change}`, madeAtMs: elapsedMs }
      fleet.publish(makeConfiguration(made.version, 49 + made.version))
      fleet.announceLeaving(made.runner)
      pending.push(made)
    }
    callCounts.push(fleet.storeCallCount)
    await fleet.clock.runFor(STEP_MS)
    const readerZones = fleet.listStoreReaders().map((address) => address.split('.')[1])
    zoneReaders = Math.max(zoneReaders, ...readerZones.map((zone) => readerZones.filter((other) => other === zone).length))
    const unmet = pending.filter(({ version, runner }) => fleet.listBehind(version).length + fleet.listDaemonsUsingRunner(runner).length > 0)
    for (const { madeAtMs } of pending) {
      const isUnmet = unmet.some((entry) => entry.madeAtMs === madeAtMs)
      const tookMs = elapsedMs + STEP_MS - madeAtMs
      if (!isUnmet) longestChangeMs = Math.max(longestChangeMs, tookMs)
      else if (tookMs >= boundMs && tookMs < boundMs + STEP_MS) missed.push(`change at ${madeAtMs} ms`)
    }
    pending = unmet
  }
  const stepsPerSecond = SECOND_MS / STEP_MS
  const worstSecond = Math.max(...callCounts.slice(stepsPerSecond).map((count, index) => count - callCounts[index]!))
  return { calls: fleet.storeCallCount - before.calls, worstSecond, snapshotReads: fleet.snapshotReadCount - before.snapshotReads, crossZoneBytes: fleet.countCrossZoneBytes() - before.bytes, roleChanges: counter.count - before.roles, zoneReaders, longestChangeMs, missed }
}

describe('a store that drops its history, resets its connections and responds slowly', () => {
  for (const { boundMs, resetStarts, ...size } of FORGETTING_FLEETS) {
    const daemonCount = size.daemonCount ?? size.zones.length * size.daemonsPerZone
    for (const resetStartMs of resetStarts) {
      // Guards against all daemons reading the store for themselves while those that read for them have not yet succeeded.
      it(`is read by no more than three of each data centre of ${daemonCount} daemons, which have each change in time, if the resets begin after ${resetStartMs} ms`, async (test) => {
        const counter = new RoleChangeCounter()
        const fleet = await SimulatedFleet.create({ ...size, bytesPerMs: BYTES_PER_MS, bounds: { drainWithinMs: boundMs, applyWithinMs: boundMs }, createLogger: counter.createLogger }, makeConfiguration(1, 49))
        fleet.addRunners(2 * CHANGES_AFTER_RESET_MS.length + RUNNER_COUNT)
        await fleet.clock.runFor(3 * SECOND_MS)
        const usual = await playSpan(fleet, counter, { firstVersion: 2, boundMs, resetStartMs }, () => {})
        const disturbed = await playSpan(fleet, counter, { firstVersion: 2 + CHANGES_AFTER_RESET_MS.length, boundMs, resetStartMs }, (elapsedMs) => disturbStore(fleet, elapsedMs, resetStartMs))
        test.diagnostic(`usual: ${JSON.stringify(usual)}`)
        test.diagnostic(`disturbed: ${JSON.stringify(disturbed)}`)
        await fleet.close()
        expect(disturbed.missed).toEqual([])
        expect({ zoneReaders: disturbed.zoneReaders <= MAX_ZONE_READERS, worstSecond: disturbed.worstSecond <= MAX_CALL_RATIO * usual.worstSecond, crossZoneBytes: disturbed.crossZoneBytes <= MAX_BYTES_RATIO * usual.crossZoneBytes })
          .toEqual({ zoneReaders: true, worstSecond: true, crossZoneBytes: true })
      })
    }
  }
})

/** Disturbs the store as it is due at a time of the span. */
function disturbStore (fleet: SimulatedFleet, elapsedMs: number, resetStartMs: number): void {
  if (elapsedMs === 0) {
    fleet.dropStoreHistory()
    fleet.setStoreLatency(SLOW_LATENCY_MS)
  }
  if (elapsedMs === resetStartMs) fleet.setStoreResetting(true)
  if (elapsedMs === resetStartMs + RESET_MS) {
    fleet.setStoreResetting(false)
    // Whatever was written while no connection stayed open.
    fleet.dropStoreHistory()
  }
  if (elapsedMs === SLOW_END_MS) fleet.setStoreLatency()
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
