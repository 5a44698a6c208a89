/** Quarantine of requests by sequences of runner crashes; liveness of runners by probe results and registry. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { CrashFact } from 'figquay-fleet'
import { CrashHistory, classifyCrashes, determineLiveness, type QuarantineState } from '../../index.js'

let serial = 0

function makeCrash (runner: string, changes: Partial<CrashFact>): CrashFact {
  serial += 1
  return { type: 'crash', id: `crash-${serial}`, runner, bornMs: 1, suspects: [], isolated: [], bystanders: [], atMs: serial, ...changes }
}

function classifyFacts (facts: readonly CrashFact[], fingerprint: string): QuarantineState {
  const history = CrashHistory.create(() => true, () => false)
  for (const fact of facts) history.addFact(fact)
  return history.classifyRequest(fingerprint)
}

describe('history of crashes', () => {
  it('quarantines a request after two crashes if it was isolated in one, after three otherwise', () => {
    expect(classifyFacts([makeCrash('r1', { suspects: ['p', 'a'] }), makeCrash('r2', { suspects: ['p'], isolated: ['p'] })], 'p')).toEqual('quarantined')
    const crashes = ['r1', 'r2'].map((runner) => makeCrash(runner, { suspects: ['p', 'a', 'b'] }))
    expect(classifyFacts(crashes, 'p')).toEqual('suspect')
    expect(classifyFacts([...crashes, makeCrash('r3', { suspects: ['p'] })], 'p')).toEqual('quarantined')
  })

  it('counts a crash once that several daemons report', () => {
    const reports = Array.from({ length: 8 }, () => makeCrash('r1', { suspects: ['p'] }))
    expect(classifyFacts(reports, 'p')).toEqual('suspect')
  })

  it('allows three crashes during a stream with stable output, but not a fourth', () => {
    const crashes = ['r1', 'r2', 'r3'].map((runner) => makeCrash(runner, { bystanders: ['s'] }))
    expect(classifyFacts(crashes, 's')).toEqual('clear')
    expect(classifyFacts([...crashes, makeCrash('r4', { bystanders: ['s'] })], 's')).toEqual('quarantined')
  })

  it('ignores crashes before an acquittal, even if the acquittal is learnt first', () => {
    const history = CrashHistory.create(() => true, () => false)
    const crashes = [makeCrash('r1', { suspects: ['p'] }), makeCrash('r2', { suspects: ['p'] })]
    history.addFact({ type: 'acquittal', id: 'a', fingerprint: 'p', atMs: serial })
    for (const crash of crashes) history.addFact(crash)
    expect(history.classifyRequest('p')).toEqual('clear')
    history.addFact(makeCrash('r3', { suspects: ['p'] }))
    expect(history.countCrashes('p')).toEqual({ asSuspect: 1, inIsolation: 0, inAll: 1 })
  })

  it('quarantines no other request while a poison request is found, whatever requests share its runners', () => {
    // Twelve requests on four runners: a crash makes all requests on its runner suspects, and suspects are isolated from each other.
    const facts: CrashFact[] = []
    const history = CrashHistory.create(() => true, () => false)
    const open = new Set(['p', ...Array.from({ length: 11 }, (_, index) => `c${index}`)])
    let crashCount = 0
    for (let round = 0; round < 30 && open.size > 0; round += 1) {
      const states = new Map([...open].map((name) => [name, history.classifyRequest(name)]))
      for (const [name, state] of states) if (state === 'quarantined') open.delete(name)
      const runners = Array.from({ length: 4 }, (_, index): string[] => [...open].filter((name, position) => states.get(name) === 'clear' && position % 4 === index))
      const isolated = [...open].filter((name) => states.get(name) === 'suspect').slice(0, 4)
      isolated.forEach((name, index) => runners[index]!.push(name))
      for (const requests of runners) {
        if (requests.includes('p')) {
          crashCount += 1
          const fact = makeCrash(`r${crashCount}`, { suspects: requests, isolated: requests.filter((name) => isolated.includes(name)) })
          facts.push(fact)
          history.addFact(fact)
        } else for (const name of requests) open.delete(name)
      }
    }
    expect([crashCount, open.size]).toEqual([2, 0])
    expect(facts.flatMap(({ suspects }) => suspects).filter((name) => name !== 'p' && history.classifyRequest(name) === 'quarantined')).toEqual([])
  })

  it('counts a possible crash while the registry shows that the runner ended, and once if the crash is reported too', () => {
    const endedRunners = new Set<string>()
    const history = CrashHistory.create(() => true, ({ runner }) => endedRunners.has(runner))
    history.addFact(makeCrash('r1', { type: 'doubt', suspects: ['p'] }))
    expect(history.classifyRequest('p')).toEqual('clear')
    endedRunners.add('r1')
    expect(history.classifyRequest('p')).toEqual('suspect')
    history.addFact(makeCrash('r1', { suspects: ['p'] }))
    expect(history.countCrashes('p')).toEqual({ asSuspect: 1, inIsolation: 0, inAll: 1 })
    endedRunners.clear()
    expect(history.countCrashes('p').inAll).toEqual(1)
  })

  it('drops expired fingerprints that are no longer looked up', () => {
    let oldestMs = 0
    const history = CrashHistory.create(({ atMs }) => atMs >= oldestMs, () => false)
    for (let crash = 0; crash < 200; crash += 1) {
      const fact = makeCrash(`r${crash}`, { bystanders: Array.from({ length: 64 }, (_, index) => `b${crash}-${index}`) })
      oldestMs = fact.atMs - 10
      history.addFact(fact)
    }
    expect(history.size <= 4_064).toEqual(true)
  })

  it('quarantines after four crashes of whatever kinds', () => {
    for (let asSuspect = 0; asSuspect <= 4; asSuspect += 1) {
      for (let inIsolation = 0; inIsolation <= asSuspect; inIsolation += 1) expect(classifyCrashes({ asSuspect, inIsolation, inAll: 4 })).toEqual('quarantined')
    }
  })
})

describe('retrial of a request that had been answered before runners ended under it', () => {
  /** Three runners go dark at once while many daemons send them the same lookups; times in milliseconds. */
  function playOutage (isAnsweredBefore: boolean) {
    const time = { nowMs: 1_000 }
    const history = CrashHistory.create(() => true, () => false, ({ atMs }) => time.nowMs - atMs)
    if (isAnsweredBefore) history.noteAnswered('lookup')
    for (const runner of ['r1', 'r2', 'r3']) history.addFact(makeCrash(runner, { suspects: ['lookup', `order for ${runner}`], atMs: time.nowMs }))
    const classifyAfter = (ms: number): QuarantineState => {
      time.nowMs += ms
      return history.classifyRequest('lookup')
    }
    return { time, history, classifyAfter }
  }

  it('ends the refusals after an outage of all runners at once', () => {
    const { time, history, classifyAfter } = playOutage(true)
    expect([classifyAfter(0), classifyAfter(9_900), history.isOnRetrial('lookup')]).toEqual(['quarantined', 'quarantined', false])
    expect([classifyAfter(200), history.isOnRetrial('lookup')]).toEqual(['suspect', true])
    history.addFact({ type: 'acquittal', id: 'a', fingerprint: 'lookup', atMs: time.nowMs })
    expect([classifyAfter(0), history.isOnRetrial('lookup')]).toEqual(['clear', false])
  })

  it('comes ever later if a runner ends under it as well', () => {
    const { time, history, classifyAfter } = playOutage(true)
    expect(classifyAfter(10_100)).toEqual('suspect')
    history.addFact(makeCrash('r4', { suspects: ['lookup'], isolated: ['lookup'], atMs: time.nowMs }))
    expect([classifyAfter(10_100), classifyAfter(49_800), classifyAfter(200)]).toEqual(['quarantined', 'quarantined', 'suspect'])
  })

  it('isn\'t granted to a request that was never answered', () => {
    expect(playOutage(false).classifyAfter(500_000)).toEqual('quarantined')
  })
})

describe('liveness of a runner', () => {
  it('is not decided by silence alone, nor by the registry alone', () => {
    expect([determineLiveness('silent', 'listed', false), determineLiveness('unsure', 'gone', false), determineLiveness('unsure', 'listed', false)]).toEqual(['unknown', 'unknown', 'unknown'])
  })

  it('is ended if another process responds, nothing listens, the registry shows a restart, or silence and the registry agree', () => {
    expect([determineLiveness('other', 'listed', false), determineLiveness('refused', 'listed', false), determineLiveness('silent', 'gone', false), determineLiveness('unsure', 'restarted', false)]).toEqual(['ended', 'ended', 'ended', 'ended'])
  })

  it('is left rather than ended if the runner had reported draining', () => {
    expect([determineLiveness('refused', 'gone', true), determineLiveness('same', 'listed', true)]).toEqual(['left', 'lives'])
  })
})
