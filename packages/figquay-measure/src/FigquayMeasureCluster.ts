/** A whole deployment on loopback: stand-ins, proxies and daemons as separate processes. */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { JsonClient } from 'figquay'
import { listDocuments, parseDeployment, type DocumentChange } from 'figquay-contracts'
import type { FaultRule, LogBehaviour, RosterControl, RosterVm, StandinEngineOptions } from 'figquay-standins'
import { makeDaemonSettings, OPERATOR_KEY } from './FigquayMeasureClusterSettings.js'
import type { ClusterDaemon, ClusterOptions, ClusterUpstream } from './FigquayMeasureClusterTypes.js'
import { DEPLOYMENTS, type DeploymentSize } from './FigquayMeasureDeployments.js'
import { findPorts, ManagedProcess } from './FigquayMeasureProcesses.js'

/** What the status says of cells. */
interface CellHolders {
  readonly daemons: ReadonlyArray<{ readonly daemon: string, readonly cells: readonly string[] }>
}

const GIB = 2 ** 30
const CALL_TIMEOUT_MS = 8_000
const READY_TIMEOUT_MS = 60_000
const POLL_MS = 50
const LOAD_LAG_MS = 250

const EXAMPLES = fileURLToPath(new URL('../../../examples/', import.meta.url))

/** A running deployment. */
export class LocalCluster {
  readonly daemons: ClusterDaemon[] = []
  readonly engines: ClusterUpstream[] = []
  readonly services: ClusterUpstream[] = []
  readonly directory = mkdtempSync(join(tmpdir(), 'figquay-'))
  private readonly client = JsonClient.create()
  private readonly processes: ManagedProcess[] = []
  private readonly size: DeploymentSize
  private logUrl = ''
  private rosterUrl = ''
  private storeUrl = ''
  private readonly logProxies: string[] = []
  private readonly rosterProxies: string[] = []
  private readonly peerProxies: string[] = []
  private storeScale: number

  private constructor (private readonly options: ClusterOptions) {
    this.size = { ...DEPLOYMENTS[options.deployment], ...options.size }
    this.storeScale = options.storeScale ?? 1
  }

  /**
   * @example
   * const cluster = LocalCluster.create({ deployment: 'guild', daemons: 3 })
   * await cluster.start()
   */
  static create (options: ClusterOptions): LocalCluster {
    return new LocalCluster(options)
  }

  /** Starts everything, publishes the contracts and waits until every model is reachable. */
  async start (): Promise<void> {
    await this.startPlatform()
    await this.startEngines()
    await this.startServices()
    for (let index = 0; index < this.options.daemons; index++) await this.addDaemon(index)
    await this.controlRoster({ put: [...this.daemons, ...this.engines, ...this.services].map((entry) => entry.vm) })
    await this.publishContracts()
    await this.waitUntil('every daemon is ready', async () => (await Promise.all(this.daemons.map((daemon) => this.isReady(daemon)))).every(Boolean))
    if (this.options.waitForModels !== false) await this.waitUntil('every model is loaded', () => this.isEveryModelLoaded())
  }

  /** Stops the daemons gracefully, then everything else; returns the daemons' exit codes. */
  async stop (): Promise<Array<number | null>> {
    const codes = await Promise.all(this.daemons.filter((daemon) => !daemon.process.hasExited).map((daemon) => daemon.process.stop()))
    await Promise.all(this.processes.map((process) => process.stop()))
    this.client.close()
    return codes
  }

  /** Contracts of the deployment as text. */
  async readContracts (): Promise<string> {
    const text = await readFile(join(EXAMPLES, this.size.contracts), 'utf8')
    const fenced = this.options.fencing === undefined ? text : text.replace(/"fencing": "\w+"/, `"fencing": "${this.options.fencing}"`)
    const scale = this.storeScale
    const paced = fenced.replace(/"loadsPerSecond": ([\d.]+)/, (_, rate: string) => `"loadsPerSecond": ${Number(rate) / scale}`)
    return this.options.editContracts?.(paced) ?? paced
  }

  /** Calls a method of a daemon's operator port. */
  async callOperator<T> (daemon: ClusterDaemon, method: string, params: unknown): Promise<T | undefined> {
    try {
      const response = await fetch(`${daemon.operatorUrl}/rpc`, {
        method: 'POST',
        headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
        body: JSON.stringify({ jsonrpc: '2.0', id: 1, method, params }),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
      })
      return ((await response.json()) as { result?: T }).result
    } catch {
      return undefined
    }
  }

