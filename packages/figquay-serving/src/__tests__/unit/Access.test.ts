/** Access by key: a removed key runs nowhere, and no daemon refuses for good what a version that it hasn't got may allow. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger } from 'figquay'
import { ConfigurationHolder, type Customer, type FleetConfiguration, type Route } from 'figquay-fleet'
import { AccessGate, decideAccess, ServingTelemetry, type AccessSubject, type ServedRequest } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'
import { makeConfiguration } from '../standins/SimulatedFleet.js'

const KEYS = ['a', 'b', 'c'].map((letter) => letter.repeat(64)) as [string, string, string]
const [ROUTE, OPEN] = makeConfiguration(0, 2).routes.map((route, index): Route => ({ ...route, host: 'h', pathPrefix: `/${index}/`, isPublic: index === 1, priority: 1 })) as [Route, Route]

function makeVersion (version: number, customers: Readonly<Record<string, readonly string[]>> | undefined, changes: Partial<FleetConfiguration> = {}): FleetConfiguration {
  const entries = Object.entries(customers ?? {}).map(([name, keyDigests]): [string, Customer] => [name, { name, keyDigests, priority: name === 'desk' ? 0 : undefined, quota: undefined }])
  return { ...makeConfiguration(version, 0), routes: [ROUTE, OPEN], customers: customers === undefined ? undefined : new Map(entries), ...changes }
}

function makeHolder (...versions: readonly FleetConfiguration[]): ConfigurationHolder {
  const holder = ConfigurationHolder.create()
  for (const version of versions) holder.adoptConfiguration(version)
  return holder
}

/** Name of the customer that is granted access, or the status of the refusal. */
function summarise (holder: ConfigurationHolder, keyDigest: string | undefined, { route = ROUTE, isNewest = true } = {}): string | number {
  const access = decideAccess({ route, keyDigest }, holder, isNewest)
  if (access.type === 'refused') return access.refusal.status
  return `${access.customer?.name ?? 'nobody'}${access.areKeysNeeded ? '' : ', no keys needed'}`
}

describe('access of a request', () => {
  it('is granted to the holders of keys, and to anybody on public routes or without customers', () => {
    const holder = makeHolder(makeVersion(1, { desk: [KEYS[0]], atlas: [KEYS[1]] }))
    expect([KEYS[0], KEYS[1], KEYS[2], undefined].map((key) => summarise(holder, key))).toEqual(['desk', 'atlas', 401, 401])
    expect([KEYS[0], KEYS[2], undefined].map((key) => summarise(holder, key, { route: OPEN }))).toEqual(['desk', 'nobody', 'nobody'])
    expect(summarise(makeHolder(makeVersion(1, undefined)), KEYS[2])).toEqual('nobody, no keys needed')
    expect(summarise(makeHolder(makeVersion(1, {})), KEYS[2])).toEqual(401)
  })

  it('is refused for the time being where a newer version may grant it, or none is known', () => {
    const holder = makeHolder(makeVersion(1, { desk: [KEYS[0]] }))
    expect([KEYS[0], KEYS[1], undefined].map((key) => summarise(holder, key, { isNewest: false }))).toEqual(['desk', 503, 503])
    expect(summarise(makeHolder(), KEYS[0])).toEqual(503)
  })

  it('follows the versions: keys that are removed, moved and added, customers for the first time, routes that are public no longer', () => {
    const holder = makeHolder(makeVersion(1, undefined))
    const results = [summarise(holder, KEYS[0])]
    const versions: ReadonlyArray<Readonly<Record<string, readonly string[]>> | undefined> = [{ desk: [KEYS[0]] }, { desk: [] }, { desk: [], atlas: [KEYS[0]] }, undefined]
    for (const [version, customers] of versions.entries()) {
      holder.adoptConfiguration(makeVersion(version + 2, customers))
      results.push(summarise(holder, KEYS[0]))
    }
    expect(results).toEqual(['nobody, no keys needed', 'desk', 401, 'atlas', 'nobody, no keys needed'])
    holder.adoptConfiguration(makeVersion(9, {}, { routes: [{ ...OPEN, isPublic: false }] }))
    expect(summarise(holder, undefined, { route: OPEN })).toEqual(401)
    holder.adoptConfiguration(makeVersion(10, {}, { routes: [] }))
    expect(summarise(holder, undefined, { route: OPEN })).toEqual('nobody')
  })
})

describe('access gate', () => {
  function makeGate (configurations: ConfigurationHolder) {
    const clock = SimulatedClock.create()
    const lines: string[] = []
    const logger = { ...JsonLogger.create('test', 'silent'), info: (message: string, fields?: unknown) => lines.push(JSON.stringify({ message, ...fields as object })) } as unknown as JsonLogger
    const telemetry = ServingTelemetry.create(clock, logger)
    return { gate: AccessGate.create({ clock, configurations, isNewest: () => true, telemetry }), lines, telemetry }
  }
  const makeSubject = (keyDigest: string, ended: string[], isAttempting = false): AccessSubject => ({
    request: { id: keyDigest[0]!, route: ROUTE, customer: undefined, keyDigest, priority: 7, arrivedAtMs: 0 } as ServedRequest, access: undefined, accessRefusal: undefined, isAttempting, endWait: () => ended.push(keyDigest[0]!)
  })

  it('ends the wait of the requests whose keys are removed, once, and leaves those that runners have', () => {
    const holder = makeHolder(makeVersion(1, { desk: [KEYS[0], KEYS[1]], atlas: [KEYS[2]] }))
    const { gate } = makeGate(holder)
    const ended: string[] = []
    const subjects = [makeSubject(KEYS[0], ended), makeSubject(KEYS[1], ended, true), makeSubject(KEYS[2], ended)]
    for (const subject of subjects) {
      gate.registerSubject(subject)
      gate.checkAccess(subject)
    }
    expect(subjects.map(({ request }) => [request.customer?.name, request.priority])).toEqual([['desk', 0], ['desk', 0], ['atlas', 1]])
    holder.adoptConfiguration(makeVersion(2, { atlas: [KEYS[2]] }))
    expect(ended).toEqual(['a'])
    expect(subjects.map((subject) => gate.checkAccess(subject)?.status)).toEqual([401, 401, undefined])
  })

  it('writes one line for a refusal, with eight digits of the digest and the version, and counts it by route', async () => {
    const { gate, lines, telemetry } = makeGate(makeHolder(makeVersion(4, {})))
    const subject = makeSubject(KEYS[0], [])
    for (let call = 0; call < 2; call += 1) gate.checkAccess(subject)
    expect([lines.length, lines[0]!.includes('"key":"aaaaaaaa"'), lines[0]!.includes('"version":4'), lines[0]!.includes('aaaaaaaaa')]).toEqual([1, true, true, false])
    expect((await telemetry.registry.metrics()).includes(`figquay_access_refusals_total{route="${ROUTE.name}",reason="unknown-key"} 1`)).toEqual(true)
  })
})
