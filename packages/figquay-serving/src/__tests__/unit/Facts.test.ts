/** What binds every daemon outlives its finder and reaches all, whatever is lost on the way. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { JsonLogger, makeFailure, makeSuccess, type Clock, type Outcome } from 'figquay'
import { FleetFacts, isFact, type Fact, type SharedWrite } from 'figquay-fleet'
import { FactExchange, FactKeeper, type FactsMessage } from '../../index.js'

/** Time that the test moves. */
class HandClock implements Clock {
  nowMs = 1_000_000
  now (): Date { return new Date(this.nowMs) }
  readMonotonicMs (): number { return this.nowMs }
  async waitFor (): Promise<void> {}
}

const logger = JsonLogger.create('test', 'silent')
const TURNS = 20

function makeFact (id: string, atMs: number): Fact {
  return { type: 'crash', id, runner: 'r', bornMs: 1, suspects: [id], isolated: [], bystanders: [], atMs }
}

interface Node { readonly facts: FleetFacts, readonly exchange: FactExchange }

class Fleet {
  readonly clock = new HandClock()
  readonly nodes = new Map<string, Node>()
  /** Daemons that hear and say nothing now. */
  readonly away = new Set<string>()
  private boots = 0

  /** Starts a daemon, or starts it again without what it knew. */
  startNode (self: string): void {
    this.boots += 1
    const facts = FleetFacts.create(this.clock)
    const callPeer = async <T>(peer: string, _method: string, message: unknown): Promise<Outcome<T, string>> => {
      if (this.away.has(peer) || this.away.has(self)) return makeFailure('timeout')
      return makeSuccess(JSON.parse(JSON.stringify(this.nodes.get(peer)!.exchange.answerPeer(message as FactsMessage))) as T)
    }
    const listConnected = (): string[] => [...this.nodes.keys()].filter((peer) => peer !== self && !this.away.has(peer))
    this.nodes.set(self, { facts, exchange: FactExchange.create({ self, bootId: `boot-${this.boots}`, clock: this.clock, logger, facts, listConnected, callPeer }) })
  }

  /** Lets all compare with all a few times, as hints do. */
  async settle (): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
      for (const [self, { exchange }] of this.nodes) {
        for (const [peer, { facts }] of this.nodes) if (peer !== self && !this.away.has(peer) && !this.away.has(self)) exchange.comparePeer(peer, facts.state)
      }
      for (let turn = 0; turn < TURNS; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    }
  }

  listIds (self: string): string[] {
    return this.nodes.get(self)!.facts.listAfter(0).map(({ id }) => id).sort()
  }
}

describe('facts of all daemons', () => {
  it('reach daemons that were away, restarted or not there yet, whatever the order', async () => {
    const step = fc.oneof(
      fc.record({ type: fc.constant('publish' as const), node: fc.nat(4) }),
      fc.record({ type: fc.constant('leave' as const), node: fc.nat(4) }),
      fc.record({ type: fc.constant('return' as const), node: fc.nat(4) }),
      fc.record({ type: fc.constant('restart' as const), node: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('settle' as const), node: fc.nat(4) })
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 14 }), async (steps) => {
      const fleet = new Fleet()
      for (let index = 0; index < 5; index += 1) fleet.startNode(`n${index}`)
      const published = new Set<string>()
      for (const [index, { type, node }] of steps.entries()) {
        const self = `n${node}`
        if (type === 'publish') fleet.nodes.get(self)!.exchange.publishFact(makeFact(`f${index}`, fleet.clock.nowMs))
        if (type === 'leave') fleet.away.add(self)
        if (type === 'return') fleet.away.delete(self)
        if (type === 'restart') fleet.startNode(self)
        if (type === 'settle') await fleet.settle()
        for (const name of fleet.nodes.keys()) for (const id of fleet.listIds(name)) published.add(id)
      }
      // What nobody knows any more, as its finder alone knew it and was restarted, only the store could bring back.
      const known = new Set([...fleet.nodes.keys()].flatMap((name) => fleet.listIds(name)))
      fleet.away.clear()
      await fleet.settle()
      for (const name of fleet.nodes.keys()) expect(fleet.listIds(name)).toEqual([...known].sort())
    }), { numRuns: 100, seed: 20261204 })
  })

  it('cost a peer nothing that knows the same', async () => {
    const fleet = new Fleet()
    for (const name of ['a', 'b', 'c']) fleet.startNode(name)
    fleet.nodes.get('a')!.exchange.publishFact(makeFact('f', fleet.clock.nowMs))
    await fleet.settle()
    const digests = [...fleet.nodes.values()].map(({ facts }) => facts.state.digest)
    expect(new Set(digests).size).toEqual(1)
  })

  it('no longer hold after ten minutes, and are not taken in again then', () => {
    const clock = new HandClock()
    const facts = FleetFacts.create(clock)
    const fact = makeFact('f', clock.nowMs)
    facts.addFact(fact)
    clock.nowMs += 600_001
    expect([facts.listAfter(0), facts.state.digest, facts.addFact(fact)]).toEqual([[], 0, false])
  })

  it('are told from anything else that a peer may send', () => {
    for (const value of [null, 7, {}, { type: 'crash', id: 'a', atMs: 1, runner: 'r', bornMs: 1 }, { type: 'acquittal', id: 'a', atMs: 'soon' }]) expect(isFact(value)).toEqual(false)
    expect(isFact(makeFact('f', 1))).toEqual(true)
  })
})

describe('facts in the store', () => {
  function makeKeeper (isHolder = false) {
    const clock = new HandClock()
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
    return { clock, facts, calls, state, keeper: FactKeeper.create({ clock, logger, store, facts, isHolder: () => isHolder }) }
  }

  it('are written by their finder in one call, again until the store has them, and then no more', async () => {
    const { clock, facts, calls, state, keeper } = makeKeeper()
    state.isDown = true
    for (const id of ['f', 'g']) {
      const fact = makeFact(id, clock.nowMs)
      facts.addFact(fact)
      keeper.addOwn(fact)
    }
    await keeper.refresh()
    state.isDown = false
    await keeper.refresh()
    expect(calls.length).toEqual(0)
    clock.nowMs += 1_000
    await keeper.refresh()
    await keeper.refresh()
    expect(calls.map((records) => records.map(({ key }) => key))).toEqual([['fact/f', 'fact/g']])
  })

  it('are written by the holder when their finder is gone, and dropped by it once they no longer hold', async () => {
    const { clock, facts, calls, keeper } = makeKeeper(true)
    facts.addFact(makeFact('f', clock.nowMs))
    await keeper.refresh()
    expect(calls.length).toEqual(0)
    clock.nowMs += 3_000
    await keeper.refresh()
    clock.nowMs += 600_000
    await keeper.refresh()
    expect(calls.map((records) => records.map(({ key, value }) => [key, value === undefined]))).toEqual([[['fact/f', false]], [['fact/f', true]]])
  })

  it('are known again from the store by a daemon that has just started', () => {
    const { clock, facts, keeper } = makeKeeper()
    const fact = makeFact('f', clock.nowMs)
    keeper.takeRecord('fact/f', JSON.stringify(fact))
    keeper.takeRecord('fact/g', '{"no":"fact"')
    expect([facts.listAfter(0), facts.listUnstored(0)]).toEqual([[fact], []])
  })
})
