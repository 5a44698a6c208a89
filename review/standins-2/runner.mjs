// Stand-in for a runner of a plain service: registers in the store, checks whom a request is meant for, runs it and answers.
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_200

export class Runner {
  /** Requests that it began to run, in order. */
  runs = []

  /**
   * @param answer Called with (request, response, body, runner) for each request that runs.
   */
  static async start ({ id, service, zone, store, record, answer, host = '127.0.8.1', slots = 6, isRegistered = true }) {
    const runner = new Runner()
    Object.assign(runner, { id, service, zone, store, record, answer, slots, born: Date.now(), beats: 0, state: 'ready' })
    runner.server = createServer((request, response) => runner.handle(request, response).catch(() => response.destroy()))
    runner.server.keepAliveTimeout = 10_000
    await new Promise((resolve) => runner.server.listen(0, host, resolve))
    runner.address = `${host}:${runner.server.address().port}`
    if (isRegistered) {
      runner.register()
      runner.timer = setInterval(() => runner.register(), HEARTBEAT_MS)
    }
    return runner
  }

  register () {
    this.beats += 1
    this.store.put('keyed.servers', `servers/${this.id}`, JSON.stringify({ service: this.service, addr: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, 'cold-left-ms': 0, sequence: this.beats, born: this.born }))
  }

  async handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const own = { 'x-instance-id': this.id }
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, own).end()
    if (request.url === '/health') return response.writeHead(200, own).end()
    if (request.url.startsWith('/figquay/')) return response.writeHead(404, own).end()
    this.runs.push({ id: request.headers['x-request-id'], method: request.method, path: request.url, headers: request.headers, body: body.toString(), atMs: performance.now() })
    this.record.note(`${this.id} runs ${request.headers['x-request-id']}`)
    await this.answer(request, response, body, this)
  }

  /** Answers with a success: the whole body, its length and a signature of it. */
  succeed (request, response, text) {
    const body = Buffer.from(text)
    response.writeHead(200, this.makeHeaders(request, body)).end(body)
  }

  makeHeaders (request, body) {
    return { 'content-type': 'application/json', 'content-length': body.length, 'x-request-id': request.headers['x-request-id'], 'x-response-signature': sign(body), 'x-server-load': `1,0,${this.slots}` }
  }

  /** Its entry is removed without a word before; it goes on serving. */
  leave () {
    this.hasLeft = true
    clearInterval(this.timer)
    this.store.put('keyed.servers', `servers/${this.id}`, undefined)
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }
}

export function sign (body) {
  return createHash('sha256').update(body).digest('hex').slice(0, 16)
}

/** A configuration with one service and its routes. */
export function makeConfiguration (version, routes, services) {
  return JSON.stringify({ version, routes, services: services.map((name) => ({ name, 'health-path': '/health', 'max-conns': 110, protocol: 'h1', tls: false })), limits: { 'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000 } })
}