  /** Whether a daemon wants callers. */
  async isReady (daemon: ClusterDaemon): Promise<boolean> {
    const reply = await this.client.requestJson('GET', `${daemon.operatorUrl}/readyz`, undefined, 500)
    return reply.ok && reply.value.status === 200
  }

  /** Metrics of a daemon, by name without labels; those with labels are added up. */
  async readMetrics (daemon: ClusterDaemon): Promise<Map<string, number>> {
    const sums = new Map<string, number>()
    const response = await fetch(`${daemon.operatorUrl}/metrics`, { signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
    for (const line of (await response.text()).split('\n')) {
      const match = /^([a-zA-Z_:]+)(?:\{[^}]*\})? (\S+)$/.exec(line)
      if (match !== null) sums.set(match[1]!, (sums.get(match[1]!) ?? 0) + Number(match[2]))
    }
    return sums
  }

  /** What a stand-in has seen. */
  async readFacts<T> (upstream: ClusterUpstream | 'log' | 'store'): Promise<T> {
    const url = upstream === 'log' ? this.logUrl : upstream === 'store' ? this.storeUrl : upstream.directUrl
    const reply = await this.client.requestJson('GET', `${url}/standin/facts`, undefined, CALL_TIMEOUT_MS)
    if (!reply.ok) throw new Error(`no facts: ${reply.error.message}`)
    return reply.value.body as T
  }

  /** Changes how a stand-in behaves. */
  async controlUpstream (upstream: ClusterUpstream, control: unknown): Promise<void> {
    await this.client.requestJson('POST', `${upstream.directUrl}/standin/control`, control, CALL_TIMEOUT_MS)
  }

  /** Changes how the log behaves. */
  async controlLog (behaviour: Partial<LogBehaviour>): Promise<void> {
    await this.client.requestJson('POST', `${this.logUrl}/standin/control`, behaviour, CALL_TIMEOUT_MS)
  }

  /** Changes the list of VMs. */
  async controlRoster (control: RosterControl): Promise<void> {
    await this.client.requestJson('POST', `${this.rosterUrl}/standin/control`, control, CALL_TIMEOUT_MS)
  }

  /** Multiplies the time of the weight store's transfers, and paces the policy to it. */
  async setStoreScale (scale: number): Promise<void> {
    await this.client.requestJson('POST', `${this.storeUrl}/standin/control`, { scale }, CALL_TIMEOUT_MS)
    this.storeScale = scale
    const parsed = parseDeployment(await this.readContracts())
    const base = (await this.readDocuments(this.daemons[0]!))['policy/placement']?.version ?? 0
    if (parsed.ok) await this.applyDocuments(this.daemons[0]!, `policy-${scale}`, [{ key: 'policy/placement', base, body: parsed.value.policy }])
  }

  /** Sets the rule of one daemon's way to the log. */
  async setLogRule (index: number, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${this.logProxies[index]!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Sets the rule of one daemon's way to the roster. */
  async setRosterRule (index: number, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${this.rosterProxies[index]!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Sets the rule of the peers' way to one daemon. */
  async setPeerRule (index: number, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${this.peerProxies[index]!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Sets the rule of the daemons' way to an upstream. */
  async setUpstreamRule (upstream: ClusterUpstream, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${upstream.proxyUrl!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Starts a daemon's process again. */
  restartDaemon (daemon: ClusterDaemon): void {
    daemon.process = ManagedProcess.start(daemon.id, 'figquayd', ['--settings', daemon.settingsFile], this.directory)
  }

  /** Adds a daemon; it is on the list once `controlRoster` has put it there. */
  async addDaemon (index: number): Promise<ClusterDaemon> {
    const [callers, operators, peers, ...rest] = await findPorts(9) as [number, number, number, ...number[]]
    const id = `daemon-${index + 1}`
    const zone = this.size.zones[index % this.size.zones.length]!
    const logUrl = await this.startProxy(`proxy-log-${id}`, this.options.proxied?.log === true, this.logUrl, rest[0]!, rest[1]!, this.logProxies)
    const rosterUrl = await this.startProxy(`proxy-roster-${id}`, this.options.proxied?.roster === true, this.rosterUrl, rest[4]!, rest[5]!, this.rosterProxies)
    const peerUrl = await this.startProxy(`proxy-peer-${id}`, this.options.proxied?.peers === true, `http://127.0.0.1:${peers}`, rest[2]!, rest[3]!, this.peerProxies)
    const settingsFile = join(this.directory, `${id}.jsonc`)
    writeFileSync(settingsFile, JSON.stringify(makeDaemonSettings(this.options, { id, zone, callers, operators, peers, logUrl, rosterUrl }), null, 2))
    const process = ManagedProcess.start(id, 'figquayd', ['--settings', settingsFile], this.directory)
    const operatorUrl = `http://127.0.0.1:${operators}`
    const vm: RosterVm = { id, kind: 'daemon', group: '', zone, url: operatorUrl, peer: peerUrl.slice('http://'.length), state: 'live' }
    const daemon = { id, zone, callerUrl: `http://127.0.0.1:${callers}`, operatorUrl, vm, settingsFile, process }
    this.daemons.push(daemon)
    return daemon
  }

  /** Publishes documents through a daemon; undefined when it did not answer. */
  async applyDocuments (daemon: ClusterDaemon, changeId: string, documents: readonly DocumentChange[], author = 'trial'): Promise<{ verdict: { verdict: string, offset: number, reason: string } | null, outcome: string } | undefined> {
    return await this.callOperator(daemon, 'config.apply', { author, changeId, documents })
  }

  /** Versions of the documents in force at a daemon. */
  async readDocuments (daemon: ClusterDaemon): Promise<Record<string, { version: number, body: unknown }>> {
    return (await this.callOperator<{ documents: Record<string, { version: number, body: unknown }> }>(daemon, 'config.get', {}))?.documents ?? {}
  }

  /** Waits for a condition; throws when it does not come about. */
  async waitUntil (what: string, condition: () => Promise<boolean>, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const deadline = performance.now() + timeoutMs
    while (performance.now() < deadline) {
      if (await condition()) return
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
    throw new Error(`not within ${timeoutMs} ms: ${what} (logs in ${this.directory})`)
  }

  /** The daemon that orders runners, by what any daemon other than `except` says. */
  async findCellHolder (except?: ClusterDaemon): Promise<ClusterDaemon | undefined> {
    for (const daemon of this.daemons.filter((candidate) => candidate !== except && !candidate.process.hasExited)) {
      const status = await this.callOperator<CellHolders>(daemon, 'status.get', {})
      const holder = status?.daemons.find((entry) => entry.cells.length > 0 && entry.daemon !== except?.id)
      if (holder !== undefined) return this.daemons.find((candidate) => candidate.id === holder.daemon)
    }
    return undefined
  }

  /** Whether every model of the contracts is ready on some engine. */
  async isEveryModelLoaded (): Promise<boolean> {
    const parsed = parseDeployment(await this.readContracts())
    if (!parsed.ok) throw new Error('the contracts are not valid')
    const ready = await this.listReadyModels()
    return parsed.value.models.every((model) => ready.has(`${model.name}@${model.version}`))
  }

  /** Models that are ready on some engine that answers. */
  async listReadyModels (): Promise<Set<string>> {
    const states = await Promise.all(this.engines.map((engine) => this.client.requestJson('GET', `${engine.directUrl}/engine/state`, undefined, CALL_TIMEOUT_MS)))
    const models = states.flatMap((state) => state.ok ? (state.value.body as { models: Array<{ id: string, phase: string }> }).models : [])
    return new Set(models.filter((model) => model.phase === 'ready').map((model) => model.id))
  }

  private async startPlatform (): Promise<void> {
    const [log, roster, store] = await findPorts(3) as [number, number, number]
    this.logUrl = `http://127.0.0.1:${log}`
    this.rosterUrl = `http://127.0.0.1:${roster}`
    this.storeUrl = `http://127.0.0.1:${store}`
    await Promise.all([
      this.startStandin('log', 'log', { port: log }),
      this.startStandin('roster', 'roster', { port: roster }),
      this.startStandin('store', 'store', { port: store, ...this.size.store })
    ])
    await this.client.requestJson('POST', `${this.storeUrl}/standin/control`, { scale: this.storeScale }, CALL_TIMEOUT_MS)
  }

  private async startStandin (name: string, kind: string, options: unknown): Promise<ManagedProcess> {
    const process = ManagedProcess.start(name, 'figquay-standins', [kind, '--options', JSON.stringify(options)], this.directory)
    this.processes.push(process)
    await process.waitForReady()
    return process
  }

  /** Puts a proxy before a URL; returns the URL to use. */
  private async startProxy (name: string, isWanted: boolean, url: string, port: number, controlPort: number, controls: string[]): Promise<string> {
    if (!isWanted) return url
    await this.startStandin(name, 'proxy', { port, controlPort, targetPort: Number(new URL(url).port) })
    controls.push(`http://127.0.0.1:${controlPort}`)
    return `http://127.0.0.1:${port}`
  }

  private async startEngines (): Promise<void> {
    const perProcess = this.options.enginesPerProcess ?? 1
    const count = Math.ceil(this.size.runners / perProcess)
    await Promise.all(Array.from({ length: count }, (_, index) => this.startEngineProcess(index * perProcess, Math.min(this.size.runners, (index + 1) * perProcess))))
  }

  /** Starts the engines from one index to before another in one process. */
  private async startEngineProcess (from: number, to: number): Promise<void> {
    const ports = await findPorts((to - from) * 3)
    const indexes = Array.from({ length: to - from }, (_, position) => from + position)
    const engines = indexes.map((index) => this.makeEngineOptions(`engine-${index + 1}`, ports[(index - from) * 3]!))
    const process = await this.startStandin(`engine-${from + 1}`, 'engine', { engines })
    await Promise.all(indexes.map(async (index) => {
      const [port, proxyPort, controlPort] = ports.slice((index - from) * 3, (index - from) * 3 + 3) as [number, number, number]
      this.engines[index] = await this.makeUpstream(`engine-${index + 1}`, 'engine', this.size.pool, index, process, port, proxyPort, controlPort, this.options.proxied?.engines === true)
    }))
  }

  private makeEngineOptions (id: string, port: number): StandinEngineOptions {
    return {
      id,
      port,
      capacityBytes: this.size.capacityGib * GIB,
      fencing: this.options.fencing ?? 'checked',
      storeUrl: this.storeUrl,
      batching: this.size.batching,
      loadLagMs: LOAD_LAG_MS,
      restartMs: this.options.restartMs ?? 2_000
    }
  }

  private async startServices (): Promise<void> {
    const ports = await findPorts(this.size.serviceUpstreams * 3)
    await Promise.all(Array.from({ length: this.size.serviceUpstreams }, async (_, index) => {
      const id = `${this.size.service}-${index + 1}`
      const [port, proxyPort, controlPort] = ports.slice(index * 3, index * 3 + 3) as [number, number, number]
      const process = await this.startStandin(id, 'service', { services: [{ id, port, serviceMs: 8 }] })
      this.services[index] = await this.makeUpstream(id, 'service', this.size.service, index, process, port, proxyPort, controlPort, this.options.proxied?.services === true)
    }))
  }

  private async makeUpstream (id: string, kind: 'engine' | 'service', group: string, index: number, process: ManagedProcess, port: number, proxyPort: number, controlPort: number, isProxied: boolean): Promise<ClusterUpstream> {
    const directUrl = `http://127.0.0.1:${port}`
    const controls: string[] = []
    const url = await this.startProxy(`proxy-${id}`, isProxied, directUrl, proxyPort, controlPort, controls)
    const zone = this.size.zones[index % this.size.zones.length]!
    return { id, directUrl, process, proxyUrl: controls[0], vm: { id, kind, group, zone, url, peer: '', state: 'live' } }
  }

  private async publishContracts (): Promise<void> {
    const parsed = parseDeployment(await this.readContracts())
    if (!parsed.ok) throw new Error(`the contracts are not valid: ${JSON.stringify(parsed.error)}`)
    const documents = listDocuments(parsed.value).map((document) => ({ ...document, base: 0 }))
    await this.waitUntil('the contracts are accepted', async () => {
      const reply = await this.applyDocuments(this.daemons[0]!, 'first-contracts', documents)
      if (reply?.verdict?.verdict === 'rejected') throw new Error(`contracts rejected: ${reply.verdict.reason}`)
      return reply?.verdict?.verdict === 'accepted'
    })
  }
}
