/** Stand-in for the platform's store: keyed topics with one partition each, conditional appends, long polls and newest records. */
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'

const HEADER_BYTES = 16
const LENGTH_BYTES = 4
/** Time that an answer takes (the sheets' 4 ms). */
const ANSWER_MS = 4

function encodeRecord ({ key, value }) {
  const keyBytes = Buffer.from(key)
  const valueBytes = Buffer.from(value)
  const head = Buffer.alloc(LENGTH_BYTES + 1)
  head.writeUInt32BE(1 + keyBytes.length + valueBytes.length)
  head.writeUInt8(keyBytes.length, LENGTH_BYTES)
  return Buffer.concat([head, keyBytes, valueBytes])
}

function decodeRecords (body) {
  const records = []
  for (let index = 0; index + LENGTH_BYTES < body.length;) {
    const length = body.readUInt32BE(index)
    const start = index + LENGTH_BYTES
    const keyLength = body.readUInt8(start)
    records.push({ key: body.toString('utf8', start + 1, start + 1 + keyLength), value: body.toString('utf8', start + 1 + keyLength, start + length) })
    index = start + length
  }
  return records
}

export class Store {
  #topics = new Map()
  /** Ports of the callers whose reads wait for records now. */
  waitingPorts = new Set()
  #server = createServer((request, response) => this.#handle(request, response).catch(() => response.destroy()))

  async listen (ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve))
    this.#server.keepAliveTimeout = 60_000
    this.port = this.#server.address().port
  }

  /** Appends a record on behalf of the operator or a runner; an empty value deletes the key. Returns the time of the acknowledgement. */
  put (topic, key, value) {
    this.#append(this.#topic(topic), [{ key, value }])
    return performance.now()
  }

  newest (topic, key) {
    return this.#topic(topic).records.findLast((record) => record.key === key)?.value
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #topic (name) {
    if (!this.#topics.has(name)) this.#topics.set(name, { records: [], waiters: new Set() })
    return this.#topics.get(name)
  }

  #append (topic, records) {
    topic.records.push(...records)
    for (const wake of [...topic.waiters]) wake()
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    await wait(ANSWER_MS)
    const url = new URL(request.url, 'http://store')
    const topic = this.#topic(url.searchParams.get('topic'))
    const answer = (status, body) => response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    if (url.pathname === '/figquay/log-append') {
      const at = url.searchParams.get('at')
      if (at !== null && Number(at) !== topic.records.length) return answer(412, { 'end-offset': topic.records.length })
      const offset = topic.records.length
      this.#append(topic, decodeRecords(Buffer.concat(chunks)))
      return answer(200, { offset, 'end-offset': topic.records.length })
    }
    if (url.pathname === '/figquay/log-newest') {
      const newest = new Map()
      for (const [offset, { key, value }] of topic.records.entries()) {
        if (value === '') newest.delete(key)
        else newest.set(key, { key, value: Buffer.from(value).toString('base64'), offset })
      }
      return answer(200, { items: [...newest.values()], 'has-more': false, 'end-offset': topic.records.length })
    }
    if (url.pathname !== '/figquay/log-read') return answer(404, {})
    const from = Number(url.searchParams.get('from'))
    const waitMs = Math.min(30_000, Number(url.searchParams.get('wait-ms') ?? 0))
    if (topic.records.length <= from && waitMs > 0) {
      this.waitingPorts.add(request.socket.remotePort)
      await this.#waitForRecords(topic, waitMs)
      this.waitingPorts.delete(request.socket.remotePort)
    }
    const header = Buffer.alloc(HEADER_BYTES)
    header.writeBigUInt64BE(BigInt(topic.records.length))
    response.writeHead(200).end(Buffer.concat([header, ...topic.records.slice(from).map(encodeRecord)]))
  }

  #waitForRecords (topic, waitMs) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer)
        topic.waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      topic.waiters.add(finish)
    })
  }
}
