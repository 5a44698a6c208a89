/** Configurations between daemons: differences, whole documents, busy and broken sources, and versions of which only the existence is known. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { hashText, JsonLogger, makeFailure, makeSuccess, Refusal, TaskGroup, type Outcome } from 'figquay'
import { applyConfigurationUpdate, computeConfigurationUpdate, ConfigurationHolder, type FleetConfiguration, type Route } from 'figquay-fleet'
import { ConfigurationSource, ConfigurationSync, type ConfigurationReply, type ConfigurationRequest } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'
import { makeConfiguration } from '../standins/SimulatedFleet.js'

/** Time that peers get before the store is read, in milliseconds. */
const FALLBACK_MS = 1_200
const MODEL = { name: 'm', weightsMb: 1, storeLoadMs: 1, diskLoadMs: 1, memoryLoadMs: 1, adapterCount: 0, adapterMb: 0 }
/** Longest time until a peer that has closed the connection is asked again, in milliseconds, with its response. */
const CLOSED_RETRY_MS = 300
/** Time within which a daemon has a version once the peer that has it is connected again, in milliseconds. */
const RECONNECTED_MS = 400
/** Longest time in which a daemon that knows of a newer version and can get it nowhere reads the store, in milliseconds. */
const STORE_READ_LIMIT_MS = 2_000

function addEngine (configuration: FleetConfiguration): FleetConfiguration {
  const engine = { slots: 1, kvTokens: 1, weightsMb: 1, adapterSlots: 0, loadsPerSecond: 1, models: new Map([['m', MODEL]]) }
  return { ...configuration, services: new Map([['assistant', { name: 'assistant', healthPath: '/health', maxConnections: 1, engine }]]) }
}

function makePeer (clock: SimulatedClock, ...configurations: FleetConfiguration[]) {
  const holder = ConfigurationHolder.create()
  for (const configuration of configurations) holder.adoptConfiguration(configuration)
  return { holder, source: ConfigurationSource.create({ clock, configurations: holder, listPeersWith: () => [] }) }
}

/** A daemon whose calls are answered by `respond`, after a moment. */
function makeReceiver (clock: SimulatedClock, respond: (peer: string, request: ConfigurationRequest) => Outcome<ConfigurationReply, string>, stored?: FleetConfiguration | Promise<never>, listConnected: () => string[] = () => ['a', 'b']) {
  const logger = JsonLogger.create('test', 'silent')
  const tasks = TaskGroup.create(clock, logger)
  const configurations = ConfigurationHolder.create()
  const calls: ConfigurationRequest[] = []
  const callPeer = async <T>(peer: string, _method: string, request: unknown): Promise<Outcome<T, string>> => {
    calls.push(request as ConfigurationRequest)
    await clock.waitFor(1)
    return JSON.parse(JSON.stringify(respond(peer, request as ConfigurationRequest))) as Outcome<T, string>
  }
  const sync = ConfigurationSync.create({ self: 'self', clock, logger, tasks, configurations, callPeer, listConnected, computeFallbackMs: () => FALLBACK_MS, isStoreReadRecent: () => true, readFromStore: async () => stored })
  return { sync, configurations, calls, tasks }
}

const routeArbitrary: fc.Arbitrary<Route> = fc.record({
  name: fc.constant('r'), host: fc.constantFrom('x', 'y'), pathPrefix: fc.constantFrom('/', '/a/', '/a/b/'), repeat: fc.constant('idempotent' as const), isStream: fc.boolean(), isResumable: fc.constant(false), timeoutMs: fc.integer({ min: 1, max: 3 }), objectiveMs: fc.constant(1), patienceMs: fc.constant(1), maxPauseMs: fc.constant(0), isPublic: fc.constant(false), priority: fc.constant(0), targets: fc.constant([]), maxAttempts: fc.constant(1)
}, { noNullPrototype: true })

