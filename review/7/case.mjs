// A daemon freezes just after it has accepted connections; it refuses the requests on them as not run, and has them run.
import { setTimeout as wait } from 'node:timers/promises'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { Fleet, Record } from '../standins-2/fleet.mjs'
import { makeConfiguration, Runner } from '../standins-2/runner.mjs'
import { Store } from '../standins-2/store.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const FREEZE_MS = 4_000
const ROUNDS = 8
const CLIENTS = 6
/** Twice the 3 ms from a client to its zone: a connection is accepted this long before the client's request arrives on it. */
const REQUEST_AFTER_MS = 6
/** The freeze begins in between. */
const FREEZE_AFTER_MS = 3
const DEADLINE_MS = 6_045
/** A client that reads slowly takes so many bytes at a time. */
const READ_BYTES = 32
const READ_INTERVAL_MS = 150
const PROMISES = ['408', '421', '429', '503']
const BOUNDS = { drainWithin: '3000ms', applyWithin: '3000ms' }
const ZONES = ['jabar', 'jateng', 'jatim']

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
let status = 2
let store
let fleet
const runners = []

/** Streams three events. */
async function answerStream (request, response) {
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': request.headers['x-request-id'], 'x-response-signature': 'signed' })
  for (let event = 1; event <= 3 && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: piece ${event}\n\n`)
    await wait(50)
  }
  response.end()
}

/** A client on a connection of its own that reads slowly; it closes the connection once it has read to the end. */
function openClient ({ name, listen }, id) {
  const [host, port] = listen.callers.split(':')
  const client = { id, text: '' }
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, allowHalfOpen: true }, () => resolve(client))
    socket.on('error', reject)
    socket.on('close', () => {
      client.isClosed = true
    })
    client.send = () => {
      const body = '{"prompt":"warranty"}'
      record.note(`${id} sent to ${name}`)
      socket.write(`POST /cards/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${DEADLINE_MS}\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
    }
    client.read = async () => {
      socket.pause()
      while (!socket.readableEnded && !client.isClosed) {
        const bytes = socket.read(Math.min(READ_BYTES, socket.readableLength || 1))
        if (bytes !== null) client.text += bytes.toString()
        await wait(READ_INTERVAL_MS)
      }
      socket.end()
      client.status = /^HTTP\/1\.1 (\d+)/.exec(client.text)?.[1]
      record.note(`${id} answered ${client.status ?? 'not at all'}`)
    }
    client.close = () => socket.destroy()
  })
}

async function playRound (round) {
  // Every daemon is in touch again.
  await wait(4_500)
  const daemon = fleet.daemons[round % fleet.daemons.length]
  const clients = await Promise.all(Array.from({ length: CLIENTS }, (_, index) => openClient(daemon, `r${round}c${index}`)))
  await wait(FREEZE_AFTER_MS)
  if (HAS_TROUBLE) {
    daemon.process.kill('SIGSTOP')
    record.note(`${daemon.name} stands still`)
  }
  await wait(REQUEST_AFTER_MS - FREEZE_AFTER_MS)
  for (const client of clients) client.send()
  const reading = clients.map((client) => client.read())
  if (HAS_TROUBLE) {
    await wait(FREEZE_MS)
    daemon.process.kill('SIGCONT')
    record.note(`${daemon.name} goes on`)
  }
  await Promise.race([Promise.all(reading), wait(4_000)])
  for (const client of clients) client.close()
  const ran = new Set(runners.flatMap(({ runs }) => runs.map(({ id }) => id)))
  const broken = clients.filter(({ id, status }) => PROMISES.includes(status) && ran.has(id))
  const summary = `round ${round}: ${clients.map(({ id, status }) => `${status}${ran.has(id) ? ' ran' : ''}`).join(', ')}`
  record.note(summary)
  console.log(summary)
  return broken.length
}

try {
  store = await Store.start()
  fleet = new Fleet(store, record, BOUNDS)
  store.put('keyed.op', 'config', makeConfiguration(1, [{ name: 'r-card', host: 'desk.example', 'path-prefix': '/cards/', kind: 'streaming', 'timeout-ms': 6000, 'slo-ms': 2015, priority: 1, service: 'cards', 'max-attempts': 1, 'can-resume': false, 'gap-aim-ms': 500 }], ['cards']))
  for (const zone of ZONES) runners.push(await Runner.start({ id: `i-${zone}`, service: 'cards', zone, store, record, answer: answerStream, slots: 32 }))
  await fleet.start(3, ZONES)
  let broken = 0
  for (let round = 1; round <= ROUNDS; round += 1) broken += await playRound(round)
  status = broken > 0 ? 1 : 0
  console.log(broken > 0 ? `REFUSED broken: ${broken} requests` : 'REFUSED held')
} catch (error) {
  console.error(error)
} finally {
  await fleet?.stop()
  for (const runner of runners) runner.close()
  store?.close()
}
process.exit(status)
