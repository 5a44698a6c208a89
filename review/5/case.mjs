/** The machines that read the store for all are partitioned from it together; a runner then leaves without a report. */
import { setTimeout as wait } from 'node:timers/promises'
import { BOUNDS, HAS_TROUBLE, LIMITS, playCase } from '../standins/site.mjs'

const CUT_FOR_MS = 5_500
const LEAVES_AFTER_MS = 50
const ASK_EVERY_MS = 40
/** Looks at which daemons have a long poll open: between two polls a reader has none for a moment. */
const SAMPLES = 12
/** Slack for the clock of this process, so that a request counts as late only if it surely is. */
const MARGIN_MS = 50

const route = { name: 'stock', host: 'desk.example', 'path-prefix': '/stock/', kind: 'safe', service: 'ledger', 'timeout-ms': 1_000, 'slo-ms': 100, priority: 2, 'max-attempts': 2 }
const config = { version: 10, routes: [route], services: [{ name: 'ledger', 'health-path': '/health', 'max-conns': 110 }], limits: LIMITS }

await playCase(import.meta.url, async (site) => {
  await site.start({ config })
  // Their heartbeats of 1.2 s are spread, as those of runners that were started at different times.
  for (let index = 0; index < 6; index += 1) {
    await site.addRunner({ service: 'ledger', slots: 6 })
    await wait(200)
  }
  await site.waitForReady()
  // Long polls that daemons began before they heard of their peers last for 20 s.
  await wait(24_000)
  const pollsSeen = new Map(site.daemons.map((daemon) => [daemon, 0]))
  for (let sample = 0; sample < SAMPLES; sample += 1) {
    for (const daemon of site.daemons) if (daemon.link.targetPorts.some((port) => site.store.waitingPorts.has(port))) pollsSeen.set(daemon, pollsSeen.get(daemon) + 1)
    await wait(200)
  }
  const reading = site.daemons.filter((daemon) => pollsSeen.get(daemon) > SAMPLES / 2)
  const others = site.daemons.filter((daemon) => !reading.includes(daemon))
  site.record('machines that read the store', { daemons: reading.map(({ name }) => name) })
  if (reading.length > 3 || others.length === 0) return { status: 2, verdict: `${reading.length} machines read the store` }
  if (HAS_TROUBLE) for (const { link } of reading) link.cut()
  await wait(LEAVES_AFTER_MS)
  const [leaver] = site.runners
  leaver.removeEntry()
  const { at: leftAt } = site.record('the entry of the runner is removed, as the store acknowledges', { runner: leaver.id })
  const asked = []
  for (const endAt = leftAt + CUT_FOR_MS - LEAVES_AFTER_MS; site.now < endAt;) {
    for (const daemon of others) asked.push(site.send(daemon, { method: 'GET', path: `/stock/${asked.length}` }))
    await wait(ASK_EVERY_MS)
  }
  const results = await Promise.all(asked)
  for (const { link } of reading) link.heal()
  const sentAt = new Map(results.map((result) => [result.id, result.sentAt]))
  const bound = leftAt + BOUNDS['drain-ms'] + MARGIN_MS
  const late = site.lines.filter(({ what, runner, request, at }) => what === 'run' && runner === leaver.id && at > bound && sentAt.get(request) > bound)
  const lastMs = Math.max(0, ...late.map(({ at }) => at - leftAt))
  return { status: late.length > 0 ? 1 : 0, verdict: `${late.length} requests reached the runner later than ${BOUNDS['drain-ms']} ms after it was gone from the store, from the ${others.length} machines that were not cut off; the last ${lastMs} ms after it` }
})
