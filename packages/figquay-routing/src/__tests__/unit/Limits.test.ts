/** Rate limits over several daemons, the retry budget, quarantine of crashing requests, and queue order. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { Clock } from 'figquay'
import type { Contract } from 'figquay-contracts'
import { HintTable } from 'figquay-peers'
import { CrashQuarantine, CustomerRateLimiter, FairQueue, RetryBudget, type RoutedRequest } from 'figquay-routing'

const SEED = 20261204
const REQUESTS_PER_SECOND = 20
const DURATION_SECONDS = 10

/** A clock that advances only on request. */
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

const CONTRACT = { customer: 'c', share: 1, limits: { requestsPerSecond: REQUESTS_PER_SECOND, tokensPerSecond: 1e9 } } as unknown as Contract

/** Sends the request rates of one daemon to the hint tables of the others. */
function publishDemand (index: number, limits: CustomerRateLimiter, others: readonly HintTable[], clock: Clock): void {
  for (const hints of others) hints.mergeFields({ daemon: `d${index}`, customerDemand: limits.listRequestRates() }, clock.readMonotonicMs())
}

/** Requests admitted in ten seconds by daemons that receive traffic in the proportion of `weights`. */
function countAdmitted (weights: readonly number[], hasPeerHints: boolean): number {
  const clock = new ManualClock()
  const daemons = weights.map(() => {
    const hints = HintTable.create()
    return { hints, limits: CustomerRateLimiter.create({ clock, hints, countDaemons: () => weights.length }) }
  })
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const dueRequests = weights.map(() => 0)
  let admitted = 0
  for (let tick = 0; tick < (DURATION_SECONDS + 5) * 100; tick++) {
    clock.advance(10)
    if (hasPeerHints && tick % 25 === 0) daemons.forEach((daemon, index) => publishDemand(index, daemon.limits, daemons.filter((other) => other !== daemon).map((other) => other.hints), clock))
    for (const [index, daemon] of daemons.entries()) {
      dueRequests[index]! += weights[index]! / total
      while (dueRequests[index]! >= 1) {
        dueRequests[index]! -= 1
        // The first five seconds are a warm-up in which the shares converge.
        if (daemon.limits.acquireQuota(CONTRACT, 0) === undefined && tick >= 500) admitted += 1
      }
    }
  }
  return admitted
}

describe('rate limits', () => {
  test('hold over all daemons within 10%, however the traffic is distributed', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1, maxLength: 8 }), (weights) => {
      expect(countAdmitted(weights, true) <= REQUESTS_PER_SECOND * DURATION_SECONDS * 1.1).toEqual(true)
    }), { seed: SEED, numRuns: 30 })
  })

  test('fall back to an even split when a daemon receives no hints from its peers', () => {
    expect(countAdmitted([1, 1, 1, 1], false) <= REQUESTS_PER_SECOND * DURATION_SECONDS * 1.1).toEqual(true)
    expect(countAdmitted([9, 1], false) <= REQUESTS_PER_SECOND * DURATION_SECONDS * 1.1).toEqual(true)
  })
})

describe('retries', () => {
  test('add at most a tenth of the new requests, plus the initial balance', () => {
    const budget = RetryBudget.create()
    let spent = 0
    for (let index = 0; index < 1_000; index++) {
      budget.recordRequest()
      while (budget.tryConsumeRetry()) spent += 1
    }
    expect(spent <= 100 + 10).toEqual(true)
  })
})

describe('crashing requests', () => {
  test('are quarantined after two different crashes, and cleared when the process turns out to be alive', () => {
    const guard = CrashQuarantine.create()
    guard.recordCrash({ fingerprint: 'f', upstream: 'e1/b1' }, 10)
    guard.recordCrash({ fingerprint: 'f', upstream: 'e1/b1' }, 11)
    expect(guard.isQuarantined('f', 12)).toEqual(false)
    guard.recordCrash({ fingerprint: 'f', upstream: 'e2/b1' }, 12)
    expect(guard.isQuarantined('f', 13)).toEqual(true)
    guard.clearUpstream('e2/b1', 12)
    expect(guard.isQuarantined('f', 13)).toEqual(true)
    guard.clearUpstream('e2/b1', 14)
    expect(guard.isQuarantined('f', 15)).toEqual(false)
  })
})

function makeRequest (customer: string, share: number, priority: 'interactive' | 'batch', arrivedAtMs: number): RoutedRequest {
  return { contract: { customer, share }, kind: { priority }, model: { name: 'm' }, promptTokens: 100, maxOutputTokens: 0, arrivedAtMs } as unknown as RoutedRequest
}

describe('queue', () => {
  test('serves interactive requests first, until batch requests have aged', () => {
    const queue = FairQueue.create<string>()
    queue.addRequest(makeRequest('a', 1, 'batch', 0), 'batch')
    queue.addRequest(makeRequest('a', 1, 'interactive', 10), 'interactive')
    expect(queue.listInServiceOrder(100).map((entry) => entry.payload)).toEqual(['interactive', 'batch'])
    expect(queue.listInServiceOrder(250_000)[0]!.payload).toEqual('batch')
  })

  test('serves customers in proportion to their shares', () => {
    const queue = FairQueue.create<string>()
    for (let index = 0; index < 30; index++) {
      queue.addRequest(makeRequest('big', 3, 'interactive', 0), 'big')
      queue.addRequest(makeRequest('small', 1, 'interactive', 0), 'small')
    }
    let big = 0
    for (let served = 0; served < 20; served++) {
      const entry = queue.listInServiceOrder(0)[0]!
      queue.removeEntry(entry, true)
      if (entry.payload === 'big') big += 1
    }
    expect(big).toEqual(15)
  })
})
