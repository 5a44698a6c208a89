/** Estimates of a runner's speed, and what daemons tell each other about it, under the figures that runners were seen to report. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { Clock } from 'figquay'
import { RunnerSpeed, RunnerSpeeds, type SpeedRow } from '../../index.js'
import { makeRandom } from '../standins/SeededRandom.js'

const SPELL_FACTOR = 2.5

class ManualClock implements Clock {
  nowMs = 1_000
  now (): Date { return new Date(this.nowMs) }
  readMonotonicMs (): number { return this.nowMs }
  async waitFor (): Promise<void> {}
}

/** Figure of a VM over time: its own speed, and spells of 0.3 to 1 s, about every 4 s. */
function makeFigure (usual: number, random: () => number): (nowMs: number) => number {
  let startMs = 0
  let endMs = 0
  return (nowMs) => {
    while (nowMs >= endMs) {
      startMs = endMs + 1_000 + 6_000 * random()
      endMs = startMs + 300 + 700 * random()
    }
    return nowMs >= startMs ? usual * SPELL_FACTOR : usual
  }
}

function addFigures (speed: RunnerSpeed, figures: readonly number[], startMs = 0, intervalMs = 300): number {
  figures.forEach((figure, index) => speed.addFigure(figure, startMs + index * intervalMs))
  return startMs + (figures.length - 1) * intervalMs
}

describe('speed of a runner', () => {
  it('is unknown and taken for usual before the first figure', () => {
    expect(RunnerSpeed.create().estimate(0)).toEqual({ slowdown: 1, usualSlowdown: undefined })
  })

  it('follows a spell at once, and forgets it within some tenths of a second', () => {
    const speed = RunnerSpeed.create()
    const nowMs = addFigures(speed, [...Array.from({ length: 10 }, () => 1.2), 3])
    expect([0, 100, 300, 1_000].map((ageMs) => Math.round(speed.estimate(nowMs + ageMs).slowdown * 100))).toEqual([300, 300, 221, 133])
  })

  it('keeps one slow figure from making a runner slow for good, also if it is the first', () => {
    const first = RunnerSpeed.create()
    first.addFigure(3, 0)
    expect(first.estimate(0).usualSlowdown).toEqual(1)
    const later = RunnerSpeed.create()
    expect(later.estimate(addFigures(later, [...Array.from({ length: 10 }, () => 0.55), 1.375, 0.55])).usualSlowdown).toEqual(0.55)
  })

  it('ignores a single figure that is too low, and believes a VM that has become faster', () => {
    const speed = RunnerSpeed.create()
    const endMs = addFigures(speed, [...Array.from({ length: 9 }, () => 1.2), 0.4, 1.2])
    expect(speed.estimate(endMs).usualSlowdown).toEqual(1.2)
    expect(speed.estimate(addFigures(speed, [0.55, 0.55, 0.55], endMs + 300)).usualSlowdown).toEqual(0.55)
  })

  it('believes a VM that has become slower for good within some seconds', () => {
    const speed = RunnerSpeed.create()
    const endMs = addFigures(speed, Array.from({ length: 16 }, () => 0.55))
    expect(speed.estimate(addFigures(speed, Array.from({ length: 15 }, () => 2.4), endMs + 300)).usualSlowdown).toEqual(2.4)
  })

  it('returns to usual when the runner isn\'t heard of any more', () => {
    const speed = RunnerSpeed.create()
    const endMs = addFigures(speed, Array.from({ length: 16 }, () => 2))
    expect([59_000, 90_000, 120_000].map((ageMs) => speed.estimate(endMs + ageMs).usualSlowdown)).toEqual([2, 1.5, undefined])
  })

  it('is bounded when a runner misreports it', () => {
    const speeds = RunnerSpeeds.create(new ManualClock())
    speeds.noteFigure('fast', 0.0001)
    speeds.noteFigure('slow', 9_999)
    expect(['fast', 'slow'].map((runner) => speeds.estimate(runner, 1_000).slowdown)).toEqual([0.4, 25])
  })
})

