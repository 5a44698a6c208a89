#!/usr/bin/env node
/** The demonstration: stand-ins and three daemons, the Guild's kinds of traffic, a report; then a graceful stop. */
import { mkdir, writeFile } from 'node:fs/promises'
import { binary, command, flag, number, option, run } from 'cmd-ts'
import { formatBurnRateHtml, formatBurnRateText, type BurnRateReport } from 'figquay-report'
import { LocalCluster } from './FigquayMeasureCluster.js'
import { OPERATOR_KEY } from './FigquayMeasureClusterSettings.js'
import { LoadRun, type KindTally, type LoadResult } from './FigquayMeasureLoad.js'
import { makeArrivals } from './FigquayMeasureWorkload.js'

const DAEMONS = 3
const GRACE_MS = 15_000
const STORE_SCALE = 0.1
const PAGE = 'out/burn.html'

interface EngineFactsView {
  readonly violations: readonly string[]
  readonly orders: readonly string[]
}

/** Promises that the run must have kept; the broken ones. */
async function listBroken (cluster: LocalCluster, load: LoadResult): Promise<string[]> {
  const engines = await Promise.all(cluster.engines.map((engine) => cluster.readFacts<EngineFactsView>(engine)))
  const services = await Promise.all(cluster.services.map((service) => cluster.readFacts<{ executions: Record<string, number> }>(service)))
  const runs = new Map<string, number>()
  for (const [key, count] of services.flatMap((fact) => Object.entries(fact.executions))) runs.set(key, (runs.get(key) ?? 0) + count)
  const wrong = [...load.kinds.values()].reduce((sum, tally) => sum + tally.wrong, 0)
  const failed = [...load.kinds.values()].reduce((sum, tally) => sum + tally.failed, 0)
  return [
    ...engines.flatMap((fact) => fact.violations.map((violation) => `memory overcommitted: ${violation}`)),
    ...[...runs].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times`),
    ...(wrong > 0 ? [`${wrong} answers were not the caller's own or not whole`] : []),
    ...(failed > 0 ? [`${failed} requests failed`] : [])
  ]
}

function formatKinds (kinds: ReadonlyMap<string, KindTally>): string {
  const rows = [...kinds].map(([name, tally]) => `  ${name.padEnd(20)} ${String(tally.met).padStart(4)} of ${String(tally.total).padStart(4)} within contract, ${tally.refused + tally.limited} refused, ${tally.late} late, ${tally.failed} failed`)
  return rows.join('\n')
}

/** Lines to copy and paste against the running demonstration. */
function formatHints (cluster: LocalCluster): string {
  const [daemon] = cluster.daemons
  return [
    'Running. Try:',
    '',
    `curl -N ${daemon!.callerUrl}/v1/chat/completions -H 'authorization: Bearer key-workshop-cairo' -H 'content-type: application/json' -d '{"model":"manual-1","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Which hinge clamp fits?"}]}'`,
    `curl ${daemon!.callerUrl}/services/ledger/orders -H 'authorization: Bearer key-workshop-cairo' -H 'idempotency-key: order-1' -d '{"item":"hinge"}'`,
    `curl ${daemon!.callerUrl}/v1/models -H 'authorization: Bearer key-workshop-cairo'`,
    '',
    `export FIGQUAY_URL=${daemon!.operatorUrl} FIGQUAY_KEY=${OPERATOR_KEY}`,
    'npx figquayctl status',
    'npx figquayctl models',
    'npx figquayctl moves',
    'npx figquayctl report burn',
    '',
    'Stop with Ctrl-C.'
  ].join('\n')
}

async function writeReport (cluster: LocalCluster): Promise<void> {
  const report = await cluster.callOperator<BurnRateReport>(cluster.daemons[0]!, 'burn.report', {})
  if (report === undefined) return
  await mkdir('out', { recursive: true })
  await writeFile(PAGE, formatBurnRateHtml(report))
  process.stdout.write(`\n${formatBurnRateText(report)}\n\nburn report with plots: ${PAGE}\n`)
}

async function waitForInterrupt (): Promise<void> {
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

async function runTraffic (cluster: LocalCluster, seconds: number): Promise<string[]> {
  process.stdout.write(`sending the Guild's traffic for ${seconds} s\n`)
  const arrivals = makeArrivals('guild', { load: 1, durationMs: seconds * 1_000, seed: 1 })
  const load = await LoadRun.create(cluster, 'demo').runArrivals(arrivals, GRACE_MS)
  const tallies = [...load.kinds.values()]
  const met = tallies.reduce((sum, tally) => sum + tally.met, 0)
  const total = tallies.reduce((sum, tally) => sum + tally.total, 0)
  const moves = (await Promise.all(cluster.engines.map((engine) => cluster.readFacts<EngineFactsView>(engine)))).flatMap((fact) => fact.orders).filter((order) => /^(un)?load-model/.test(order)).length
  process.stdout.write(`\n${formatKinds(load.kinds)}\n\nattained: ${(met / total * 100).toFixed(1)}% of ${total} requests; model moves since the start: ${moves}\n`)
  await writeReport(cluster)
  return await listBroken(cluster, load)
}

async function runDemo (seconds: number, isStaying: boolean): Promise<number> {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: DAEMONS, storeScale: STORE_SCALE })
  try {
    process.stdout.write(`starting ${DAEMONS} daemons and the stand-ins; 20 models are loaded first\n`)
    await cluster.start()
    const broken = await runTraffic(cluster, seconds)
    if (isStaying) {
      process.stdout.write(`\n${formatHints(cluster)}\n`)
      await waitForInterrupt()
    }
    process.stdout.write('\nstopping gracefully\n')
    const codes = await cluster.stop()
    if (codes.some((code) => code !== 0)) broken.push(`a daemon ended with ${codes.join(', ')}`)
    for (const line of broken) process.stdout.write(`BROKEN: ${line}\n`)
    process.stdout.write(broken.length === 0 ? 'every promise was kept\n' : '')
    return broken.length === 0 ? 0 : 1
  } catch (error) {
    process.stderr.write(`${String(error)}\n`)
    await cluster.stop()
    return 1
  }
}

const app = command({
  name: 'demo',
  description: 'Shows figquay at work on this machine',
  args: {
    stay: flag({ long: 'stay', description: 'leave it running and print commands to try' }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 20 })
  },
  handler: async ({ stay, seconds }) => {
    process.exitCode = await runDemo(seconds, stay)
  }
})

await run(binary(app), process.argv)
