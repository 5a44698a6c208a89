// Stand-in for the platform's store: keyed topics with one partition, appends with a condition, reads that wait, newest records.
import { createServer } from 'node:http'

const PREFIX_BYTES = 16

function encodeRecord ({ key, value }) {
  const keyBytes = Buffer.from(key)
  const valueBytes = Buffer.from(value ?? '')
  const header = Buffer.alloc(5)
  header.writeUInt32BE(1 + keyBytes.length + valueBytes.length)
  header.writeUInt8(keyBytes.length, 4)
  return Buffer.concat([header, keyBytes, valueBytes])
}

function decodeRecords (bytes) {
  const records = []
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at)
    const content = bytes.subarray(at + 4, at + 4 + length)
    const keyLength = content.readUInt8(0)
    const value = content.subarray(1 + keyLength)
    records.push({ key: content.subarray(1, 1 + keyLength).toString(), value: value.length === 0 ? undefined : value.toString() })
    at += 4 + length
  }
  return records
}

export class Store {
  topics = new Map()
  doors = []

  static async start () {
    const store = new Store()
    store.door = await store.openDoor()
    store.address = store.door.address
    return store
  }

  /** Opens a further address of the store, for one machine, whose link to the store can then be cut by itself. */
  async openDoor (host = '127.0.0.1') {
    const door = { isCut: false, sockets: new Set(), lastListReadAt: undefined }
    door.server = createServer((request, response) => {
      if (request.url.includes('topic=keyed.servers')) door.lastListReadAt = performance.now()
      door.onCall?.()
      door.onCall = undefined
      this.handle(request, response, door).catch(() => response.destroy())
    })
    door.server.on('connection', (socket) => {
      socket.on('error', () => {})
      if (door.isCut) return socket.resetAndDestroy()
      door.sockets.add(socket)
      socket.once('close', () => door.sockets.delete(socket))
    })
    await new Promise((resolve) => door.server.listen(0, host, resolve))
    door.address = `${host}:${door.server.address().port}`
    /** A cut that resets: open connections and new ones are reset until it ends. */
    door.cut = () => {
      door.isCut = true
      for (const socket of door.sockets) socket.resetAndDestroy()
    }
    door.heal = () => {
      door.isCut = false
      door.silent?.end()
      door.silent = undefined
    }
    /** A silent cut: what is on its way waits until it ends. */
    door.silence = () => {
      door.silent = {}
      door.silent.ended = new Promise((resolve) => {
        door.silent.end = resolve
      })
    }
    this.doors.push(door)
    return door
  }

  topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, { records: [], waiters: new Set() })
    return this.topics.get(name)
  }

  /** Appends a record as the operator or a runner does; returns when the store has accepted it. */
  put (topicName, key, value) {
    const topic = this.topic(topicName)
    topic.records.push({ key, value })
    for (const wake of [...topic.waiters]) wake()
  }

  async handle (request, response, door) {
    await door.silent?.ended
    const url = new URL(request.url, 'http://store')
    const topic = this.topic(url.searchParams.get('topic'))
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const answer = async (status, body) => {
      await door.silent?.ended
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    }
    if (url.pathname === '/figquay/log-append') {
      const at = url.searchParams.get('at')
      if (at !== null && Number(at) !== topic.records.length) return answer(412, { 'end-offset': topic.records.length })
      const offset = topic.records.length
      topic.records.push(...decodeRecords(Buffer.concat(chunks)))
      for (const wake of [...topic.waiters]) wake()
      return answer(200, { offset, 'end-offset': topic.records.length })
    }
    if (url.pathname === '/figquay/log-newest') {
      const newest = new Map()
      for (const [offset, { key, value }] of topic.records.entries()) {
        newest.delete(key)
        if (value !== undefined) newest.set(key, { key, value: Buffer.from(value).toString('base64'), offset })
      }
      return answer(200, { items: [...newest.values()], 'has-more': false, 'end-offset': topic.records.length })
    }
    if (url.pathname !== '/figquay/log-read') return answer(404, {})
    const from = Number(url.searchParams.get('from'))
    const waitMs = Number(url.searchParams.get('wait-ms') ?? 0)
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer)
          topic.waiters.delete(finish)
          resolve()
        }
        const timer = setTimeout(finish, waitMs)
        topic.waiters.add(finish)
        response.once('close', finish)
      })
    }
    await door.silent?.ended
    const prefix = Buffer.alloc(PREFIX_BYTES)
    prefix.writeBigUInt64BE(BigInt(topic.records.length))
    response.writeHead(200).end(Buffer.concat([prefix, ...topic.records.slice(from).map(encodeRecord)]))
  }

  close () {
    for (const { server } of this.doors) {
      server.close()
      server.closeAllConnections()
    }
  }
}