describe('changes between two configurations', () => {
  it('turn one into the other, whatever differs', () => {
    fc.assert(fc.property(fc.array(routeArbitrary, { maxLength: 8 }), fc.array(routeArbitrary, { maxLength: 8 }), fc.boolean(), (before, after, hasEngine) => {
      const empty = makeConfiguration(1, 0)
      const holder = ConfigurationHolder.create()
      holder.adoptConfiguration({ ...empty, routes: before })
      const base = holder.current!
      holder.adoptConfiguration({ ...hasEngine ? addEngine(empty) : empty, version: 2, routes: after })
      const update = JSON.parse(JSON.stringify(computeConfigurationUpdate(base, holder.current!))) as ReturnType<typeof computeConfigurationUpdate>
      const result = ConfigurationHolder.create()
      result.adoptConfiguration(applyConfigurationUpdate(base, update)!)
      for (const host of ['x', 'y']) for (const path of ['/', '/a/', '/a/b/c']) expect(result.findRoute(host, path)).toEqual(holder.findRoute(host, path))
      expect(result.current!.services).toEqual(holder.current!.services)
    }))
  })

  it('contain only the routes that differ, and no services if none does', () => {
    const holder = ConfigurationHolder.create()
    holder.adoptConfiguration(addEngine(makeConfiguration(1, 100)))
    holder.adoptConfiguration(addEngine(makeConfiguration(2, 101)))
    const update = computeConfigurationUpdate(holder.findVersion(1), holder.current!)
    expect([update.changedRoutes.length, update.removedRoutes.length, update.services]).toEqual([1, 0, undefined])
  })

  it('don\'t apply to another version', () => {
    const update = computeConfigurationUpdate(makeConfiguration(3, 1), makeConfiguration(4, 2))
    expect(applyConfigurationUpdate(makeConfiguration(2, 1), update)).toEqual(undefined)
  })
})

