/** Connections to the store that rest go silent; the operator then adds and removes routes. */
import { setTimeout as wait } from 'node:timers/promises'
import { BOUNDS, HAS_TROUBLE, LIMITS, playCase } from '../standins/site.mjs'

/** Connections without a byte for this long go silent, as in a stateful firewall that forgets resting flows. */
const RESTING_MS = 4_000
/** Daemons are in touch again after contact-ms; the change comes a second later. */
const CHANGE_AFTER_MS = BOUNDS['contact-ms'] + 1_000
const ASK_EVERY_MS = 250
const ASK_FOR_MS = 5_000
/** Slack for the clock of this process, so that a request counts as late only if it surely is. */
const MARGIN_MS = 100

const route = (name) => ({ name, host: 'desk.example', 'path-prefix': `/${name}/`, kind: 'safe', service: 'ledger', 'timeout-ms': 1_000, 'slo-ms': 100, priority: 2, 'max-attempts': 2 })
const configure = (version, names) => ({ version, routes: names.map(route), services: [{ name: 'ledger', 'health-path': '/health', 'max-conns': 110 }], limits: LIMITS })

await playCase(import.meta.url, async (site) => {
  await site.start({ config: configure(10, ['stock', 'old']) })
  for (let index = 0; index < 3; index += 1) await site.addRunner({ service: 'ledger', slots: 6 })
  await site.waitForReady()
  const ask = (name) => Promise.all(site.daemons.map((daemon) => site.send(daemon, { method: 'GET', path: `/${name}/x` })))
  await wait(RESTING_MS + 2_000)
  const before = [...await ask('stock'), ...await ask('old')]
  if (before.some(({ status }) => status !== 200)) return { status: 2, verdict: 'a request before the disruption was not served' }

  if (HAS_TROUBLE) for (const { name, link } of site.daemons) site.record('resting connections to the store go silent', { daemon: name, silent: link.silence(RESTING_MS), open: link.openCount })
  await wait(CHANGE_AFTER_MS)
  const changedAt = site.configure(configure(23, ['stock', 'new']))
  await wait(BOUNDS['apply-ms'] + MARGIN_MS)
  const late = []
  for (const endAt = site.now + ASK_FOR_MS; site.now < endAt;) {
    late.push(...await ask('new'), ...await ask('old'), ...await ask('stock'))
    await wait(ASK_EVERY_MS)
  }
  const older = late.filter(({ path, status }) => (path === '/new/x' && status === 404) || (path === '/old/x' && status === 200))
  const lastAfterMs = Math.max(0, ...older.map(({ sentAt }) => sentAt - changedAt))
  const daemons = new Set(older.map(({ daemon }) => daemon))
  const verdict = `${older.length} of ${late.length} requests sent ${BOUNDS['apply-ms']} ms or more after the acknowledgement were handled as only the older version allows, by ${daemons.size} of ${site.daemons.length} daemons, the last ${lastAfterMs} ms after it`
  return { status: older.length > 0 ? 1 : 0, verdict }
})
