// A runner leaves without a word while one daemon that was killed starts again.
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Fleet, Record, sendRequest } from '../standins-2/fleet.mjs'
import { makeConfiguration, Runner } from '../standins-2/runner.mjs'
import { Store } from '../standins-2/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** Bounds of the small deployments. */
const DRAIN_MS = 2_000
const CONTACT_MS = 3_000
/** The platform starts a killed process again after this time. */
const RESTART_MS = 500
/** Longest time for which a runner whose entry was removed goes on serving. */
const SERVES_ON_MS = 4_500
const ROUNDS = 8
const DAEMONS = 5
const SEEDS = 3
const REQUEST_INTERVAL_MS = 20
const ZONES = ['a', 'b', 'c']

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
let status = 2
let store
let fleet
const traffic = { isOn: true }
const runners = []

async function startRunner () {
  const number = runners.length + 1
  const answer = async (request, response, body, runner) => {
    await wait(15)
    runner.succeed(request, response, `stock of ${request.url}`)
  }
  runners.push(await Runner.start({ id: `i-${number}`, service: 'ledger', zone: ZONES[number % ZONES.length], store, record, answer }))
}

let sent = 0
async function sendOne (daemon) {
  sent += 1
  const id = `q${sent}`
  record.note(`${id} sent to ${daemon.name}`)
  const { status, error } = await sendRequest(daemon, { method: 'GET', path: `/stock/${sent}`, host: 'desk.example', headers: { 'x-request-id': id, 'x-deadline-ms': '1000', 'x-via': daemon.name } })
  record.note(`${id} answered ${status ?? error}`)
}

async function pump () {
  while (traffic.isOn) {
    for (const daemon of fleet.daemons) if (!daemon.isDown) sendOne(daemon)
    await wait(REQUEST_INTERVAL_MS * fleet.daemons.length)
  }
}

/** The runner in use that most daemons have sent requests to lately. */
function chooseVictim () {
  const sinceMs = performance.now() - 2_000
  const rank = ({ runs }) => {
    const recent = runs.filter(({ atMs }) => atMs > sinceMs)
    return new Set(recent.map(({ headers }) => headers['x-via'])).size * 1_000 + recent.length
  }
  return runners.filter(({ hasLeft }) => !hasLeft).sort((a, b) => rank(b) - rank(a))[0]
}

/** Kills a daemon that is a seed and doesn't read for the others, starts it again, and waits until it calls the store. */
async function restartDaemon () {
  const reader = [...fleet.daemons].sort((a, b) => (b.door.lastListReadAt ?? 0) - (a.door.lastListReadAt ?? 0))[0]
  const daemon = fleet.daemons.slice(0, SEEDS).filter((seed) => seed !== reader)[Math.floor(Math.random() * 2)]
  daemon.isDown = true
  daemon.process.kill('SIGKILL')
  await wait(RESTART_MS)
  const hasCalled = new Promise((resolve) => {
    daemon.door.onCall = resolve
  })
  fleet.spawn(daemon)
  await hasCalled
  return daemon
}

async function playRound (round) {
  await startRunner()
  // Every daemon is in touch again.
  await wait(CONTACT_MS + 500 + Math.random() * 500)
  const victim = chooseVictim()
  const restarted = HAS_TROUBLE ? await restartDaemon() : undefined
  victim.leave()
  const leftAtMs = performance.now()
  record.note(`the store has accepted that ${victim.id} is gone`)
  await wait(SERVES_ON_MS)
  if (restarted !== undefined) restarted.isDown = false
  const late = victim.runs.filter(({ atMs, headers }) => atMs - leftAtMs > DRAIN_MS && headers['x-via'] !== restarted?.name)
  const lastMs = Math.max(0, ...late.map(({ atMs }) => atMs - leftAtMs))
  const senders = [...new Set(late.map(({ headers }) => headers['x-via']))].sort()
  const summary = `round ${round}: ${late.length} requests reached ${victim.id} later than ${DRAIN_MS} ms after that, the last one ${Math.round(lastMs)} ms after, from daemons that ran on: ${senders.join(', ')}`
  record.note(summary)
  console.log(summary)
  victim.close()
  return late.length
}

try {
  store = await Store.start()
  fleet = new Fleet(store, record)
  store.put('keyed.op', 'config', makeConfiguration(1, [{ name: 'r-stock', host: 'desk.example', 'path-prefix': '/stock/', kind: 'safe', 'timeout-ms': 1000, 'slo-ms': 121, priority: 2, service: 'ledger', 'max-attempts': 2 }], ['ledger']))
  for (let count = 0; count < 3; count += 1) await startRunner()
  await fleet.start(DAEMONS)
  const pumping = pump()
  let late = 0
  for (let round = 1; round <= ROUNDS; round += 1) late += await playRound(round)
  traffic.isOn = false
  await pumping
  await wait(1_200)
  status = late > 0 ? 1 : 0
  console.log(late > 0 ? `DRAIN broken: ${late} requests` : 'DRAIN held')
} catch (error) {
  console.error(error)
} finally {
  traffic.isOn = false
  await fleet?.stop()
  for (const runner of runners) runner.close()
  store?.close()
}
process.exit(status)
