/** A change of the configuration is in force at every daemon in time although calls between daemons fail or are answered late, and connections to the store go silent. */
import { describe, it, type TestContext } from 'node:test'
import { expect } from 'earl'
import { makeConfiguration, SimulatedFleet, type SimulatedFleetOptions } from '../standins/SimulatedFleet.js'

/** Sizes of the users' sites, with the slowest links there in bytes per millisecond, and the bounds in milliseconds (`apply-ms`). */
const FLEETS: ReadonlyArray<Pick<SimulatedFleetOptions, 'zones' | 'daemonsPerZone' | 'daemonCount' | 'bytesPerMs'> & { readonly boundMs: number }> = [
  { zones: ['a', 'b'], daemonsPerZone: 4, bytesPerMs: 125_000, boundMs: 2_000 },
  { zones: ['a', 'b', 'c'], daemonsPerZone: 29, daemonCount: 85, bytesPerMs: 875, boundMs: 3_000 }
]
const LARGEST_FLEET = { zones: ['a', 'b', 'c', 'd', 'e', 'f'], daemonsPerZone: 55, bytesPerMs: 1_750, boundMs: 4_000 }
const FIRST_ROUTES = 49
const ADDED_ROUTES = 1_392
const STEP_MS = 25
/** Daemons of a data centre that may read the whole configuration from the store, on average. */
const MAX_ZONE_DOCUMENTS = 3
/** Lateness of a daemon that lacks processor time, in milliseconds: longer than an exchange may take. */
const LATE_MS = 450

type FaultName = 'closed once' | 'closed twice' | 'late roots' | 'silent transfers' | 'silent store'

/** Applies a fault to a fleet; it hits the calls between daemons that follow. */
function startFaults (fleet: SimulatedFleet, faults: readonly FaultName[]): void {
  const roots = new Set(fleet.listTopRanked())
  const attempts = new Map<string, number>()
  const closedCalls = faults.includes('closed twice') ? 2 : faults.includes('closed once') ? 1 : 0
  fleet.network.setCallFaults((from, to, method) => {
    if (method === 'fleet.configuration') {
      attempts.set(from, (attempts.get(from) ?? 0) + 1)
      if (attempts.get(from)! <= closedCalls) return { type: 'closed' }
      if (faults.includes('silent transfers') && roots.has(to)) return { type: 'late', delayMs: Number.POSITIVE_INFINITY }
    }
    return faults.includes('late roots') && roots.has(to) ? { type: 'late', delayMs: LATE_MS } : undefined
  })
  if (faults.includes('silent store')) fleet.silenceStoreReads()
}

/** Faults of the deliveries, each alone and two at once. */
const FAULTS: ReadonlyArray<readonly FaultName[]> = [
  ['closed once'], ['closed twice'], ['late roots'], ['silent transfers'], ['silent store'],
  ['closed once', 'late roots'], ['closed once', 'silent transfers'], ['closed once', 'silent store'], ['late roots', 'silent store'], ['silent transfers', 'silent store']
]

/** Publishes a change; returns the time until the last daemon has it, and the daemons that lack it at the bound. */
async function playChange (test: TestContext, { boundMs, ...size }: typeof FLEETS[number], faults: readonly FaultName[], addedRoutes: number): Promise<{ readonly missing: readonly string[], readonly zoneDocuments: number }> {
  const fleet = await SimulatedFleet.create({ ...size, bounds: { drainWithinMs: boundMs, applyWithinMs: boundMs } }, makeConfiguration(1, FIRST_ROUTES))
  startFaults(fleet, faults)
  fleet.publish(makeConfiguration(2, FIRST_ROUTES + addedRoutes))
  const times: number[] = []
  const documentsBefore = fleet.configurationsSentCount
  for (let elapsedMs = STEP_MS; elapsedMs <= boundMs; elapsedMs += STEP_MS) {
    await fleet.clock.runFor(STEP_MS)
    const count = fleet.daemons.size - fleet.listBehind(2).length
    while (times.length < count) times.push(elapsedMs)
  }
  const missing = fleet.listBehind(2)
  const zoneDocuments = (fleet.configurationsSentCount - documentsBefore) / size.zones.length
  test.diagnostic(`half of the daemons after ${times[Math.floor(fleet.daemons.size / 2)]} ms, the last one after ${missing.length === 0 ? times.at(-1) : 'more than'} ${missing.length === 0 ? 'ms' : `${boundMs} ms`}; ${fleet.configurationsSentCount - documentsBefore} whole configurations read from the store`)
  await fleet.close()
  return { missing, zoneDocuments }
}

describe('a change of the configuration', () => {
  for (const fleet of FLEETS) {
    const count = fleet.daemonCount ?? fleet.zones.length * fleet.daemonsPerZone
    for (const faults of FAULTS) {
      it(`is in force at ${count} daemons in time: ${faults.join(', ')}`, async (test) => {
        const { missing, zoneDocuments } = await playChange(test, fleet, faults, ADDED_ROUTES)
        expect([missing, zoneDocuments <= MAX_ZONE_DOCUMENTS]).toEqual([[], true])
      })
    }
  }

  it('is in force at 330 daemons in time: closed once, late roots', async (test) => {
    const { missing, zoneDocuments } = await playChange(test, LARGEST_FLEET, ['closed once', 'late roots'], ADDED_ROUTES)
    expect([missing, zoneDocuments <= MAX_ZONE_DOCUMENTS]).toEqual([[], true])
  })
})