describe('configuration sync', () => {
  it('fetches a whole configuration, models included, and later only what differs', async () => {
    const clock = SimulatedClock.create()
    const { holder, source } = makePeer(clock, addEngine(makeConfiguration(1, 2_000)))
    const { sync, configurations, calls } = makeReceiver(clock, (_peer, request) => makeSuccess(source.serveRequest(request)))
    sync.start()
    await clock.runFor(100)
    expect([configurations.version, configurations.findService('assistant')?.engine?.models.get('m')]).toEqual([1, MODEL])
    const callsForWhole = calls.length
    holder.adoptConfiguration(addEngine(makeConfiguration(2, 2_001)))
    sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
    await clock.runFor(100)
    expect([configurations.current?.routes.length, callsForWhole > 1, calls.length - callsForWhole]).toEqual([2_001, true, 1])
  })

  it('fetches 20,000 keys of a customer, and later one that is removed in a single chunk', async () => {
    const clock = SimulatedClock.create()
    const keyDigests = Array.from({ length: 20_000 }, (_, index) => hashText(`key-${index}`))
    const addCustomer = (version: number, firstKey: number): FleetConfiguration => ({ ...makeConfiguration(version, 1), customers: new Map([['desk', { name: 'desk', keyDigests: keyDigests.slice(firstKey), priority: 0, quota: undefined }]]) })
    const { holder, source } = makePeer(clock, addCustomer(1, 0))
    const { sync, configurations, calls } = makeReceiver(clock, (_peer, request) => makeSuccess(source.serveRequest(request)))
    sync.start()
    await clock.runFor(1_000)
    expect([configurations.findCustomer(keyDigests[0]!)?.priority, configurations.findCustomer(keyDigests.at(-1)!)?.name]).toEqual([0, 'desk'])
    const callsForWhole = calls.length
    holder.adoptConfiguration(addCustomer(2, 1))
    sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
    await clock.runFor(100)
    expect([configurations.version, configurations.findCustomer(keyDigests[0]!), configurations.findCustomer(keyDigests[1]!)?.name, calls.length - callsForWhole]).toEqual([2, undefined, 'desk', 1])
  })

  it('asks a peer that was not connected again once it is', async () => {
    const clock = SimulatedClock.create()
    const { holder, source } = makePeer(clock, makeConfiguration(1, 10))
    let connected = ['a']
    const { sync, configurations } = makeReceiver(clock, (peer, request) => connected.includes(peer) ? makeSuccess(source.serveRequest(request)) : makeFailure('peer is not connected'), undefined, () => connected)
    sync.start()
    await clock.runFor(100)
    holder.adoptConfiguration(makeConfiguration(2, 11))
    connected = []
    sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
    await clock.runFor(50)
    connected = ['a']
    await clock.runFor(RECONNECTED_MS)
    expect(configurations.version).toEqual(2)
  })

  it('asks another peer at once when one is busy or fails', async () => {
    const clock = SimulatedClock.create()
    const { source } = makePeer(clock, makeConfiguration(1, 10))
    const asked: string[] = []
    const { sync, configurations } = makeReceiver(clock, (peer, request) => {
      asked.push(peer)
      if (peer === 'a') return makeSuccess({ type: 'busy', version: 1, peers: ['c'] })
      return peer === 'b' ? makeFailure('timeout') : makeSuccess(source.serveRequest(request))
    })
    configurations.adoptConfiguration(makeConfiguration(0, 1))
    sync.noteAnnouncement('a', { version: 1, newestVersion: 1 })
    sync.noteAnnouncement('b', { version: 1, newestVersion: 1 })
    await clock.runFor(20)
    expect([configurations.version, asked.includes('c')]).toEqual([1, true])
  })

  it('reads the store when it knows that a version exists and no peer has it', async () => {
    const clock = SimulatedClock.create()
    const { sync, configurations } = makeReceiver(clock, () => makeSuccess({ type: 'none' }), makeConfiguration(5, 1))
    configurations.adoptConfiguration(makeConfiguration(1, 1))
    sync.noteAnnouncement('a', { version: 1, newestVersion: 5 })
    expect([sync.isBehind, sync.newestVersion]).toEqual([true, 5])
    await clock.runFor(STORE_READ_LIMIT_MS)
    expect([configurations.version, sync.isBehind]).toEqual([5, false])
  })

  it('refuses a request without a route as not found, unless a newer configuration is known, or may be, which may have it', () => {
    const { sync, configurations } = makeReceiver(SimulatedClock.create(), () => makeSuccess({ type: 'none' }))
    sync.start()
    const readStatus = (): number | undefined => {
      const route = sync.resolveRoute('nowhere.example', '/x/')
      return route instanceof Refusal ? route.status : undefined
    }
    const statuses = [readStatus()]
    configurations.adoptConfiguration(makeConfiguration(1, 1))
    statuses.push(readStatus())
    sync.noteAnnouncement('a', { version: 1, newestVersion: 1 })
    statuses.push(readStatus())
    sync.noteAnnouncement('b', { version: -1, newestVersion: -1 })
    statuses.push(readStatus())
    sync.noteAnnouncement('a', { version: 1, newestVersion: 2 })
    statuses.push(readStatus())
    configurations.adoptConfiguration(makeConfiguration(2, 1))
    statuses.push(readStatus())
    expect(statuses).toEqual([503, 503, 503, 404, 503, 404])
  })

  it('takes its configuration for the newest after a while, though a connected peer stays silent', async () => {
    const clock = SimulatedClock.create()
    const { sync, configurations, tasks } = makeReceiver(clock, () => makeSuccess({ type: 'none' }))
    configurations.adoptConfiguration(makeConfiguration(1, 1))
    sync.start()
    sync.noteAnnouncement('a', { version: 1, newestVersion: 1 })
    const before = sync.confirmVersion()
    await clock.runFor(1_000)
    expect([before, sync.confirmVersion()]).toEqual([false, true])
    await tasks.stop()
  })

  it('never goes back to an older version', async () => {
    const clock = SimulatedClock.create()
    const { source } = makePeer(clock, makeConfiguration(1, 1))
    const { sync, configurations, calls } = makeReceiver(clock, (_peer, request) => makeSuccess(source.serveRequest(request)))
    configurations.adoptConfiguration(makeConfiguration(2, 1))
    sync.noteAnnouncement('a', { version: 1, newestVersion: 1 })
    sync.adoptFromStore(makeConfiguration(1, 1))
    await clock.runFor(STORE_READ_LIMIT_MS)
    expect([configurations.version, calls.length]).toEqual([2, 0])
  })

  it('ends a transfer with the version that it began with, although newer ones follow quickly', async () => {
    const clock = SimulatedClock.create()
    const { holder, source } = makePeer(clock, makeConfiguration(1, 2_000))
    let version = 1
    const { sync, configurations } = makeReceiver(clock, (_peer, request) => {
      const reply = source.serveRequest(request)
      version += 1
      holder.adoptConfiguration(makeConfiguration(version, 2_000))
      return makeSuccess(reply)
    })
    sync.start()
    await clock.runFor(20)
    expect(configurations.version >= 1).toEqual(true)
  })

  it('keeps its configuration when replies are malformed, and asks each peer once', async () => {
    const malformed = [null, 7, { type: 'chunk' }, { type: 'busy', version: 2, peers: 'x' }, { type: 'chunk', version: 2, totalBytes: 3, data: 'AAAA' }, { type: 'chunk', version: 2, totalBytes: 3, data: '' }, { type: 'chunk', version: 2, totalBytes: 1e12, data: 'AAAA' }]
    for (const reply of malformed) {
      const clock = SimulatedClock.create()
      const asked: string[] = []
      const { sync, configurations } = makeReceiver(clock, (peer) => {
        asked.push(peer)
        return makeSuccess(reply as ConfigurationReply)
      })
      configurations.adoptConfiguration(makeConfiguration(1, 1))
      sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
      await clock.runFor(100)
      expect([configurations.version, asked]).toEqual([1, ['a', 'b']])
    }
  })

  it('asks a connected peer that has announced nothing once another one has failed', async () => {
    const clock = SimulatedClock.create()
    const { source } = makePeer(clock, makeConfiguration(1, 1), makeConfiguration(2, 2))
    const { sync, configurations } = makeReceiver(clock, (peer, request) => peer === 'a' ? makeFailure('peer connection closed') : makeSuccess(source.serveRequest(request)))
    configurations.adoptConfiguration(makeConfiguration(1, 1))
    sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
    await clock.runFor(50)
    expect(configurations.version).toEqual(2)
  })

  it('asks a peer that has closed the connection again after a moment', async () => {
    const clock = SimulatedClock.create()
    const { source } = makePeer(clock, makeConfiguration(1, 1), makeConfiguration(2, 2))
    let closed = 0
    const respond = (_peer: string, request: ConfigurationRequest): Outcome<ConfigurationReply, string> => {
      if (closed === 2) return makeSuccess(source.serveRequest(request))
      closed += 1
      return makeFailure('peer connection closed')
    }
    const { sync, configurations } = makeReceiver(clock, respond, undefined, () => ['a'])
    configurations.adoptConfiguration(makeConfiguration(1, 1))
    sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
    await clock.runFor(2 * CLOSED_RETRY_MS)
    expect(configurations.version).toEqual(2)
  })

  it('goes on asking peers while the store gives no answer', async () => {
    const clock = SimulatedClock.create()
    const { source } = makePeer(clock, makeConfiguration(1, 1), makeConfiguration(2, 2))
    let isUp = false
    const { sync, configurations } = makeReceiver(clock, (_peer, request) => isUp ? makeSuccess(source.serveRequest(request)) : makeFailure('not connected'), new Promise<never>(() => {}))
    configurations.adoptConfiguration(makeConfiguration(1, 1))
    sync.noteAnnouncement('a', { version: 2, newestVersion: 2 })
    await clock.runFor(STORE_READ_LIMIT_MS)
    isUp = true
    await clock.runFor(RECONNECTED_MS)
    expect(configurations.version).toEqual(2)
  })
})

describe('configuration source', () => {
  it('serves a few transfers at once and refers other receivers to those that it has served', () => {
    const clock = SimulatedClock.create()
    const { source } = makePeer(clock, makeConfiguration(1, 5_000))
    const request = (from: string, offset = 0): ConfigurationReply => source.serveRequest({ from, baseVersion: -1, version: offset === 0 ? undefined : 1, offset })
    const first = Array.from({ length: 19 }, (_, index) => request(`d${index}`))
    const started = first.filter(({ type }) => type === 'chunk').length
    expect([started < 8, first.at(-1)!.type]).toEqual([true, 'busy'])
    let offset = 0
    let reply = first[0]!
    while (reply.type === 'chunk' && offset < reply.totalBytes) {
      offset += Buffer.from(reply.data, 'base64').length
      if (offset < reply.totalBytes) reply = request('d0', offset)
    }
    request('d17')
    const busy = request('d18')
    expect(busy.type === 'busy' && busy.peers.includes('d0')).toEqual(true)
  })
})
