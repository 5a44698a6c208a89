/** Many requests wait for a model that no runner holds: the daemon's messages follow what changes, not how many wait. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SystemClock, type Refusal } from 'figquay'
import { ConfigurationHolder, FleetRunnerTable, PromptMemory, type FleetConfiguration, type Holdings, type ModelSpec, type Route, type Runner } from 'figquay-fleet'
import { ServingDispatcher, type RunnerExchangeClient, type ServedRequest } from '../../index.js'

const ROUTE: Route = {
  name: 'r', host: 'h', pathPrefix: '/', repeat: 'at-most-once', isStream: true, isResumable: false, timeoutMs: 5_000, objectiveMs: 100, patienceMs: 5_000, priority: 0, targets: [], maxAttempts: 1
}
const SPEC: ModelSpec = { name: 'm', weightsMb: 1, storeLoadMs: 300, diskLoadMs: 50, memoryLoadMs: 50, adapterCount: 1, adapterMb: 0 }
const CONFIGURATION: FleetConfiguration = {
  version: 1,
  routes: [],
  services: new Map([['s', { name: 's', healthPath: '/h', maxConnections: 1, engine: { slots: 8, kvTokens: 1, weightsMb: 1, adapterSlots: 1, loadsPerSecond: 1, models: new Map([['m', SPEC], ['n', { ...SPEC, name: 'n' }]]) } }]]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

function makeHoldings (names: readonly string[]): Holdings {
  return { models: names.map((name) => ({ name, adapters: [] })), coming: [], isBusy: false, inMemory: [], onDisk: [] }
}

function makeRunner (id: string, names: readonly string[]): Runner {
  return { id, service: 's', address: `${id}:1`, zone: 'z', slots: 500, isLeaving: false, bornMs: 1, holdings: makeHoldings(names) }
}

function makeDispatcher () {
  const clock = SystemClock.create()
  const table = FleetRunnerTable.create(clock)
  const configurations = ConfigurationHolder.create()
  configurations.adoptConfiguration(CONFIGURATION)
  let announced = 0
  const exchanges = { hasConnection: () => false } as unknown as RunnerExchangeClient
  const dispatcher: ServingDispatcher = ServingDispatcher.create({
    clock,
    zone: 'z',
    configurations,
    table,
    exchanges,
    memory: PromptMemory.create(clock),
    announceNeeds: () => {
      announced += 1
      dispatcher.listNeeds()
    }
  })
  const find = (model: string): Promise<Runner | Refusal> => {
    const arrivedAtMs = clock.readMonotonicMs()
    const request: ServedRequest = { id: 'a', route: ROUTE, service: 's', model, adapter: undefined, promptTokens: 0, parts: [], fingerprint: 'f', arrivedAtMs, deadlineAtMs: arrivedAtMs + 5_000, payload: undefined }
    return dispatcher.findRunner(request, new Set(), new AbortController().signal)
  }
  return { clock, table, dispatcher, find, countAnnounced: () => announced }
}

describe('requests that wait for a model', () => {
  it('tell of it once, however many they are and whatever changes meanwhile', async () => {
    const { clock, table, dispatcher, find, countAnnounced } = makeDispatcher()
    for (const id of ['r1', 'r2']) table.putRunner(makeRunner(id, ['n']), 1)
    const waiting = Array.from({ length: 200 }, () => find('m'))
    await clock.waitFor(0)
    for (let position = 2; position < 40; position += 1) table.putRunner(makeRunner('r2', position % 2 === 0 ? [] : ['n']), position)
    // Longer than after which each looks again by itself.
    await clock.waitFor(600)
    expect([countAnnounced(), dispatcher.listNeeds().map(({ model, waiting: count }) => [model, count])]).toEqual([1, [['m', 200]]])
    table.putHoldings('r1', 1, makeHoldings(['m']))
    const choices = await Promise.all(waiting)
    expect(new Set(choices.map((choice) => 'id' in choice ? choice.id : choice.code))).toEqual(new Set(['r1']))
    expect([dispatcher.listNeeds(), countAnnounced()]).toEqual([[], 1])
  })

  it('go on as soon as a runner holds it', async () => {
    const { clock, table, find } = makeDispatcher()
    table.putRunner(makeRunner('r1', ['n']), 1)
    const waiting = find('m')
    await clock.waitFor(20)
    const heldAtMs = clock.readMonotonicMs()
    table.putHoldings('r1', 1, makeHoldings(['m']))
    await waiting
    expect(clock.readMonotonicMs() - heldAtMs < 100).toEqual(true)
  })
})
