/** Facts reach every daemon and survive their origin, whatever messages or daemons are lost. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { JsonLogger, makeFailure, makeSuccess, type Clock, type Outcome } from 'figquay'
import { FleetFacts, isFact, type Fact, type SharedWrite } from 'figquay-fleet'
import { FactExchange, FactStoreSync, type FactsMessage } from '../../index.js'

/** A clock that the test advances. */
class ManualClock implements Clock {
  nowMs = 1_000_000
  now (): Date { return new Date(this.nowMs) }
  readMonotonicMs (): number { return this.nowMs }
  async waitFor (): Promise<void> {}
}

const logger = JsonLogger.create('test', 'silent')
const EVENT_LOOP_TURNS = 20

function makeFact (id: string, atMs: number): Fact {
  return { type: 'crash', id, runner: 'r', bornMs: 1, suspects: [id], isolated: [], bystanders: [], atMs }
}

interface TestDaemon { readonly facts: FleetFacts, readonly exchange: FactExchange }

class TestFleet {
  readonly clock = new ManualClock()
  readonly nodes = new Map<string, TestDaemon>()
  /** Daemons that can neither send nor receive. */
  readonly unreachable = new Set<string>()
  private startCount = 0

  /** Starts a daemon, or restarts it with empty memory. */
  startNode (self: string): void {
    this.startCount += 1
    const facts = FleetFacts.create(this.clock)
    const callPeer = async <T>(peer: string, _method: string, message: unknown): Promise<Outcome<T, string>> => {
      if (this.unreachable.has(peer) || this.unreachable.has(self)) return makeFailure('timeout')
      return makeSuccess(JSON.parse(JSON.stringify(this.nodes.get(peer)!.exchange.handleExchange(message as FactsMessage))) as T)
    }
    const listConnected = (): string[] => [...this.nodes.keys()].filter((peer) => peer !== self && !this.unreachable.has(peer))
    this.nodes.set(self, { facts, exchange: FactExchange.create({ self, bootId: `boot-${this.startCount}`, clock: this.clock, logger, facts, listConnected, callPeer }) })
  }

  /** Lets all daemons compare their digests with all others a few times, as hints do. */
  async settle (): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
      for (const [self, { exchange }] of this.nodes) {
        for (const [peer, { facts }] of this.nodes) if (peer !== self && !this.unreachable.has(peer) && !this.unreachable.has(self)) exchange.reconcilePeer(peer, facts.state)
      }
      for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    }
  }

  listIds (self: string): string[] {
    return this.nodes.get(self)!.facts.listAfter(0).map(({ id }) => id).sort()
  }
}

