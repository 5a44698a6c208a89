/** Beyond capacity refusals are immediate and final, priorities are kept, and a customer's limit holds over all daemons. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult } from 'figquay-measure'

const REQUEST_LIMIT_PER_SECOND = 20
const WINDOW_SECONDS = 10
/** Highest ratio of admitted requests to the limit, over a window. */
const MAX_ADMITTED_RATIO = 1.1
const REFUSAL_P99_LIMIT_MS = 50
/** Service level objective: fraction of the answers whose first token is in time. */
const MIN_IN_TIME_RATIO = 0.95

describe('overload', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 4,
    transferTimeScale: 0.02,
    size: { runners: 4, serviceUpstreams: 1 },
    editContracts: (text) => text.replace(/("customer": "workshop-alexandria"[\s\S]*?"requestsPerSecond": )\d+/, `$1${REQUEST_LIMIT_PER_SECOND}`)
  })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  /** Sends requests at a constant rate, without waiting for earlier ones to finish. */
  async function sendAtRate (seconds: number, perSecond: number, send: (index: number) => Promise<CallResult>): Promise<CallResult[]> {
    const calls: Array<Promise<CallResult>> = []
    for (let index = 0; index < seconds * perSecond; index++) {
      calls.push(send(index))
      await new Promise((resolve) => setTimeout(resolve, 1_000 / perSecond))
    }
    return await Promise.all(calls)
  }

  const pickUrl = (index: number): string => cluster.daemons[index % cluster.daemons.length]!.callerUrl

  test('a limit holds over all daemons together, also when only some get the traffic', async () => {
    for (const pick of [pickUrl, (index: number) => cluster.daemons[index % 2]!.callerUrl]) {
      // The daemons' shares of the limit follow demand, and need some seconds to settle on this traffic.
      await sendAtRate(3, 60, (index) => caller.complete({ url: pick(index), key: 'key-workshop-alexandria', model: 'shop-1', nonce: `w${index}`, prompt: 'clamp?', outputTokens: 1 }))
      const results = await sendAtRate(WINDOW_SECONDS, 60, (index) => caller.complete({ url: pick(index), key: 'key-workshop-alexandria', model: 'shop-1', nonce: `l${index}`, prompt: 'clamp?', outputTokens: 1 }))
      const admitted = results.filter((result) => result.status !== 429).length
      process.stderr.write(`admitted: ${admitted}; refused: ${results.filter((result) => result.status === 503).length}\n`)
      expect(admitted <= REQUEST_LIMIT_PER_SECOND * WINDOW_SECONDS * MAX_ADMITTED_RATIO).toEqual(true)
      expect(admitted >= REQUEST_LIMIT_PER_SECOND * WINDOW_SECONDS * 0.7).toEqual(true)
      for (const result of results.filter((entry) => entry.status === 429)) expect(result.retryAfterSeconds !== undefined && result.outcome === 'not-run').toEqual(true)
    }
  })

  test('beyond capacity refusals are immediate, final and say when to come back; what is admitted is in time', async () => {
    const prompt = (index: number): string => `unlike any other ${index} `.repeat(400)
    const results = await sendAtRate(6, 40, (index) => caller.complete({ url: pickUrl(index), key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `o${index}`, prompt: prompt(index), outputTokens: 30 }))
    const refused = results.filter((result) => result.status === 503)
    expect(refused.length > 20).toEqual(true)
    const refusalTimesMs = refused.map((result) => result.totalMs).sort((a, b) => a - b)
    for (const result of refused) expect([result.outcome, result.retryAfterSeconds !== undefined]).toEqual(['not-run', true])
    expect({ p99: refusalTimesMs[Math.floor(refusalTimesMs.length * 0.99)]! < REFUSAL_P99_LIMIT_MS }).toEqual({ p99: true })
    const answered = results.filter((result) => result.answer === 'whole')
    const inTime = answered.filter((result) => result.firstTokenMs <= 1_200).length
    const inTimeRatio = inTime / answered.length
    process.stderr.write(`in time: ${inTime} of ${answered.length}; late: ${results.flatMap((result, index) => result.answer === 'whole' && result.firstTokenMs > 1_200 ? [`${index}:${Math.round(result.firstTokenMs)}`] : []).join(' ')}\n`)
    expect({ answered: answered.length > 20, inTime: inTimeRatio >= MIN_IN_TIME_RATIO }).toEqual({ answered: true, inTime: true })
  })

  test('batch requests yield to interactive requests', async () => {
    const batchCalls = sendAtRate(5, 20, (index) => caller.complete({ url: pickUrl(index), key: 'key-wholesale', kind: 'overnight', model: `manual-${index % 14 + 1}`, nonce: `n${index}`, prompt: `overnight ${index} `.repeat(200), outputTokens: 60 }))
    const interactiveResults = await sendAtRate(5, 4, (index) => caller.complete({ url: pickUrl(index), key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `c${index}`, prompt: 'Which part?', outputTokens: 20 }))
    const inTime = interactiveResults.filter((result) => result.answer === 'whole' && result.firstTokenMs <= 1_200).length
    expect(inTime / interactiveResults.length >= 0.95).toEqual(true)
    const batchResults = await batchCalls
    expect(batchResults.filter((result) => result.answer === 'whole').length / batchResults.length > 0.95).toEqual(true)
  })

  test('after half the daemons are killed the others keep serving, and the limit is not exceeded', async () => {
    const killed = cluster.daemons.slice(0, 2)
    for (const daemon of killed) daemon.process.sendSignal('SIGKILL')
    await Promise.all(killed.map((daemon) => daemon.process.waitForExit()))
    const url = (index: number): string => cluster.daemons[2 + index % 2]!.callerUrl
    const limitedCalls = sendAtRate(WINDOW_SECONDS, 40, (index) => caller.complete({ url: url(index), key: 'key-workshop-alexandria', model: 'shop-2', nonce: `k${index}`, prompt: 'clamp?', outputTokens: 1 }))
    const interactiveResults = await sendAtRate(8, 5, (index) => caller.complete({ url: url(index), key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `h${index}`, prompt: 'Which part?', outputTokens: 10 }))
    expect(interactiveResults.map((result) => result.answer)).toEqual(interactiveResults.map(() => 'whole'))
    const admitted = (await limitedCalls).filter((result) => result.status !== 429).length
    expect(admitted <= REQUEST_LIMIT_PER_SECOND * WINDOW_SECONDS * MAX_ADMITTED_RATIO).toEqual(true)
  })
})
