/** The fold of changes against a naive one, on random histories. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ConfigurationFold, type ChangeData } from 'figquay-contracts'
import type { LogRecord } from 'figquay-log'

const SEED = 20261204
const NAMES = ['ledger', 'desk', 'stock']

interface Step {
  readonly name: string
  /** How many versions behind the author is. */
  readonly behind: number
  readonly remove: boolean
  /** Whether the record stands twice in the log. */
  readonly doubled: boolean
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({ name: fc.constantFrom(...NAMES), behind: fc.constantFrom(0, 0, 0, 1), remove: fc.boolean(), doubled: fc.boolean() })

/** Replays steps into records, and into what a naive reader would hold. */
function makeHistory (steps: readonly Step[]): { readonly records: LogRecord[], readonly expected: Map<string, number> } {
  const records: LogRecord[] = []
  const expected = new Map<string, number>()
  for (const [index, step] of steps.entries()) {
    const key = `service/${step.name}`
    const current = expected.get(key) ?? 0
    const base = step.behind === 0 ? current : current + 7
    const data: ChangeData = { type: 'change', changeId: `c${index}`, author: 'a', documents: [{ key, base, body: step.remove ? null : { name: step.name } }] }
    const offset = records.length
    records.push({ offset, at: offset, id: `c${index}`, data })
    if (step.behind === 0 && step.remove) expected.delete(key)
    else if (step.behind === 0) expected.set(key, offset + 1)
    if (step.doubled) records.push({ offset: offset + 1, at: offset, id: `c${index}`, data })
  }
  return { records, expected }
}

function readVersions (fold: ConfigurationFold): Map<string, number> {
  return new Map([...fold.configuration.documents].map(([key, document]) => [key, document.version]))
}

describe('configuration fold', () => {
  test('holds what a naive reader holds; a doubled record changes nothing', () => {
    fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const { records, expected } = makeHistory(steps)
      const fold = ConfigurationFold.create()
      for (const record of records) fold.applyRecord(record)
      expect(readVersions(fold)).toEqual(expected)
    }), { seed: SEED })
  })

  test('a snapshot anywhere in the history leads to the same state', () => {
    fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 30 }), fc.nat(30), (steps, cut) => {
      const { records } = makeHistory(steps)
      const whole = ConfigurationFold.create()
      const first = ConfigurationFold.create()
      const second = ConfigurationFold.create()
      for (const record of records) whole.applyRecord(record)
      for (const record of records.slice(0, cut)) first.applyRecord(record)
      second.importState(JSON.parse(JSON.stringify(first.exportState())))
      for (const record of records.slice(cut)) second.applyRecord(record)
      expect(second.exportState()).toEqual(whole.exportState())
    }), { seed: SEED })
  })

  test('the loser is told which change beat it', () => {
    const fold = ConfigurationFold.create()
    const documents = [{ key: 'service/ledger', base: 0, body: { name: 'ledger' } }]
    for (const [offset, author] of ['mona', 'omar'].entries()) {
      fold.applyRecord({ offset, at: 0, id: author, data: { type: 'change', changeId: `by-${author}`, author, documents } satisfies ChangeData })
    }
    expect(fold.findVerdict('by-omar')?.reason).toEqual('service/ledger is at version 1 by mona (by-mona), not at 0')
  })
})
