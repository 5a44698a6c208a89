/** What the gate lets through of requests on retrial: one at a time over all daemons, and none without a confirmed permit. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger } from 'figquay'
import type { Runner } from 'figquay-fleet'
import { CrashHistory, ServingTelemetry, SuspectGate, type IsolationResult, type PermitReply, type PermitRequest, type ServedRequest } from '../../index.js'
import { SimulatedClock } from '../standins/SimulatedClock.js'

const RUNNER: Runner = { id: 'r9', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 6, isLeaving: false, bornMs: 0, holdings: undefined }

/** Asks the gate for a lookup under which three runners have ended; the second answer comes after the longest wait. */
async function askGate (reply: (permit: PermitRequest) => PermitReply) {
  const clock = SimulatedClock.create()
  const crashHistory = CrashHistory.create(() => true, () => false, () => 20_000)
  crashHistory.noteAnswered('lookup')
  for (const runner of ['r1', 'r2', 'r3']) crashHistory.addFact({ type: 'crash', id: runner, runner, bornMs: 1, suspects: ['lookup'], isolated: [], bystanders: [], atMs: 1 })
  const held = new Set<string>()
  const acquirePermit = async (permit: PermitRequest): Promise<PermitReply> => {
    const answer = reply(permit)
    if (answer !== 'refused') held.add(permit.runner)
    return answer
  }
  const gate = SuspectGate.create({ clock, crashHistory, acquirePermit, releasePermit: ({ runner }) => held.delete(runner), telemetry: ServingTelemetry.create(clock, JsonLogger.create('test', 'silent')) })
  const gated = gate.prepareRequest({ id: 'q', fingerprint: 'lookup', parts: [], route: { name: 'stock' }, arrivedAtMs: 0 } as unknown as ServedRequest)
  const results: IsolationResult[] = [await gate.isolateRequest(gated, RUNNER, new AbortController().signal)]
  await clock.runFor(1_100)
  results.push(await gate.isolateRequest(gated, RUNNER, new AbortController().signal))
  return { results, held: [...held] }
}

describe('gate for a request on retrial', () => {
  it('lets it through with permits for itself and for its runner', async () => {
    expect(await askGate(() => 'granted')).toEqual({ results: ['granted', 'granted'], held: ['lookup', 'r9'] })
  })

  it('withholds it while another daemon tries it, rather than send it without a permit', async () => {
    expect(await askGate(({ runner }) => runner === 'lookup' ? 'refused' : 'granted')).toEqual({ results: ['refused', 'withheld'], held: [] })
  })

  it('withholds it while no leader confirms the permits', async () => {
    expect(await askGate(() => 'unconfirmed')).toEqual({ results: ['refused', 'withheld'], held: [] })
  })
})
