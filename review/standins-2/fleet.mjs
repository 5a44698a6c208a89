// Starts daemons with the command of the deploy file, on loopback addresses, with settings like those of a small deployment.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendHttp } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

export const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const DAEMON_COMMAND = /run = "([^"]+)"/.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))[1].split(' ')

/** Finds free ports of an address, all different. */
async function findPorts (host, count) {
  const servers = Array.from({ length: count }, () => createServer())
  for (const server of servers) await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
  const ports = servers.map((server) => server.address().port)
  for (const server of servers) await new Promise((resolve) => server.close(resolve))
  return ports
}

/** Loopback addresses of this run, so that several runs at once don't meet. */
const NET = `127.${10 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`
const LISTENERS = ['callers', 'ready', 'peers', 'metrics', 'forwarding']

/** Lines of record.txt: what was sent, answered and run. */
export class Record {
  constructor (folder) {
    this.file = join(folder, 'record.txt')
    this.startedAt = performance.now()
    writeFileSync(this.file, '')
  }

  note (text) {
    appendFileSync(this.file, `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`)
  }
}

export class Fleet {
  daemons = []
  folder = mkdtempSync(join(tmpdir(), 'figquay-review-'))

  /** @param bounds Settings that differ from those of a small deployment. */
  constructor (store, record, bounds = {}) {
    this.store = store
    this.record = record
    this.bounds = bounds
  }

  /** Writes the settings of `count` daemons and starts them. */
  async start (count, zones = ['a', 'b', 'c']) {
    for (let index = 0; index < count; index += 1) {
      const ip = `${NET}.${index + 1}`
      const ports = await findPorts(ip, LISTENERS.length)
      const listen = Object.fromEntries(LISTENERS.map((name, port) => [name, `${ip}:${ports[port]}`]))
      this.daemons.push({ name: `front-${index + 1}`, zone: zones[index % zones.length], listen, exits: [], door: await this.store.openDoor() })
    }
    const seeds = this.daemons.slice(0, 3).map(({ listen }) => listen.peers)
    for (const daemon of this.daemons) {
      daemon.settings = join(this.folder, `${daemon.name}.jsonc`)
      writeFileSync(daemon.settings, JSON.stringify({
        name: daemon.name,
        zone: daemon.zone,
        listen: daemon.listen,
        seeds,
        store: daemon.door.address,
        peerSecrets: ['figquay-peers-on-a-private-network'],
        retries: { perRequest: 0.14, burst: 40 },
        processor: { share: 0.675, cores: 1 },
        drainWithin: '2000ms',
        applyWithin: '2000ms',
        killAfter: '8s',
        ...this.bounds
      }))
      this.spawn(daemon)
    }
    await this.waitUntilReady()
  }

  spawn (daemon) {
    const [program, ...args] = DAEMON_COMMAND
    daemon.log = join(this.folder, `${daemon.name}.log`)
    daemon.process = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, FIGQUAY_CONFIG: daemon.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    const child = daemon.process
    for (const output of [child.stdout, child.stderr]) {
      output.on('data', (bytes) => {
        if (!this.isStopped) appendFileSync(daemon.log, bytes)
      })
    }
    child.once('exit', (code, signal) => {
      daemon.exits.push({ code, signal })
      this.record.note(`${daemon.name} ended, ${signal ?? `status ${code}`}`)
    })
    this.record.note(`${daemon.name} started`)
  }

  async isReady ({ listen }) {
    const [host, port] = listen.ready.split(':')
    return await new Promise((resolve) => {
      const request = sendHttp({ host, port, path: '/figquay/ready', agent: false, timeout: 1_000 }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false)).end()
    })
  }

  async waitUntilReady (timeoutMs = 20_000) {
    const deadline = performance.now() + timeoutMs
    for (const daemon of this.daemons) {
      while (!await this.isReady(daemon)) {
        if (performance.now() > deadline) throw new Error(`${daemon.name} did not get ready`)
        await wait(100)
      }
    }
  }

  async stop () {
    for (const { process: child } of this.daemons) {
      if (child.exitCode !== null || child.signalCode !== null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await new Promise((resolve) => child.once('close', resolve))
    }
    this.isStopped = true
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Sends one request on a new connection; resolves with the status, the headers and the body, or with what ended it. */
export function sendRequest ({ listen }, { method = 'POST', path, host, headers = {}, body = '' }) {
  const [address, port] = listen.callers.split(':')
  return new Promise((resolve) => {
    const request = sendHttp({ host: address, port, method, path, agent: false, headers: { host, 'content-length': Buffer.byteLength(body), ...headers } }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => {})
      response.on('close', () => resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), isComplete: response.complete }))
    })
    request.on('error', (error) => resolve({ status: undefined, error: error.code ?? error.message, headers: {}, body: '', isComplete: false }))
    request.end(body)
  })
}

/** Opens a plain connection to the callers' address of a daemon. */
export function openConnection ({ listen }) {
  const [host, port] = listen.callers.split(':')
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port }, () => resolve(socket))
    socket.once('error', reject)
  })
}
