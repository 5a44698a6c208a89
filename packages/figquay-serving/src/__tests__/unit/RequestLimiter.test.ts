/** Limits that runners name hold over all daemons of a large fleet, also while the leader changes or can't be reached. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { makeFailure, makeSuccess, type Outcome } from 'figquay'
import type { Runner } from 'figquay-fleet'
import { RequestLimiter, type LimitEnd, type RequestPermitRequest } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

const RUNNER: Runner = { id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 64, isLeaving: false, bornMs: 7, holdings: undefined }
const DAEMON_COUNT = 66
const WINDOW_MS = 4_000

/** Daemons that all know the limit; each asks the leader that `findLeader` names for it. */
function makeDaemons (clock: SimulatedClock, findLeader: (daemon: string) => string | undefined, lost: ReadonlySet<string> = new Set()): Map<string, RequestLimiter> {
  const daemons = new Map<string, RequestLimiter>()
  const callPeer = async <T>(daemon: string, _method: string, request: unknown, timeoutMs: number): Promise<Outcome<T, string>> => {
    await clock.waitFor(lost.has(daemon) ? timeoutMs : 1)
    return lost.has(daemon) ? makeFailure('timeout') : makeSuccess(daemons.get(daemon)!.handleAcquire(request as RequestPermitRequest) as T)
  }
  for (let index = 0; index < DAEMON_COUNT; index += 1) {
    const self = `d${index}`
    daemons.set(self, RequestLimiter.create({ self, clock, findLeader: () => findLeader(self), callPeer, notifyPeer: (daemon, _method, end) => daemons.get(daemon)!.handleEnd(end as LimitEnd) }))
  }
  return daemons
}

/** Has every daemon send to the runner whenever it may; returns the times of the requests. */
async function sendAll (clock: SimulatedClock, daemons: ReadonlyMap<string, RequestLimiter>, durationMs: number): Promise<number[]> {
  const times: number[] = []
  const untilMs = clock.readMonotonicMs() + durationMs
  for (const limiter of daemons.values()) {
    const send = async (): Promise<void> => {
      while (clock.readMonotonicMs() < untilMs) {
        const waitMs = await limiter.acquirePermit(RUNNER)
        if (waitMs === 0) times.push(clock.readMonotonicMs())
        await clock.waitFor(Math.max(1, waitMs))
      }
    }
    send().catch((error: unknown) => times.push(Number(String(error))))
  }
  await clock.runFor(durationMs)
  return times
}

function countWorstWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((endMs) => times.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs).length))
}

function countAllowed (requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MS / 1_000 + 5
}

describe('request limiter', () => {
  it('keeps any limit over all daemons together, whenever the leader changes, and uses most of it', async () => {
    await fc.assert(fc.asyncProperty(fc.double({ min: 0.2, max: 60, noNaN: true }), fc.integer({ min: 500, max: 9_000 }), fc.integer({ min: 0, max: 1_500 }), async (limit, changeAtMs, disagreementMs) => {
      const clock = SimulatedClock.create()
      const startedAtMs = clock.readMonotonicMs()
      // Half of the daemons learn of the new leader later than the others.
      const findLeader = (daemon: string): string => clock.readMonotonicMs() - startedAtMs < changeAtMs + (Number(daemon.slice(1)) % 2) * disagreementMs ? 'd1' : 'd2'
      const daemons = makeDaemons(clock, findLeader)
      for (const limiter of daemons.values()) limiter.noteLimit(RUNNER, limit)
      const times = await sendAll(clock, daemons, 10_000)
      expect(countWorstWindow(times) <= countAllowed(limit)).toEqual(true)
      expect(times.length >= Math.floor(limit * 10 * 0.7)).toEqual(true)
    }), { numRuns: 20 })
  })

  it('sends nothing to a limited runner while the leader is unknown or gives no answer, and goes on afterwards', async () => {
    const clock = SimulatedClock.create()
    const lost = new Set(['d1'])
    const known = { leader: '' }
    const daemons = makeDaemons(clock, () => known.leader, lost)
    for (const limiter of daemons.values()) limiter.noteLimit(RUNNER, 5)
    const others = new Map([...daemons].filter(([daemon]) => daemon !== 'd1'))
    expect(await sendAll(clock, others, 2_000)).toEqual([])
    known.leader = 'd1'
    expect(await sendAll(clock, others, 2_000)).toEqual([])
    lost.clear()
    expect((await sendAll(clock, others, 4_000)).length > 10).toEqual(true)
  })

  it('ends a limit for all daemons once one of them has an answer without it, and holds it again once it is named again', async () => {
    const clock = SimulatedClock.create()
    const daemons = makeDaemons(clock, () => 'd1')
    for (const limiter of daemons.values()) limiter.noteLimit(RUNNER, 1)
    await clock.runFor(100)
    daemons.get('d5')!.noteNoLimit(RUNNER, clock.readMonotonicMs())
    expect((await sendAll(clock, daemons, 1_000)).length > DAEMON_COUNT * 10).toEqual(true)
    for (const limiter of daemons.values()) limiter.noteLimit(RUNNER, 1)
    expect(countWorstWindow(await sendAll(clock, daemons, 8_000)) <= countAllowed(1)).toEqual(true)
  })

  it('ends a limit by an answer to a later request that names none, and by a new process of the runner', () => {
    const clock = SimulatedClock.create()
    const [limiter] = [...makeDaemons(clock, () => undefined).values()] as [RequestLimiter]
    expect([limiter.noteLimit(RUNNER, 2), limiter.noteLimit(RUNNER, 2), limiter.noteLimit(RUNNER, 3)]).toEqual([true, false, true])
    const namedAtMs = clock.readMonotonicMs()
    expect([limiter.noteNoLimit(RUNNER, namedAtMs - 1), limiter.isAvoided(RUNNER), limiter.isAvoided({ ...RUNNER, bornMs: 8 })]).toEqual([false, true, false])
    expect([limiter.noteNoLimit(RUNNER, namedAtMs), limiter.isAvoided(RUNNER)]).toEqual([true, false])
  })

  it('survives malformed requests for permits', () => {
    const [limiter] = [...makeDaemons(SimulatedClock.create(), () => undefined).values()] as [RequestLimiter]
    limiter.handleAcquire({ runner: 'r', bornMs: 7, requestsPerSecond: 'x' as unknown as number, ageMs: 0 })
    limiter.handleAcquire({} as RequestPermitRequest)
    limiter.handleAcquire({ runner: 'r', bornMs: 7, requestsPerSecond: 1, ageMs: 'x' as unknown as number })
    expect(limiter.handleAcquire({ runner: 'r', bornMs: 7, requestsPerSecond: 1, ageMs: 0 }).type).toEqual('denied')
  })
})