describe('fact exchange', () => {
  it('brings facts to daemons that were unreachable or restarted, in any order of events', async () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('publish' as const), node: fc.nat(4) }),
      fc.record({ type: fc.constant('leave' as const), node: fc.nat(4) }),
      fc.record({ type: fc.constant('return' as const), node: fc.nat(4) }),
      fc.record({ type: fc.constant('restart' as const), node: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('settle' as const), node: fc.nat(4) })
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 14 }), async (steps) => {
      const fleet = new TestFleet()
      for (let index = 0; index < 5; index += 1) fleet.startNode(`n${index}`)
      const published = new Set<string>()
      for (const [index, { type, node }] of steps.entries()) {
        const self = `n${node}`
        if (type === 'publish') fleet.nodes.get(self)!.exchange.publishFact(makeFact(`f${index}`, fleet.clock.nowMs))
        if (type === 'leave') fleet.unreachable.add(self)
        if (type === 'return') fleet.unreachable.delete(self)
        if (type === 'restart') fleet.startNode(self)
        if (type === 'settle') await fleet.settle()
        for (const name of fleet.nodes.keys()) for (const id of fleet.listIds(name)) published.add(id)
      }
      // A fact that only its origin knew is lost when the origin restarts; only the store could restore it.
      const known = new Set([...fleet.nodes.keys()].flatMap((name) => fleet.listIds(name)))
      fleet.unreachable.clear()
      await fleet.settle()
      for (const name of fleet.nodes.keys()) expect(fleet.listIds(name)).toEqual([...known].sort())
    }), { numRuns: 100, seed: 20261204 })
  })

  it('gives all daemons the same digest, so that they exchange nothing more', async () => {
    const fleet = new TestFleet()
    for (const name of ['a', 'b', 'c']) fleet.startNode(name)
    fleet.nodes.get('a')!.exchange.publishFact(makeFact('f', fleet.clock.nowMs))
    await fleet.settle()
    const digests = [...fleet.nodes.values()].map(({ facts }) => facts.state.digest)
    expect(new Set(digests).size).toEqual(1)
  })

  it('drops facts after ten minutes and rejects them from then on', () => {
    const clock = new ManualClock()
    const facts = FleetFacts.create(clock)
    const fact = makeFact('f', clock.nowMs)
    facts.addFact(fact)
    clock.nowMs += 600_001
    expect([facts.listAfter(0), facts.state.digest, facts.addFact(fact)]).toEqual([[], 0, false])
  })

  it('rejects values from peers that are not facts', () => {
    for (const value of [null, 7, {}, { type: 'crash', id: 'a', atMs: 1, runner: 'r', bornMs: 1 }, { type: 'acquittal', id: 'a', atMs: 'soon' }]) expect(isFact(value)).toEqual(false)
    expect(isFact(makeFact('f', 1))).toEqual(true)
  })
})

describe('fact store sync', () => {
  function makeFactStore (isLeader = false) {
    const clock = new ManualClock()
    const facts = FleetFacts.create(clock)
    const calls: SharedWrite[][] = []
    const state = { isDown: false }
    const store = {
      writeRecords: async (records: readonly SharedWrite[]) => {
        if (state.isDown) return makeFailure({ sent: 'maybe' as const, reason: 'timeout' as const, message: 'down' })
        calls.push([...records])
        return makeSuccess(undefined)
      }
    }
    return { clock, facts, calls, state, factStore: FactStoreSync.create({ clock, logger, store, facts, isLeader: () => isLeader }) }
  }

  it('writes the facts of their origin in one call, retries until that succeeds and then stops', async () => {
    const { clock, facts, calls, state, factStore } = makeFactStore()
    state.isDown = true
    for (const id of ['f', 'g']) {
      const fact = makeFact(id, clock.nowMs)
      facts.addFact(fact)
      factStore.addPending(fact)
    }
    await factStore.flush()
    state.isDown = false
    await factStore.flush()
    expect(calls.length).toEqual(0)
    clock.nowMs += 1_000
    await factStore.flush()
    await factStore.flush()
    expect(calls.map((records) => records.map(({ key }) => key))).toEqual([['fact/f', 'fact/g']])
  })

  it('lets the leader write facts that their origin has not written, and delete expired ones', async () => {
    const { clock, facts, calls, factStore } = makeFactStore(true)
    facts.addFact(makeFact('f', clock.nowMs))
    await factStore.flush()
    expect(calls.length).toEqual(0)
    clock.nowMs += 3_000
    await factStore.flush()
    clock.nowMs += 600_000
    await factStore.flush()
    expect(calls.map((records) => records.map(({ key, value }) => [key, value === undefined]))).toEqual([[['fact/f', false]], [['fact/f', true]]])
  })

  it('loads facts from the store at the start of a daemon and ignores records that can not be parsed', () => {
    const { clock, facts, factStore } = makeFactStore()
    const fact = makeFact('f', clock.nowMs)
    factStore.applyRecord('fact/f', JSON.stringify(fact))
    factStore.applyRecord('fact/g', '{"no":"fact"')
    expect([facts.listAfter(0), facts.listUnstored(0)]).toEqual([[fact], []])
  })
})
