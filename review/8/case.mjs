// A runner that leaves without a word, while the daemon that reads the list of runners for all is cut off from the store for half a second.
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Fleet, Record, sendRequest } from '../standins-2/fleet.mjs'
import { makeConfiguration, Runner } from '../standins-2/runner.mjs'
import { Store } from '../standins-2/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** Bounds of the small deployments. */
const DRAIN_MS = 2_000
const CONTACT_MS = 3_000
const CUT_MS = 500
/** The runner leaves this long after the cut begins. */
const LEAVES_AFTER_MS = 100
const ROUNDS = 7
const REQUEST_INTERVAL_MS = 25
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
    for (const daemon of fleet.daemons) sendOne(daemon)
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

async function playRound (round) {
  await startRunner()
  // Every daemon is in touch again, and the reader has been the same for a while.
  await wait(CONTACT_MS + 1_000)
  const victim = chooseVictim()
  const reader = [...fleet.daemons].sort((a, b) => (b.door.lastListReadAt ?? 0) - (a.door.lastListReadAt ?? 0))[0]
  await wait(Math.random() * 500)
  if (HAS_TROUBLE) {
    record.note(`the link of ${reader.name} to the store is cut`)
    reader.door.cut()
    setTimeout(() => {
      reader.door.heal()
      record.note(`the link of ${reader.name} to the store is whole again`)
    }, CUT_MS)
  }
  await wait(LEAVES_AFTER_MS)
  victim.leave()
  const leftAtMs = performance.now()
  record.note(`the store has accepted that ${victim.id} is gone`)
  await wait(DRAIN_MS + 1_500)
  const late = victim.runs.filter(({ atMs, headers }) => atMs - leftAtMs > DRAIN_MS && headers['x-via'] !== reader.name)
  const lastMs = Math.max(0, ...late.map(({ atMs }) => atMs - leftAtMs))
  record.note(`round ${round}: ${late.length} requests reached ${victim.id} later than ${DRAIN_MS} ms after that, from daemons that weren't cut off; the last one ${Math.round(lastMs)} ms after`)
  console.log(`round ${round}: ${late.length} late requests, the last one after ${Math.round(lastMs)} ms`)
  victim.close()
  return late.length
}

try {
  store = await Store.start()
  fleet = new Fleet(store, record)
  store.put('keyed.op', 'config', makeConfiguration(1, [{ name: 'r-stock', host: 'desk.example', 'path-prefix': '/stock/', kind: 'safe', 'timeout-ms': 1000, 'slo-ms': 121, priority: 2, service: 'ledger', 'max-attempts': 2 }], ['ledger']))
  for (let count = 0; count < 3; count += 1) await startRunner()
  await fleet.start(3)
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
