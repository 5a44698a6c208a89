/** Connections between many daemons: each has few neighbours, and still reaches all. */
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { JsonLogger, SystemClock, TaskGroup } from 'figquay'
import { PeerMesh, selectNeighbours, type PeerAddress } from 'figquay-peers'

const DAEMONS = 20
const FIRST_PORT = 21_600

describe('peers', () => {
  const clock = SystemClock.create()
  const logger = JsonLogger.create('peers', 'error')
  const tasks = TaskGroup.create(clock, logger)
  const daemons: PeerAddress[] = Array.from({ length: DAEMONS }, (_, index) => ({ id: `daemon-${index}`, zone: `zone-${index % 3}`, address: `127.0.0.1:${FIRST_PORT + index}` }))
  const meshes = daemons.map((self) => PeerMesh.create({ self, secrets: ['a-secret-of-these-tests'], methods: { 'name.get': () => self.id }, clock, logger }))

  before(async () => {
    await Promise.all(meshes.map((mesh, index) => mesh.listen('127.0.0.1', FIRST_PORT + index)))
    for (const mesh of meshes) mesh.setDaemons(daemons, tasks)
  })

  after(async () => {
    const stopped = tasks.stop()
    for (const mesh of meshes) mesh.close()
    await stopped
  })

  test('one that is no neighbour is reached too', async () => {
    const neighbours = new Set(selectNeighbours(daemons[0]!, daemons).map((peer) => peer.id))
    const strangers = daemons.slice(1).filter((peer) => !neighbours.has(peer.id))
    expect(strangers.length > 0).toEqual(true)
    const replies = await Promise.all(strangers.map((peer) => meshes[0]!.callPeer<string>(peer.id, 'name.get', {})))
    expect(replies.map((reply) => reply.ok ? reply.value : reply.error)).toEqual(strangers.map((peer) => peer.id))
  })

  test('one that is not on the roster is not', async () => {
    const reply = await meshes[0]!.callPeer<string>('daemon-99', 'name.get', {}, 200)
    expect(reply.ok).toEqual(false)
  })
})
