/** Stand-in for a runner: an engine with models, or a plain service. It registers in the store and records what it runs. */
import { createServer } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'

const HEARTBEAT_MS = 1_200

export class Runner {
  #server
  #heartbeat
  #sequence = 0
  #orders = 0
  #fence = 0
  isBusy = false
  state = 'ready'

  /**
   * @param options.behave Called with each request that may run; answers it, or returns false for the ordinary answer.
   */
  constructor ({ store, record, id, service, ip, zone, models, version = 1, slots = 64, workMs = 20, loadMs = 500, behave = () => false }) {
    Object.assign(this, { store, record, id, service, ip, zone, models, version, slots, workMs, loadMs, behave })
  }

  async start (port = 0) {
    this.born = Date.now()
    this.#server = createServer((request, response) => this.#handle(request, response).catch((error) => {
      this.record('runner error', { runner: this.id, error: String(error) })
      response.destroy()
    }))
    this.#server.keepAliveTimeout = 15_000
    await new Promise((resolve) => this.#server.listen(port, this.ip, resolve))
    this.port = this.#server.address().port
    this.announce()
    this.#heartbeat = setInterval(() => this.announce(), HEARTBEAT_MS)
    return this
  }

  announce () {
    this.#sequence += 1
    const held = this.models === undefined ? {} : { models: this.models.map((name) => ({ name, version: 1, adapters: [] })), busy: this.isBusy }
    return this.store.put('keyed.servers', this.id, JSON.stringify({ service: this.service, addr: `${this.ip}:${this.port}`, zone: this.zone, version: this.version, slots: this.slots, state: this.state, 'cold-left-ms': 0, sequence: this.#sequence, born: this.born, ...held, ...this.remainingMs === undefined ? {} : { 'remaining-ms': this.remainingMs } }))
  }

  /** Leaves without a report: its entry is removed, and it serves on until it is closed. Returns the time of the acknowledgement. */
  removeEntry () {
    clearInterval(this.#heartbeat)
    return this.store.put('keyed.servers', this.id, '')
  }

  /** Reports that it drains. Returns the time of the acknowledgement. */
  drain () {
    this.state = 'draining'
    return this.announce()
  }

  /** Is taken away at short notice: it reports that it drains, and is gone when the time is over, whatever it runs. */
  async reclaim (remainingMs) {
    this.remainingMs = remainingMs
    this.drain()
    await wait(remainingMs)
    this.close()
    this.removeEntry()
  }

  /** Loses power: nothing that arrives is answered or closed any more, and it writes nothing to the store. */
  goDark () {
    clearInterval(this.#heartbeat)
    this.isDark = true
  }

  /** Ends at once, as after a crash. */
  close () {
    clearInterval(this.#heartbeat)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.isDark) return
    const body = Buffer.concat(chunks)
    const requestId = request.headers['x-request-id']
    if (this.state === 'draining') response.setHeader('server-leaving', '1')
    const answer = (status, value, headers = {}) => response.writeHead(status, { 'content-type': 'application/json', ...requestId === undefined ? {} : { 'x-request-id': requestId }, ...headers }).end(JSON.stringify(value))
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return answer(421, {}, { 'x-instance-id': this.id, 'x-not-executed': '1' })
    if (request.url === '/figquay/report') return this.#report(answer)
    if (request.url === '/figquay/order') return await this.#order(JSON.parse(body.toString()), answer)
    if (requestId === undefined) return answer(400, {}, { 'x-not-executed': '1' })
    const [model] = (request.headers['x-model'] ?? '').split('/')
    if (this.models !== undefined && !this.models.includes(model)) return answer(421, {}, { 'x-not-executed': '1' })
    const arrival = { request, response, body, requestId, runner: this }
    if (await this.behave(arrival) !== false) return
    this.noteRun(arrival)
    await wait(this.workMs)
    if (this.isDark) return
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'x-request-id': requestId, 'x-response-signature': `signed.${requestId}`, 'x-server-load': `1,0,${this.slots}` }).end(`answer to ${requestId} of ${this.service}`)
  }

  noteRun ({ request, requestId }) {
    this.record('run', { runner: this.id, service: this.service, request: requestId, method: request.method, path: request.url, after: request.headers['last-event-id'] })
  }

  #report (answer) {
    if (this.models === undefined) return answer(404, {})
    answer(200, { stage: 'both', state: this.state, models: this.models.map((name) => ({ name, version: 1, adapters: [] })), busy: this.isBusy, sequence: this.#orders, queued: 0, 'in-flight': 0, 'kv-used': 0, 'kv-total': 200_000, handles: 0, born: this.born, coming: [] })
  }

  async #order ({ operation, model, expect, holder, fence }, answer) {
    if (holder === undefined || fence === undefined || this.models === undefined) return answer(400, {})
    if (fence < this.#fence) return answer(412, {})
    this.#fence = fence
    if (this.isBusy || (expect !== undefined && expect !== this.#orders)) return answer(409, {})
    if ((operation === 'load') === this.models.includes(model)) return answer(200, {})
    this.#orders += 1
    this.isBusy = true
    answer(202, {})
    this.record('order', { runner: this.id, operation, model, holder, fence })
    await wait(operation === 'load' ? this.loadMs : 50)
    this.models = operation === 'load' ? [...this.models, model] : this.models.filter((name) => name !== model)
    this.isBusy = false
    this.announce()
  }
}