/** Daemons that tell all others every 200 ms, with figures that each of them sees of each runner now and then. */
function runFleet (usualSlowdowns: readonly number[], { daemons, figuresPerSecond, seconds }: { readonly daemons: number, readonly figuresPerSecond: number, readonly seconds: number }) {
  const random = makeRandom(20261206)
  const clock = new ManualClock()
  const fleet = Array.from({ length: daemons }, () => RunnerSpeeds.create(clock))
  const figures = usualSlowdowns.map((usual) => makeFigure(usual, random))
  let sentRows = 0
  for (let tick = 0; tick < seconds * 50; tick += 1) {
    clock.nowMs += 20
    figures.forEach((readFigure, runner) => {
      if (random() < figuresPerSecond / 50) fleet[Math.floor(random() * daemons)]!.noteFigure(`r${runner}`, readFigure(clock.nowMs))
    })
    if (tick % 10 > 0) continue
    fleet.forEach((sender, index) => {
      const rows = sender.takeRows('all', (branch) => branch === undefined)
      sentRows += rows.length
      fleet.forEach((receiver, other) => {
        if (other !== index) receiver.applyRows(`d${index}`, rows, () => true)
      })
    })
  }
  return { clock, fleet, figures, rowsPerSecond: sentRows / seconds }
}

describe('speeds that daemons tell each other', () => {
  const USUAL = Array.from({ length: 21 }, (_, index) => index % 4 === 0 ? 1.2 : 0.55)

  it('give every daemon the slow component, although each has seen few figures itself', () => {
    const { clock, fleet } = runFleet(USUAL, { daemons: 16, figuresPerSecond: 4, seconds: 20 })
    const estimates = fleet.map((speeds) => USUAL.map((_, runner) => speeds.estimate(`r${runner}`, clock.nowMs).usualSlowdown))
    expect(estimates.filter((usual) => usual.join() !== USUAL.join()).length).toEqual(0)
  })

  it('cost little: the changes, and a repetition now and then', () => {
    const start = runFleet(USUAL, { daemons: 16, figuresPerSecond: 4, seconds: 5 })
    const later = runFleet(USUAL, { daemons: 16, figuresPerSecond: 4, seconds: 60 })
    // 84 figures a second are seen; a spell begins every 4.6 s on each runner.
    expect(start.rowsPerSecond < 50).toEqual(true)
    expect(later.rowsPerSecond < 21).toEqual(true)
  })

  it('reach a daemon that starts later, though it sees spells only', () => {
    const clock = new ManualClock()
    const [old, fresh] = [RunnerSpeeds.create(clock), RunnerSpeeds.create(clock)] as const
    for (let figure = 0; figure < 20; figure += 1) {
      clock.nowMs += 300
      old.noteFigure('r', 1.2)
      old.takeRows('fresh', () => true)
    }
    clock.nowMs += 300
    old.noteFigure('r', 3)
    fresh.applyRows('old', old.takeRows('fresh', () => true), () => true)
    expect(fresh.estimate('r', clock.nowMs)).toEqual({ slowdown: 3, usualSlowdown: 1.2 })
  })

  it('are sent once to each peer, and not back to where they came from', () => {
    const clock = new ManualClock()
    const speeds = RunnerSpeeds.create(clock)
    const takeRows = (peer: string): readonly SpeedRow[] => speeds.takeRows(peer, (branch) => branch !== peer)
    speeds.applyRows('a', [['r', 300, 50, 120]], () => true)
    speeds.applyRows('b', [['r', 300, 60, 120]], () => true)
    clock.nowMs += 100
    expect([takeRows('a'), takeRows('b'), takeRows('b')]).toEqual([[], [['r', 300, 150, 120]], []])
  })

  it('are bounded in each message, however many runners there are', () => {
    const speeds = RunnerSpeeds.create(new ManualClock())
    for (let runner = 0; runner < 7_400; runner += 1) speeds.noteFigure(`r${runner}`, 1.2)
    const rows = speeds.takeRows('peer', () => true)
    expect([rows.length, rows.at(-1)?.[0], speeds.takeRows('peer', () => true)]).toEqual([64, 'r7399', []])
  })

  it('are ignored where a peer sends something else', () => {
    const speeds = RunnerSpeeds.create(new ManualClock())
    for (const rows of [undefined, 'none', [null], [['r', 'fast', 0, 0]], [['r', 100, Infinity, 0]], [['gone', 300, 0, 0]]]) speeds.applyRows('peer', rows, (runner) => runner === 'r')
    expect(['r', 'gone'].map((runner) => speeds.estimate(runner, 1_000).usualSlowdown)).toEqual([undefined, undefined])
  })
})
