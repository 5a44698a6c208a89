/** Compares the configuration state machine with a simple reference model on random change histories. */
import { describe, test } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { ConfigurationStateMachine, type ConfigurationChange } from 'figquay-contracts'
import type { LogRecord } from 'figquay-log'

const SEED = 20261204
const SERVICE_NAMES = ['ledger', 'desk', 'stock']

interface HistoryStep {
  readonly name: string
  /** 0: based on the current version; 1: based on another version, so that the change must be rejected. */
  readonly baseMismatch: number
  readonly isRemoval: boolean
  /** Whether the log contains the record twice. */
  readonly isDuplicated: boolean
}

const stepArbitrary: fc.Arbitrary<HistoryStep> = fc.record({ name: fc.constantFrom(...SERVICE_NAMES), baseMismatch: fc.constantFrom(0, 0, 0, 1), isRemoval: fc.boolean(), isDuplicated: fc.boolean() })

/** Converts steps to log records and to the versions that a reference model expects after them. */
function makeHistory (steps: readonly HistoryStep[]): { readonly records: LogRecord[], readonly expected: Map<string, number> } {
  const records: LogRecord[] = []
  const expected = new Map<string, number>()
  for (const [index, step] of steps.entries()) {
    const key = `service/${step.name}`
    const current = expected.get(key) ?? 0
    const base = step.baseMismatch === 0 ? current : current + 7
    const data: ConfigurationChange = { type: 'change', changeId: `c${index}`, author: 'a', documents: [{ key, base, body: step.isRemoval ? null : { name: step.name } }] }
    const offset = records.length
    records.push({ offset, at: offset, id: `c${index}`, data })
    if (step.baseMismatch === 0 && step.isRemoval) expected.delete(key)
    else if (step.baseMismatch === 0) expected.set(key, offset + 1)
    if (step.isDuplicated) records.push({ offset: offset + 1, at: offset, id: `c${index}`, data })
  }
  return { records, expected }
}

function readVersions (stateMachine: ConfigurationStateMachine): Map<string, number> {
  return new Map([...stateMachine.configuration.documents].map(([key, document]) => [key, document.version]))
}

describe('configuration state machine', () => {
  test('matches the reference model; a duplicate record has no effect', () => {
    fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 40 }), (steps) => {
      const { records, expected } = makeHistory(steps)
      const stateMachine = ConfigurationStateMachine.create()
      for (const record of records) stateMachine.applyRecord(record)
      expect(readVersions(stateMachine)).toEqual(expected)
    }), { seed: SEED })
  })

  test('restoring a snapshot taken anywhere in the history leads to the same state', () => {
    fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 30 }), fc.nat(30), (steps, snapshotIndex) => {
      const { records } = makeHistory(steps)
      const uninterrupted = ConfigurationStateMachine.create()
      const beforeSnapshot = ConfigurationStateMachine.create()
      const afterSnapshot = ConfigurationStateMachine.create()
      for (const record of records) uninterrupted.applyRecord(record)
      for (const record of records.slice(0, snapshotIndex)) beforeSnapshot.applyRecord(record)
      afterSnapshot.importState(JSON.parse(JSON.stringify(beforeSnapshot.exportState())))
      for (const record of records.slice(snapshotIndex)) afterSnapshot.applyRecord(record)
      expect(afterSnapshot.exportState()).toEqual(uninterrupted.exportState())
    }), { seed: SEED })
  })

  test('a rejected change names the change that it conflicts with', () => {
    const stateMachine = ConfigurationStateMachine.create()
    const documents = [{ key: 'service/ledger', base: 0, body: { name: 'ledger' } }]
    for (const [offset, author] of ['mona', 'omar'].entries()) {
      stateMachine.applyRecord({ offset, at: 0, id: author, data: { type: 'change', changeId: `by-${author}`, author, documents } satisfies ConfigurationChange })
    }
    expect(stateMachine.findVerdict('by-omar')?.reason).toEqual('service/ledger is at version 1 by mona (by-mona); the change is based on version 0')
  })
})
