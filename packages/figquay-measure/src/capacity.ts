#!/usr/bin/env node
/** Measures the slopes that docs/CAPACITY.md is worked out from. */
import { binary, command, option, run, string } from 'cmd-ts'
import { Configuration, ConfigurationStateMachine, type ConfigurationChange, type DocumentChange } from 'figquay-contracts'
import { IdempotencyStateMachine } from 'figquay-idempotency'
import { GainPlacement, type PlacementInput } from 'figquay-placement'
import { Caller } from './FigquayMeasureCaller.js'
import { LocalCluster } from './FigquayMeasureCluster.js'
import type { ClusterOptions } from './FigquayMeasureClusterTypes.js'

const SETTLE_MS = 4_000
const WINDOW_MS = 10_000
const FAST_STORE = 0.02
const MIB = 2 ** 20
const GIB = 2 ** 30

/** Control cost of one daemon. */
interface ControlCost {
  readonly cpuPercent: number
  readonly peerBytesPerSecond: number
  readonly memoryMib: number
  readonly appendsPerSecond: number
}

function wait (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

async function readTotals (cluster: LocalCluster) {
  const all = await Promise.all(cluster.daemons.map((daemon) => cluster.readMetrics(daemon)))
  const sum = (name: string): number => all.reduce((total, metrics) => total + (metrics.get(name) ?? 0), 0)
  return { cpu: sum('process_cpu_seconds_total'), bytes: sum('figquay_peer_bytes'), memory: sum('process_resident_memory_bytes'), appends: sum('figquay_log_appends') }
}

/** Cost of a daemon over a window, idle or while something runs. */
async function measureWindow (cluster: LocalCluster, work: () => Promise<void> = () => wait(WINDOW_MS)): Promise<ControlCost> {
  const before = await readTotals(cluster)
  const startMs = performance.now()
  await work()
  const seconds = (performance.now() - startMs) / 1_000
  const after = await readTotals(cluster)
  const daemons = cluster.daemons.length
  return {
    cpuPercent: (after.cpu - before.cpu) / seconds / daemons * 100,
    peerBytesPerSecond: (after.bytes - before.bytes) / seconds / daemons,
    memoryMib: after.memory / daemons / MIB,
    appendsPerSecond: (after.appends - before.appends) / seconds
  }
}

async function runWithCluster<T> (options: ClusterOptions, use: (cluster: LocalCluster) => Promise<T>): Promise<T> {
  const cluster = LocalCluster.create(options)
  try {
    await cluster.start()
    await wait(SETTLE_MS)
    return await use(cluster)
  } finally {
    await cluster.stop()
  }
}

function printRow (name: string, size: number, cost: ControlCost): void {
  process.stdout.write(`${name.padEnd(24)} ${String(size).padStart(5)}  cpu ${cost.cpuPercent.toFixed(2)}%  peers ${cost.peerBytesPerSecond.toFixed(0)} B/s  memory ${cost.memoryMib.toFixed(0)} MiB  appends ${cost.appendsPerSecond.toFixed(1)}/s\n`)
}

const BASE: ClusterOptions = { deployment: 'guild', daemons: 2, storeScale: FAST_STORE, size: { runners: 4, serviceUpstreams: 1 }, logLevel: 'warn' }

async function measureDaemons (): Promise<void> {
  for (const daemons of [2, 8, 16, 24]) {
    printRow('idle, by daemons', daemons, await runWithCluster({ ...BASE, daemons }, (cluster) => measureWindow(cluster)))
  }
}

async function measureRunners (): Promise<void> {
  for (const runners of [4, 32, 128]) {
    printRow('idle, by runners', runners, await runWithCluster({ ...BASE, size: { runners, serviceUpstreams: 1 }, enginesPerProcess: 40, waitForModels: false }, (cluster) => measureWindow(cluster)))
  }
}

/** Sends completions at a rate through one daemon. */
async function sendCompletions (cluster: LocalCluster, perSecond: number, outputTokens: number): Promise<void> {
  const caller = Caller.create()
  const calls: Array<Promise<unknown>> = []
  const startMs = performance.now()
  for (let index = 0; index < perSecond * WINDOW_MS / 1_000; index++) {
    const pause = startMs + index * 1_000 / perSecond - performance.now()
    if (pause > 0) await wait(pause)
    calls.push(caller.complete({ url: cluster.daemons[0]!.callerUrl, key: 'key-workshop-cairo', model: `manual-${index % 14 + 1}`, nonce: `n${index}`, prompt: 'Which part?', outputTokens }))
  }
  await Promise.all(calls)
  caller.close()
}

async function measureTraffic (): Promise<void> {
  await runWithCluster({ ...BASE, daemons: 1, size: { runners: 6, serviceUpstreams: 1 } }, async (cluster) => {
    for (const [perSecond, outputTokens] of [[10, 1], [20, 1], [40, 1], [20, 20], [20, 60]] as const) {
      const cost = await measureWindow(cluster, () => sendCompletions(cluster, perSecond, outputTokens))
      printRow(`${perSecond} requests/s, tokens`, outputTokens, cost)
    }
  })
}

async function measureHop (): Promise<void> {
  await runWithCluster(BASE, async (cluster) => {
    const caller = Caller.create()
    const time = async (url: string, model: string): Promise<number[]> => {
      const times: number[] = []
      for (let index = 0; index < 200; index++) times.push((await caller.complete({ url, key: 'key-workshop-cairo', model, nonce: `h${index}`, prompt: 'Which part?', outputTokens: 1 })).firstTokenMs)
      return times.sort((a, b) => a - b)
    }
    const engines = await Promise.all(cluster.engines.map(async (engine) => ({ engine, state: await (await fetch(`${engine.directUrl}/engine/state`)).json() as { models: Array<{ id: string }> } })))
    const holder = engines.find(({ state }) => state.models.some((model) => model.id === 'manual-1@v1'))!.engine
    for (const daemon of cluster.daemons) await time(daemon.callerUrl, 'manual-1')
    const direct = await time(holder.directUrl, 'manual-1@v1')
    const cellHolder = await cluster.findCellHolder()
    const at = (times: readonly number[], part: number): string => times[Math.floor(times.length * part)]!.toFixed(2)
    process.stdout.write(`first token, 200 calls in turn: direct p50 ${at(direct, 0.5)} p99 ${at(direct, 0.99)} ms\n`)
    for (const daemon of cluster.daemons) {
      const through = await time(daemon.callerUrl, 'manual-1')
      process.stdout.write(`  through the ${daemon === cellHolder ? 'holder of the cell' : 'other daemon'} p50 ${at(through, 0.5)} p99 ${at(through, 0.99)} ms\n`)
    }
    caller.close()
  })
}

/** Documents of a deployment with many models and customers. */
function makeDocuments (models: number, customers: number): DocumentChange[] {
  const names = Array.from({ length: models }, (_, index) => `model-${index}`)
  return [
    { key: 'pool/p', base: 0, body: { name: 'p', memory: '96GiB', adapterMemory: '6GiB', fencing: 'checked' } },
    ...names.map((name) => ({ key: `model/${name}`, base: 0, body: { name, pool: 'p', version: 'v1', size: '14GiB', adapters: [{ name: 'a', size: '0.25GiB' }] } })),
    ...Array.from({ length: customers }, (_, index) => ({
      key: `contract/c${index}`,
      base: 0,
      body: { customer: `c${index}`, keys: [index.toString(16).padStart(64, '0')], share: 1, limits: { requestsPerSecond: 10, tokensPerSecond: 1000 }, rememberKeysFor: '24h', kinds: [{ name: 'k', type: 'model', models: ['model-*'], priority: 'interactive', firstTokenWithin: '1200ms', answerWithin: '6s' }] }
    }))
  ]
}

function measureFold (): void {
  for (const [models, customers] of [[20, 30], [220, 300], [220, 1_000]] as const) {
    const fold = ConfigurationStateMachine.create()
    const documents = makeDocuments(models, customers)
    fold.applyRecord({ offset: 0, at: 0, id: 'first', data: { type: 'change', changeId: 'first', author: 'a', documents } satisfies ConfigurationChange })
    const changes = 50
    const startMs = performance.now()
    for (let index = 1; index <= changes; index++) {
      const document = documents.at(-1)!
      fold.applyRecord({ offset: index, at: 0, id: `c${index}`, data: { type: 'change', changeId: `c${index}`, author: 'a', documents: [{ ...document, base: index }] } satisfies ConfigurationChange })
    }
    const each = (performance.now() - startMs) / changes
    const accepted = fold.history.filter((verdict) => verdict.verdict === 'accepted').length
    process.stdout.write(`configuration fold: ${models} models, ${customers} contracts: ${each.toFixed(2)} ms a change (${accepted} of ${changes + 1} accepted), snapshot ${(JSON.stringify(fold.exportState()).length / 1_024).toFixed(0)} KiB\n`)
  }
  const empty = Configuration.create(new Map())
  if (!empty.ok) throw new Error(empty.error)
}

function measureClaims (): void {
  for (const keys of [10_000, 50_000, 200_000]) {
    globalThis.gc?.()
    const before = process.memoryUsage().heapUsed
    const fold = IdempotencyStateMachine.create()
    const startMs = performance.now()
    for (let index = 0; index < keys; index++) {
      const key = index.toString(16).padStart(64, '0')
      fold.applyRecord({ offset: 2 * index, at: index, id: '', data: { type: 'claim', key, claimId: `claim-${index}`, daemon: 'daemon-1/run', fingerprint: key, rememberMs: 86_400_000 } })
      fold.applyRecord({ offset: 2 * index + 1, at: index, id: '', data: { type: 'outcome', key, claimId: `claim-${index}`, result: { execution: 'ran', status: 201, contentType: 'application/json', body: 'e30=' } } })
    }
    const micros = (performance.now() - startMs) * 1_000 / keys
    globalThis.gc?.()
    process.stdout.write(`claims fold: ${keys} keys: ${micros.toFixed(1)} µs a key, ${((process.memoryUsage().heapUsed - before) / keys).toFixed(0)} bytes a key (${fold.size} held)\n`)
  }
}

function measurePlan (): void {
  for (const [runners, models] of [[6, 20], [32, 110], [64, 220], [128, 220], [320, 220]] as const) {
    const view: PlacementInput = {
      runners: Array.from({ length: runners }, (_, index) => ({
        id: `r${index}`,
        zone: 'z',
        isServing: true,
        isSchedulable: true,
        freeBytes: 20 * GIB,
        replicas: Array.from({ length: 4 }, (_unused, copy) => ({ id: `m${(index * 4 + copy) % models}@v1`, bytes: 14 * GIB, phase: 'ready' as const })),
        modelsWithOpenOrder: new Set<string>(),
        lastMoveAtMs: Number.NEGATIVE_INFINITY
      })),
      models: Array.from({ length: models }, (_, index) => ({ id: `m${index}@v1`, bytes: 14 * GIB, demand: 0.1 + index % 7 * 0.1, workPerRequest: 0.3 })),
      policy: { movePrice: 3, loadsAtOnce: 8, loadsPerSecond: 1, adaptersAtOnce: 60, coolDown: 10_000 },
      nowMs: 1e9,
      loadsLeft: 8
    }
    const policy = GainPlacement.create()
    policy.planMoves(view)
    const rounds = 5
    const laterMs = 2_000
    const startMs = performance.now()
    for (let index = 0; index < rounds; index++) policy.planMoves({ ...view, nowMs: view.nowMs + (index + 1) * laterMs })
    process.stdout.write(`plan: ${runners} runners, ${models} models: ${((performance.now() - startMs) / rounds).toFixed(2)} ms a round\n`)
  }
}

const PARTS: Readonly<Record<string, () => Promise<void> | void>> = {
  fold: measureFold,
  claims: measureClaims,
  plan: measurePlan,
  hop: measureHop,
  traffic: measureTraffic,
  daemons: measureDaemons,
  runners: measureRunners
}

const app = command({
  name: 'capacity',
  description: `Measures slopes. Parts: ${Object.keys(PARTS).join(', ')}`,
  args: { parts: option({ type: string, long: 'parts', defaultValue: () => Object.keys(PARTS).join(',') }) },
  handler: async ({ parts }) => {
    for (const part of parts.split(',')) await PARTS[part]?.()
  }
})

await run(binary(app), process.argv)
