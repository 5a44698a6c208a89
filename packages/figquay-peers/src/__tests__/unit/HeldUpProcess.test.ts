/** A process that was held up for longer than its timeouts, while its peer has answered. */
import { Worker } from 'node:worker_threads'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, SystemClock, TaskGroup } from 'figquay'
import { PeerMesh, type PeerAddress } from 'figquay-peers'

const SELF: PeerAddress = { id: 'held-up', zone: 'zone-0', address: '127.0.0.1:21640' }
const PEER: PeerAddress = { id: 'peer', zone: 'zone-0', address: '127.0.0.1:21641' }
const SECRETS = ['a-secret-of-these-tests']
/** Longer than the timeouts of calls, and than the silence after which a connection is closed, in milliseconds. */
const HELD_UP_MS = 2_200
const CALL_TIMEOUT_MS = 400

/** The peer runs in a thread of its own; its clock stands still, so that it keeps the connection whatever it hears. */
const PEER_SCRIPT = `
  const { parentPort, workerData } = require('node:worker_threads')
  const clock = { now: () => new Date(), readMonotonicMs: () => 0, waitFor: (ms) => new Promise((resolve) => setTimeout(resolve, ms)) }
  Promise.all([import(workerData.figquay), import(workerData.peers)]).then(async ([{ JsonLogger }, { PeerMesh }]) => {
    const mesh = PeerMesh.create({ self: workerData.self, secrets: workerData.secrets, methods: { 'name.get': () => new Promise((resolve) => setTimeout(resolve, 100, 'peer')) }, clock, logger: JsonLogger.create('peer', 'error') })
    await mesh.listen('127.0.0.1', 21641)
    parentPort.postMessage('ready')
  })
`

/** Keeps the event loop from running. */
function holdUp (ms: number): void {
  const untilMs = performance.now() + ms
  while (performance.now() < untilMs);
}

let worker: Worker
let mesh: PeerMesh
let tasks: TaskGroup

describe('connection of a process that was held up', () => {
  beforeEach(async () => {
    worker = new Worker(PEER_SCRIPT, { eval: true, workerData: { figquay: import.meta.resolve('figquay'), peers: import.meta.resolve('figquay-peers'), self: PEER, secrets: SECRETS } })
    await once(worker, 'message')
    const clock = SystemClock.create()
    const logger = JsonLogger.create('held-up', 'error')
    tasks = TaskGroup.create(clock, logger)
    mesh = PeerMesh.create({ self: SELF, secrets: SECRETS, methods: {}, clock, logger })
    mesh.setDaemons([SELF, PEER], tasks)
    while (!mesh.isConnected(PEER.id)) await clock.waitFor(10)
  })

  afterEach(async () => {
    const stopped = tasks.stop()
    mesh.close()
    await stopped
    await worker.terminate()
  })

  it('delivers a reply that arrived before the timeout, and stays open if the peer has written', async () => {
    const reply = mesh.callPeer<string>(PEER.id, 'name.get', {}, CALL_TIMEOUT_MS)
    // The call is sent before the process is held up.
    await new Promise((resolve) => setImmediate(resolve))
    holdUp(HELD_UP_MS)
    expect(await reply).toEqual({ ok: true, value: 'peer' })
    holdUp(HELD_UP_MS)
    await new Promise((resolve) => setTimeout(resolve, 50))
    expect(mesh.isConnected(PEER.id)).toEqual(true)
  })
})
