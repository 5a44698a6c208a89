/** Never two holders in turn, whatever sleeps or is cut off: engines that ignore fencing numbers rest on it. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { JsonLogger, makeFailure, makeSuccess, type Clock } from 'figquay'
import { FleetLeadership, HOLDER_KEY, type FleetStore, type SharedRecord } from '../../index.js'

const STEP_MS = 50
const LOOK_MS = 100
/** Silence after which a peer's connection counts as gone. */
const SILENCE_MS = 1_500
/** Two holders whose orders lie closer together than this take turns. */
const TURN_MS = 3_000
const NAMES = ['a', 'b', 'c']

/** One time for all daemons. */
class SharedClock implements Clock {
  nowMs = 0
  now (): Date { return new Date(this.nowMs) }
  readMonotonicMs (): number { return this.nowMs }
  async waitFor (): Promise<void> {}
}

/** A span in which one daemon sleeps, or is cut off from the store and its peers. */
interface Trouble {
  readonly daemon: number
  readonly atMs: number
  readonly forMs: number
  readonly kind: 'sleep' | 'cut'
}

interface Order {
  readonly daemon: string
  readonly fence: number
  readonly atMs: number
}

/** Plays three daemons for half a minute; each gives an order whenever it may. */
async function playTroubles (troubles: readonly Trouble[]): Promise<Order[]> {
  const clock = new SharedClock()
  const logger = JsonLogger.create('test', 'silent')
  const records: SharedRecord[] = []
  const orders: Order[] = []
  const isIn = (kind: Trouble['kind'], daemon: number, atMs = clock.nowMs): boolean => troubles.some((trouble) => trouble.kind === kind && trouble.daemon === daemon && atMs >= trouble.atMs && atMs < trouble.atMs + trouble.forMs)
  const lastHeardMs = NAMES.map(() => 0)
  const daemons = NAMES.map((self, index) => {
    const isCut = (): boolean => isIn('cut', index)
    const failure = makeFailure({ sent: 'maybe' as const, reason: 'timeout' as const, message: 'cut' })
    const store = {
      readShared: async (after: number) => isCut() ? failure : makeSuccess({ records: records.filter(({ position }) => position > after), end: records.length }),
      writeShared: async (key: string, value: string, end: number | undefined) => {
        if (isCut()) return failure
        if (end !== records.length) return makeSuccess({ type: 'overtaken' })
        records.push({ key, value, position: records.length })
        return makeSuccess({ type: 'written', position: records.length - 1 })
      }
    } as unknown as FleetStore
    const listConnected = (): string[] => isCut() ? [] : NAMES.filter((name, other) => name !== self && clock.nowMs - lastHeardMs[other]! < SILENCE_MS)
    return { self, index, isCut, read: -1, leadership: FleetLeadership.create({ self, bootId: 'x', store, clock, logger, listConnected, mayApply: () => !isCut() }) }
  })
  while (clock.nowMs < 30_000) {
    clock.nowMs += STEP_MS
    for (const daemon of daemons) {
      if (isIn('sleep', daemon.index)) continue
      // What was planned before a sleep goes out first when the daemon wakes.
      const fence = daemon.leadership.ownFence
      if (fence !== undefined) orders.push({ daemon: daemon.self, fence, atMs: clock.nowMs })
      if (daemon.isCut()) {
        if (clock.nowMs % LOOK_MS === 0) await daemon.leadership.refresh()
        continue
      }
      lastHeardMs[daemon.index] = clock.nowMs
      for (const { key, value, position } of records.filter((record) => record.position > daemon.read)) {
        daemon.read = position
        if (key === HOLDER_KEY) daemon.leadership.noteRecord(value!, position)
      }
      daemon.leadership.noteEnd(records.length)
      if (clock.nowMs % LOOK_MS === 0) await daemon.leadership.refresh()
    }
  }
  return orders
}

function listTurns (orders: readonly Order[]): string[] {
  return orders.flatMap((order, index) => {
    const others = orders.slice(0, index).filter((other) => other.daemon !== order.daemon && order.atMs - other.atMs < TURN_MS)
    const isTurn = others.some((other) => orders.some((first) => first.daemon === order.daemon && first.atMs < other.atMs && order.atMs - first.atMs < TURN_MS))
    const isLower = orders.slice(0, index).some((other) => other.fence > order.fence)
    return [...isTurn ? [`${order.daemon} takes turns at ${order.atMs}`] : [], ...isLower ? [`${order.daemon} with a lower fence at ${order.atMs}`] : []]
  })
}

const sleeps = fc.array(fc.record({ daemon: fc.integer({ min: 0, max: 2 }), atMs: fc.integer({ min: 2_000, max: 25_000 }), forMs: fc.integer({ min: 100, max: 6_000 }), kind: fc.constant('sleep' as const) }), { maxLength: 5 })
const cuts = fc.array(fc.record({ daemon: fc.integer({ min: 0, max: 2 }), atMs: fc.integer({ min: 2_000, max: 25_000 }), forMs: fc.integer({ min: 100, max: 6_000 }), kind: fc.constant('cut' as const) }), { maxLength: 3 })

describe('holders of the runners', () => {
  it('give orders all the while when nothing happens', async () => {
    const orders = await playTroubles([])
    expect([orders.length > 500, new Set(orders.map(({ daemon }) => daemon)).size]).toEqual([true, 1])
  })

  it('never take turns, and never order with a lower fence, while daemons sleep at random', async () => {
    await fc.assert(fc.asyncProperty(sleeps, async (troubles) => {
      expect(listTurns(await playTroubles(troubles))).toEqual([])
    }), { numRuns: 150, seed: 20261204 })
  })

  it('never take turns, and never order with a lower fence, while daemons sleep or are cut off from all others', async () => {
    await fc.assert(fc.asyncProperty(sleeps, cuts, async (asleep, cut) => {
      expect(listTurns(await playTroubles([...asleep, ...cut]))).toEqual([])
    }), { numRuns: 150, seed: 20261204 })
  })
})
