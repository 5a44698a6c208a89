/** Ends of runners are seen however they come, and nothing else is taken for one. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Clock } from 'figquay'
import { FleetRunnerTable, type CrashFact, type Runner } from 'figquay-fleet'
import { AttemptWatch, type RunnerLifeSign } from '../../index.js'

class HandClock implements Clock {
  nowMs = 1_000
  now (): Date { return new Date(this.nowMs) }
  readMonotonicMs (): number { return this.nowMs }
  async waitFor (): Promise<void> {}
}

const RUNNER: Runner = { id: 'r', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 8, isLeaving: false, bornMs: 1, holdings: undefined }

function makeWatch () {
  const clock = new HandClock()
  const table = FleetRunnerTable.create(clock)
  table.putRunner(RUNNER, 1)
  const state = { sign: 'silent' as RunnerLifeSign, asked: 0 }
  const crashes: Array<Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>> = []
  const doubts: Array<Pick<CrashFact, 'suspects' | 'isolated' | 'bystanders'>> = []
  const watch = AttemptWatch.create({
    clock,
    table,
    exchanges: {
      findLifeSign: async () => {
        state.asked += 1
        return state.sign
      }
    },
    reportCrash: (_runner, crash) => crashes.push(crash),
    reportDoubt: (_runner, doubt) => doubts.push(doubt),
    recordQuestion: () => {}
  })
  /** Lets time pass in steps, looking after the attempts at each. */
  const pass = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 250) {
      clock.nowMs += 250
      watch.refresh()
      await new Promise((resolve) => setImmediate(resolve))
    }
  }
  return { clock, table, watch, state, crashes, doubts, pass }
}

describe('watch over attempts', () => {
  it('charges a request whose caller had left before its silent runner was found to have ended', async () => {
    const { table, watch, crashes, pass } = makeWatch()
    watch.noteSilent(watch.addAttempt(RUNNER, 'p', false))
    await pass(2_000)
    expect(crashes).toEqual([])
    table.removeRunner('r', 2)
    await pass(1_000)
    expect(crashes).toEqual([{ suspects: ['p'], isolated: [], bystanders: [] }])
    expect(watch.size).toEqual(0)
  })

  it('tells its doubt while the answer may still come, once, so that it outlives this daemon', async () => {
    const { watch, state, crashes, doubts, pass } = makeWatch()
    const attempt = watch.addAttempt(RUNNER, 'p', false)
    await pass(2_000)
    expect([doubts, crashes, state.asked]).toEqual([[{ suspects: ['p'], isolated: [], bystanders: [] }], [], 1])
    watch.noteSilent(attempt)
    await pass(3_000)
    expect(doubts.length).toEqual(1)
  })

  it('charges every attempt that broke while a question was out, not only the one that raised it', async () => {
    const { watch, state, crashes } = makeWatch()
    state.sign = 'refused'
    const [first, second] = [watch.addAttempt(RUNNER, 'p', true), watch.addAttempt(RUNNER, 'c', false)]
    await Promise.all([watch.noteBroken(RUNNER, first), watch.noteBroken(RUNNER, second)])
    expect([crashes, state.asked]).toEqual([[{ suspects: ['p', 'c'], isolated: ['p'], bystanders: [] }], 1])
  })

  it('tells a successor at the address from the process that had the request', async () => {
    const { table, watch, state, crashes, pass } = makeWatch()
    state.sign = 'unsure'
    await watch.noteBroken(RUNNER, watch.addAttempt(RUNNER, 'p', false))
    expect(crashes).toEqual([])
    table.putRunner({ ...RUNNER, bornMs: 2 }, 2)
    table.noteHeard('r')
    await pass(2_000)
    expect(crashes.map(({ suspects }) => suspects)).toEqual([['p']])
  })

  it('charges nobody when the runner lives, has been heard of since, or was only cut off', async () => {
    const { clock, table, watch, state, crashes, pass } = makeWatch()
    watch.noteSilent(watch.addAttempt(RUNNER, 'a', false))
    clock.nowMs += 100
    table.noteHeard('r')
    await pass(1_500)
    expect([state.asked, watch.size]).toEqual([0, 0])
    await watch.noteBroken(RUNNER, watch.addAttempt(RUNNER, 'b', false))
    await pass(1_500)
    state.sign = 'same'
    await pass(1_500)
    expect([crashes, watch.size]).toEqual([[], 0])
  })

  it('charges nobody with the end of a runner that had said it would leave', async () => {
    const { table, watch, state, crashes } = makeWatch()
    table.markLeaving('r', 1)
    state.sign = 'refused'
    await watch.noteBroken(RUNNER, watch.addAttempt(RUNNER, 'a', false))
    expect([crashes, watch.size]).toEqual([[], 0])
  })

  it('takes a stream that had run well for a bystander', async () => {
    const { clock, watch, state, crashes } = makeWatch()
    const stream = watch.addAttempt(RUNNER, 's', false)
    watch.noteOutput(stream)
    clock.nowMs += 600
    watch.noteOutput(stream)
    state.sign = 'refused'
    await watch.noteBroken(RUNNER, stream)
    expect(crashes).toEqual([{ suspects: [], isolated: [], bystanders: ['s'] }])
  })

  it('lets go of an attempt in the end that nothing more is heard of', async () => {
    const { watch, state, pass } = makeWatch()
    state.sign = 'unsure'
    await watch.noteBroken(RUNNER, watch.addAttempt(RUNNER, 'a', false))
    await pass(9_000)
    expect(watch.size).toEqual(0)
  })
})
