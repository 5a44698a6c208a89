/** Proof 11: beyond capacity refusals are immediate and final, priorities hold, limits hold over all daemons. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { Caller, LocalCluster, type CallResult } from 'figquay-measure'

const LIMIT_PER_SECOND = 20
const WINDOW_SECONDS = 10
const OVERSHOOT = 1.1
const REFUSAL_P99_MS = 50
/** The target of letter 1: the first token in time for 95 in 100. */
const IN_TIME_PART = 0.95

describe('overload', () => {
  const cluster = LocalCluster.create({
    deployment: 'guild',
    daemons: 4,
    storeScale: 0.02,
    size: { runners: 4, serviceUpstreams: 1 },
    editContracts: (text) => text.replace(/("customer": "workshop-alexandria"[\s\S]*?"requestsPerSecond": )\d+/, `$1${LIMIT_PER_SECOND}`)
  })
  const caller = Caller.create()
  before(() => cluster.start())
  after(async () => {
    caller.close()
    await cluster.stop()
  })

  async function flood (seconds: number, perSecond: number, send: (index: number) => Promise<CallResult>): Promise<CallResult[]> {
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
      // Shares follow demand: let them settle on this traffic first.
      await flood(3, 60, (index) => caller.complete({ url: pick(index), key: 'key-workshop-alexandria', model: 'shop-1', nonce: `w${index}`, prompt: 'clamp?', outputTokens: 1 }))
      const results = await flood(WINDOW_SECONDS, 60, (index) => caller.complete({ url: pick(index), key: 'key-workshop-alexandria', model: 'shop-1', nonce: `l${index}`, prompt: 'clamp?', outputTokens: 1 }))
      const admitted = results.filter((result) => result.status !== 429).length
      process.stderr.write(`admitted: ${admitted}; refused: ${results.filter((result) => result.status === 503).length}\n`)
      expect(admitted <= LIMIT_PER_SECOND * WINDOW_SECONDS * OVERSHOOT).toEqual(true)
      expect(admitted >= LIMIT_PER_SECOND * WINDOW_SECONDS * 0.7).toEqual(true)
      for (const result of results.filter((entry) => entry.status === 429)) expect(result.retryAfterSeconds !== undefined && result.outcome === 'not-run').toEqual(true)
    }
  })

  test('beyond capacity refusals are immediate, final and say when to come back; what is admitted is in time', async () => {
    const prompt = (index: number): string => `unlike any other ${index} `.repeat(400)
    const results = await flood(6, 40, (index) => caller.complete({ url: pickUrl(index), key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `o${index}`, prompt: prompt(index), outputTokens: 30 }))
    const refused = results.filter((result) => result.status === 503)
    expect(refused.length > 20).toEqual(true)
    const times = refused.map((result) => result.totalMs).sort((a, b) => a - b)
    for (const result of refused) expect([result.outcome, result.retryAfterSeconds !== undefined]).toEqual(['not-run', true])
    expect({ p99: times[Math.floor(times.length * 0.99)]! < REFUSAL_P99_MS }).toEqual({ p99: true })
    const answered = results.filter((result) => result.answer === 'whole')
    const inTime = answered.filter((result) => result.firstTokenMs <= 1_200).length
    const part = inTime / answered.length
    process.stderr.write(`in time: ${inTime} of ${answered.length}; late: ${results.flatMap((result, index) => result.answer === 'whole' && result.firstTokenMs > 1_200 ? [`${index}:${Math.round(result.firstTokenMs)}`] : []).join(' ')}\n`)
    expect({ answered: answered.length > 20, inTime: part >= IN_TIME_PART }).toEqual({ answered: true, inTime: true })
  })

  test('overnight work gives way to callers who wait', async () => {
    const overnight = flood(5, 20, (index) => caller.complete({ url: pickUrl(index), key: 'key-wholesale', kind: 'overnight', model: `manual-${index % 14 + 1}`, nonce: `n${index}`, prompt: `overnight ${index} `.repeat(200), outputTokens: 60 }))
    const counter = await flood(5, 4, (index) => caller.complete({ url: pickUrl(index), key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `c${index}`, prompt: 'Which part?', outputTokens: 20 }))
    const met = counter.filter((result) => result.answer === 'whole' && result.firstTokenMs <= 1_200).length
    expect(met / counter.length >= 0.95).toEqual(true)
    const late = await overnight
    expect(late.filter((result) => result.answer === 'whole').length / late.length > 0.95).toEqual(true)
  })

  test('half the daemons are killed: the others serve on, and the limit is not exceeded', async () => {
    const killed = cluster.daemons.slice(0, 2)
    for (const daemon of killed) daemon.process.signal('SIGKILL')
    await Promise.all(killed.map((daemon) => daemon.process.waitForExit()))
    const url = (index: number): string => cluster.daemons[2 + index % 2]!.callerUrl
    const flooding = flood(WINDOW_SECONDS, 40, (index) => caller.complete({ url: url(index), key: 'key-workshop-alexandria', model: 'shop-2', nonce: `k${index}`, prompt: 'clamp?', outputTokens: 1 }))
    const counter = await flood(8, 5, (index) => caller.complete({ url: url(index), key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `h${index}`, prompt: 'Which part?', outputTokens: 10 }))
    expect(counter.map((result) => result.answer)).toEqual(counter.map(() => 'whole'))
    const admitted = (await flooding).filter((result) => result.status !== 429).length
    expect(admitted <= LIMIT_PER_SECOND * WINDOW_SECONDS * OVERSHOOT).toEqual(true)
  })
})
