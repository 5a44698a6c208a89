/** Tables for operators. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { formatRunnerSpeeds, type RunnerSpeedReport } from '../../FigquayctlViews.js'

const RUNNER: RunnerSpeedReport = { runner: 'r2', service: 's', zone: 'a', isLeaving: false, isHealthy: true, slowdown: 3, usualSlowdown: 1.2, requests: 4, slots: 32, pendingTokens: 9_190, maxPendingTokens: 3_926, models: ['m1', 'm2'] }

describe('table of runners', () => {
  it('shows speed, limit and the copies of each model, and what a runner doesn\'t report', () => {
    const lines = formatRunnerSpeeds([RUNNER, { ...RUNNER, runner: 'r1', slowdown: null, usualSlowdown: null, maxPendingTokens: null, models: ['m1'] }]).split('\n').map((line) => line.trim().split(/\s{2,}/))
    expect(lines.filter(([name]) => name === 'r1' || name === 'r2')).toEqual([
      ['r1', 's', 'a', 'up', '-', '-', '4/32', '9190/-', 'm1 (2)'],
      ['r2', 's', 'a', 'up', '1.20', '3.00', '4/32', '9190/3926', 'm1 (2) m2 (1)']
    ])
  })
})
