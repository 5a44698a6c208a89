/** Whom the ends of runners are laid at, played as loads of requests and ends; and what a runner's answers say of its fate. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { CrashFact } from 'figquay-fleet'
import { CrashEvidence, judgeCrashes, judgeRunner, type CrashVerdict } from '../../index.js'

let serial = 0

function makeCrash (runner: string, changes: Partial<CrashFact>): CrashFact {
  serial += 1
  return { type: 'crash', id: `crash-${serial}`, runner, bornMs: 1, suspects: [], isolated: [], bystanders: [], atMs: serial, ...changes }
}

function judgeFacts (facts: readonly CrashFact[], fingerprint: string): CrashVerdict {
  const evidence = CrashEvidence.create(() => true, () => false)
  for (const fact of facts) evidence.addFact(fact)
  return evidence.judgeRequest(fingerprint)
}

describe('evidence of crashes', () => {
  it('stops a request after two ends when it was apart at one, after three in any company', () => {
    expect(judgeFacts([makeCrash('r1', { suspects: ['p', 'a'] }), makeCrash('r2', { suspects: ['p'], isolated: ['p'] })], 'p')).toEqual('quarantined')
    const crowd = ['r1', 'r2'].map((runner) => makeCrash(runner, { suspects: ['p', 'a', 'b'] }))
    expect(judgeFacts(crowd, 'p')).toEqual('suspect')
    expect(judgeFacts([...crowd, makeCrash('r3', { suspects: ['p'] })], 'p')).toEqual('quarantined')
  })

  it('counts an end once that many daemons report', () => {
    const reports = Array.from({ length: 8 }, () => makeCrash('r1', { suspects: ['p'] }))
    expect(judgeFacts(reports, 'p')).toEqual('suspect')
  })

  it('bears three ends under a stream that had run well, and not a fourth', () => {
    const ends = ['r1', 'r2', 'r3'].map((runner) => makeCrash(runner, { bystanders: ['s'] }))
    expect(judgeFacts(ends, 's')).toEqual('clear')
    expect(judgeFacts([...ends, makeCrash('r4', { bystanders: ['s'] })], 's')).toEqual('quarantined')
  })

  it('forgets what lies before a whole answer, also when the two are heard of in the other order', () => {
    const evidence = CrashEvidence.create(() => true, () => false)
    const crashes = [makeCrash('r1', { suspects: ['p'] }), makeCrash('r2', { suspects: ['p'] })]
    evidence.addFact({ type: 'acquittal', id: 'a', fingerprint: 'p', atMs: serial })
    for (const crash of crashes) evidence.addFact(crash)
    expect(evidence.judgeRequest('p')).toEqual('clear')
    evidence.addFact(makeCrash('r3', { suspects: ['p'] }))
    expect(evidence.countCrashes('p')).toEqual({ asSuspect: 1, inIsolation: 0, inAll: 1 })
  })

  it('keeps the companions of a request that ends every runner, whatever company the draw gives them', () => {
    // Twelve requests on four runners; each end lays its company under suspicion, and suspects run apart from each other.
    const facts: CrashFact[] = []
    const evidence = CrashEvidence.create(() => true, () => false)
    const open = new Set(['p', ...Array.from({ length: 11 }, (_, index) => `c${index}`)])
    let ends = 0
    for (let round = 0; round < 30 && open.size > 0; round += 1) {
      const verdicts = new Map([...open].map((name) => [name, evidence.judgeRequest(name)]))
      for (const [name, verdict] of verdicts) if (verdict === 'quarantined') open.delete(name)
      const places = Array.from({ length: 4 }, (_, index): string[] => [...open].filter((name, place) => verdicts.get(name) === 'clear' && place % 4 === index))
      const apart = [...open].filter((name) => verdicts.get(name) === 'suspect').slice(0, 4)
      apart.forEach((name, index) => places[index]!.push(name))
      for (const company of places) {
        if (company.includes('p')) {
          ends += 1
          const fact = makeCrash(`r${ends}`, { suspects: company, isolated: company.filter((name) => apart.includes(name)) })
          facts.push(fact)
          evidence.addFact(fact)
        } else for (const name of company) open.delete(name)
      }
    }
    expect([ends, open.size]).toEqual([2, 0])
    expect(facts.flatMap(({ suspects }) => suspects).filter((name) => name !== 'p' && evidence.judgeRequest(name) === 'quarantined')).toEqual([])
  })

  it('counts a doubt as an end while the list says so, and once beside the verdict on it', () => {
    const over = new Set<string>()
    const evidence = CrashEvidence.create(() => true, ({ runner }) => over.has(runner))
    evidence.addFact(makeCrash('r1', { type: 'doubt', suspects: ['p'] }))
    expect(evidence.judgeRequest('p')).toEqual('clear')
    over.add('r1')
    expect(evidence.judgeRequest('p')).toEqual('suspect')
    evidence.addFact(makeCrash('r1', { suspects: ['p'] }))
    expect(evidence.countCrashes('p')).toEqual({ asSuspect: 1, inIsolation: 0, inAll: 1 })
    over.clear()
    expect(evidence.countCrashes('p').inAll).toEqual(1)
  })

  it('forgets requests that nobody asks about any more', () => {
    let oldest = 0
    const evidence = CrashEvidence.create(({ atMs }) => atMs >= oldest, () => false)
    for (let end = 0; end < 200; end += 1) {
      const fact = makeCrash(`r${end}`, { bystanders: Array.from({ length: 64 }, (_, index) => `b${end}-${index}`) })
      oldest = fact.atMs - 10
      evidence.addFact(fact)
    }
    expect(evidence.size <= 4_064).toEqual(true)
  })

  it('never lets more ends pass than four, of whatever kinds', () => {
    for (let asSuspect = 0; asSuspect <= 4; asSuspect += 1) {
      for (let inIsolation = 0; inIsolation <= asSuspect; inIsolation += 1) expect(judgeCrashes({ asSuspect, inIsolation, inAll: 4 })).toEqual('quarantined')
    }
  })
})

describe('fate of a runner', () => {
  it('is not told by silence alone, nor by the list alone', () => {
    expect([judgeRunner('silent', 'listed', false), judgeRunner('unsure', 'gone', false), judgeRunner('unsure', 'listed', false)]).toEqual(['unknown', 'unknown', 'unknown'])
  })

  it('is an end when another answers in its place, nobody listens, or silence and the list agree', () => {
    expect([judgeRunner('other', 'listed', false), judgeRunner('refused', 'listed', false), judgeRunner('silent', 'gone', false), judgeRunner('unsure', 'restarted', false)]).toEqual(['ended', 'ended', 'ended', 'ended'])
  })

  it('is nobody\'s fault when the runner had said that it would leave', () => {
    expect([judgeRunner('refused', 'gone', true), judgeRunner('same', 'listed', true)]).toEqual(['left', 'lives'])
  })
})
