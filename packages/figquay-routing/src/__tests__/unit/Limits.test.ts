/** Limits over several daemons, retries, and the queue's order. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { Clock } from 'figquay'
import type { Contract } from 'figquay-contracts'
import { HintTable } from 'figquay-peers'
import { CrashGuard, CustomerRateLimiter, FairQueue, RetryBudget, type RoutedRequest } from 'figquay-routing'

const SEED = 20261204
const LIMIT = 20
const SECONDS = 10

/** A clock that moves only when told to. */
class ManualClock implements Clock {
  private nowMs = 1_000_000

  now (): Date {
    return new Date(this.nowMs)
  }

  readMonotonicMs (): number {
    return this.nowMs
  }

  async waitFor (): Promise<void> {}

  advance (ms: number): void {
    this.nowMs += ms
  }
}

const CONTRACT = { customer: 'c', share: 1, limits: { requestsPerSecond: LIMIT, tokensPerSecond: 1e9 } } as unknown as Contract

/** Tells the others what a daemon is asked for. */
function spreadDemand (index: number, limits: CustomerRateLimiter, others: readonly HintTable[], clock: Clock): void {
  for (const hints of others) hints.putParts({ daemon: `d${index}`, customerDemand: limits.listDemand() }, clock.readMonotonicMs())
}

/** Requests admitted in ten seconds by daemons that get arrivals in some proportion. */
function countAdmitted (weights: readonly number[], isHeard: boolean): number {
  const clock = new ManualClock()
  const daemons = weights.map(() => {
    const hints = HintTable.create()
    return { hints, limits: CustomerRateLimiter.create({ clock, hints, countDaemons: () => weights.length }) }
  })
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const credit = weights.map(() => 0)
  let admitted = 0
  for (let tick = 0; tick < (SECONDS + 5) * 100; tick++) {
    clock.advance(10)
    if (isHeard && tick % 25 === 0) daemons.forEach((daemon, index) => spreadDemand(index, daemon.limits, daemons.filter((other) => other !== daemon).map((other) => other.hints), clock))
    for (const [index, daemon] of daemons.entries()) {
      credit[index]! += weights[index]! / total
      while (credit[index]! >= 1) {
        credit[index]! -= 1
        // The first five seconds let the shares settle.
        if (daemon.limits.acquireQuota(CONTRACT, 0) === undefined && tick >= 500) admitted += 1
      }
    }
  }
  return admitted
}

describe('limits', () => {
  test('hold over all daemons within 10%, whoever gets the traffic', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 8 }), (weights) => {
      expect(countAdmitted(weights, true) <= LIMIT * SECONDS * 1.1).toEqual(true)
    }), { seed: SEED, numRuns: 30 })
  })

  test('a daemon that hears nobody spends its even part only', () => {
    expect(countAdmitted([1, 1, 1, 1], false) <= LIMIT * SECONDS * 1.1).toEqual(true)
    expect(countAdmitted([9, 1], false) <= LIMIT * SECONDS * 1.1).toEqual(true)
  })
})

describe('retries', () => {
  test('add at most a tenth of fresh traffic, past a small reserve', () => {
    const budget = RetryBudget.create()
    let spent = 0
    for (let index = 0; index < 1_000; index++) {
      budget.noteRequest()
      while (budget.spendRetry()) spent += 1
    }
    expect(spent <= 100 + 10).toEqual(true)
  })
})

describe('crashing requests', () => {
  test('are refused after two crashes, not after the same one twice, and cleared when the process lives', () => {
    const guard = CrashGuard.create()
    guard.addCharge({ fingerprint: 'f', upstream: 'e1/b1' }, 10)
    guard.addCharge({ fingerprint: 'f', upstream: 'e1/b1' }, 11)
    expect(guard.isQuarantined('f', 12)).toEqual(false)
    guard.addCharge({ fingerprint: 'f', upstream: 'e2/b1' }, 12)
    expect(guard.isQuarantined('f', 13)).toEqual(true)
    guard.clearUpstream('e2/b1', 12)
    expect(guard.isQuarantined('f', 13)).toEqual(true)
    guard.clearUpstream('e2/b1', 14)
    expect(guard.isQuarantined('f', 15)).toEqual(false)
  })
})

function makeRequest (customer: string, share: number, priority: 'interactive' | 'batch', arrivedAtMs: number): RoutedRequest {
  return { contract: { customer, share }, kind: { priority }, model: { name: 'm' }, promptTokens: 100, outputTokens: 0, arrivedAtMs } as unknown as RoutedRequest
}

describe('queue', () => {
  test('callers who wait go first, until batch work has waited long enough', () => {
    const queue = FairQueue.create<string>()
    queue.addRequest(makeRequest('a', 1, 'batch', 0), 'batch')
    queue.addRequest(makeRequest('a', 1, 'interactive', 10), 'interactive')
    expect(queue.listInOrder(100).map((entry) => entry.payload)).toEqual(['interactive', 'batch'])
    expect(queue.listInOrder(250_000)[0]!.payload).toEqual('batch')
  })

  test('customers are served in proportion to their shares', () => {
    const queue = FairQueue.create<string>()
    for (let index = 0; index < 30; index++) {
      queue.addRequest(makeRequest('big', 3, 'interactive', 0), 'big')
      queue.addRequest(makeRequest('small', 1, 'interactive', 0), 'small')
    }
    let big = 0
    for (let served = 0; served < 20; served++) {
      const entry = queue.listInOrder(0)[0]!
      queue.removeEntry(entry, true)
      if (entry.payload === 'big') big += 1
    }
    expect(big).toEqual(15)
  })
})
