/** Loads from the weight store stay under its ceiling, across a change of the holder too. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { LoadBudget } from '../../index.js'

const WINDOW_MS = 5_000
/** What the weight store bears in a window. */
function countCeiling (rate: number): number {
  return rate * WINDOW_MS / 1_000 * 1.1 + 3
}

describe('budget of loads', () => {
  it('never begins more in any window than the store bears, whenever the holder changes', () => {
    fc.assert(fc.property(fc.double({ min: 0.5, max: 20, noNaN: true }), fc.array(fc.integer({ min: 0, max: 900 }), { maxLength: 200 }), fc.integer({ min: 0, max: 199 }), (rate, pauses, changeAt) => {
      let budget = LoadBudget.create()
      const begun: number[] = []
      let nowMs = 0
      pauses.forEach((pause, index) => {
        nowMs += pause
        if (index === changeAt) {
          budget = LoadBudget.create()
          budget.noteSpent(rate, nowMs)
        }
        while (budget.canLoad(rate, nowMs)) {
          budget.noteLoad(nowMs)
          begun.push(nowMs)
        }
      })
      return begun.every((atMs) => begun.filter((other) => other >= atMs && other < atMs + WINDOW_MS).length <= countCeiling(rate))
    }))
  })

  it('lets a successor load at once what waits most', () => {
    const budget = LoadBudget.create()
    budget.noteSpent(1.1, 0)
    expect(budget.canLoad(1.1, 0)).toEqual(true)
  })
})
