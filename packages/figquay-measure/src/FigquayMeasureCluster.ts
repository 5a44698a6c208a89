/** Runs a whole deployment on loopback: daemons, stand-ins of their dependencies and fault-injecting proxies, each as a process of its own. */
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
import { findFreePorts, ManagedProcess } from './FigquayMeasureProcesses.js'

/** Part of the response to `status.get`: the cells of runners that each daemon controls. */
interface StatusView {
  readonly daemons: ReadonlyArray<{ readonly daemon: string, readonly cells: readonly string[] }>
}

const GIB = 2 ** 30
const CALL_TIMEOUT_MS = 8_000
const READY_TIMEOUT_MS = 60_000
const POLL_MS = 50
const LOAD_REPORT_LAG_MS = 250

const EXAMPLES_DIRECTORY = fileURLToPath(new URL('../../../examples/', import.meta.url))

/** A deployment on loopback. */
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
  private readonly logProxyControlUrls: string[] = []
  private readonly rosterProxyControlUrls: string[] = []
  private readonly peerProxyControlUrls: string[] = []
  private transferTimeScale: number

  private constructor (private readonly options: ClusterOptions) {
    this.size = { ...DEPLOYMENTS[options.deployment], ...options.size }
    this.transferTimeScale = options.transferTimeScale ?? 1
  }

  /**
   * @example
   * const cluster = LocalCluster.create({ deployment: 'guild', daemons: 3 })
   * await cluster.start()
   */
  static create (options: ClusterOptions): LocalCluster {
    return new LocalCluster(options)
  }

  /** Starts all processes, publishes the contracts and waits until every daemon is ready and, by default, every model is loaded. */
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

  /** Shuts down the daemons gracefully, then all other processes; returns the exit codes of the daemons. */
  async stop (): Promise<Array<number | null>> {
    const codes = await Promise.all(this.daemons.filter((daemon) => !daemon.process.hasExited).map((daemon) => daemon.process.stop()))
    await Promise.all(this.processes.map((process) => process.stop()))
    this.client.close()
    return codes
  }

  /** Reads the deployment file, with the fencing mode, the load rate and the edits of the options applied. */
  async readContracts (): Promise<string> {
    const text = await readFile(join(EXAMPLES_DIRECTORY, this.size.contracts), 'utf8')
    const withFencing = this.options.fencing === undefined ? text : text.replace(/"fencing": "\w+"/, `"fencing": "${this.options.fencing}"`)
    const scale = this.transferTimeScale
    const withLoadRate = withFencing.replace(/"loadsPerSecond": ([\d.]+)/, (_, rate: string) => `"loadsPerSecond": ${Number(rate) / scale}`)
    return this.options.editContracts?.(withLoadRate) ?? withLoadRate
  }

  /** Calls a JSON-RPC method on the operator port of a daemon; undefined if the call fails. */
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

  /** Whether the readiness check of a daemon succeeds. */
  async isReady (daemon: ClusterDaemon): Promise<boolean> {
    const reply = await this.client.requestJson('GET', `${daemon.operatorUrl}/readyz`, undefined, 500)
    return reply.ok && reply.value.status === 200
  }

  /** Reads the metrics of a daemon by name; series that differ only in labels are summed. */
  async readMetrics (daemon: ClusterDaemon): Promise<Map<string, number>> {
    const sums = new Map<string, number>()
    const response = await fetch(`${daemon.operatorUrl}/metrics`, { signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
    for (const line of (await response.text()).split('\n')) {
      const match = /^([a-zA-Z_:]+)(?:\{[^}]*\})? (\S+)$/.exec(line)
      if (match !== null) sums.set(match[1]!, (sums.get(match[1]!) ?? 0) + Number(match[2]))
    }
    return sums
  }

  /** Reads what a stand-in has recorded, such as executed requests and violated limits. */
  async readFacts<T> (upstream: ClusterUpstream | 'log' | 'store'): Promise<T> {
    const url = upstream === 'log' ? this.logUrl : upstream === 'store' ? this.storeUrl : upstream.directUrl
    const reply = await this.client.requestJson('GET', `${url}/standin/facts`, undefined, CALL_TIMEOUT_MS)
    if (!reply.ok) throw new Error(`cannot read the facts of a stand-in: ${reply.error.message}`)
    return reply.value.body as T
  }

  /** Changes the behaviour of an upstream stand-in. */
  async controlUpstream (upstream: ClusterUpstream, control: unknown): Promise<void> {
    await this.client.requestJson('POST', `${upstream.directUrl}/standin/control`, control, CALL_TIMEOUT_MS)
  }

  /** Changes the behaviour of the log stand-in. */
  async controlLog (behaviour: Partial<LogBehaviour>): Promise<void> {
    await this.client.requestJson('POST', `${this.logUrl}/standin/control`, behaviour, CALL_TIMEOUT_MS)
  }

  /** Changes the roster, which lists the VMs of the deployment. */
  async controlRoster (control: RosterControl): Promise<void> {
    await this.client.requestJson('POST', `${this.rosterUrl}/standin/control`, control, CALL_TIMEOUT_MS)
  }

  /** Multiplies the transfer times of the weight store and divides the load rate of the placement policy by the same factor. */
  async setTransferTimeScale (scale: number): Promise<void> {
    await this.client.requestJson('POST', `${this.storeUrl}/standin/control`, { scale }, CALL_TIMEOUT_MS)
    this.transferTimeScale = scale
    const parsed = parseDeployment(await this.readContracts())
    const base = (await this.readDocuments(this.daemons[0]!))['policy/placement']?.version ?? 0
    if (parsed.ok) await this.applyDocuments(this.daemons[0]!, `policy-${scale}`, [{ key: 'policy/placement', base, body: parsed.value.policy }])
  }

  /** Sets the fault rule of the proxy between a daemon and the log. */
  async setLogFaultRule (index: number, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${this.logProxyControlUrls[index]!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Sets the fault rule of the proxy between a daemon and the roster. */
  async setRosterFaultRule (index: number, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${this.rosterProxyControlUrls[index]!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Sets the fault rule of the proxy in front of the peer port of a daemon. */
  async setPeerFaultRule (index: number, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${this.peerProxyControlUrls[index]!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Sets the fault rule of the proxy between the daemons and an upstream. */
  async setUpstreamFaultRule (upstream: ClusterUpstream, rule: Partial<FaultRule>): Promise<void> {
    await this.client.requestJson('POST', `${upstream.proxyControlUrl!}/rule`, rule, CALL_TIMEOUT_MS)
  }

  /** Starts a new process for a daemon, with the same settings. */
  restartDaemon (daemon: ClusterDaemon): void {
    daemon.process = ManagedProcess.start(daemon.id, 'figquayd', ['--settings', daemon.settingsFile], this.directory)
  }

  /** Starts another daemon; the roster lists it only once `controlRoster` has added it. */
  async addDaemon (index: number): Promise<ClusterDaemon> {
    const [callerPort, operatorPort, peerPort, ...proxyPorts] = await findFreePorts(9) as [number, number, number, ...number[]]
    const id = `daemon-${index + 1}`
    const zone = this.size.zones[index % this.size.zones.length]!
    const logUrl = await this.startProxy(`proxy-log-${id}`, this.options.proxied?.log === true, this.logUrl, proxyPorts[0]!, proxyPorts[1]!, this.logProxyControlUrls)
    const rosterUrl = await this.startProxy(`proxy-roster-${id}`, this.options.proxied?.roster === true, this.rosterUrl, proxyPorts[4]!, proxyPorts[5]!, this.rosterProxyControlUrls)
    const peerUrl = await this.startProxy(`proxy-peer-${id}`, this.options.proxied?.peers === true, `http://127.0.0.1:${peerPort}`, proxyPorts[2]!, proxyPorts[3]!, this.peerProxyControlUrls)
    const settingsFile = join(this.directory, `${id}.jsonc`)
    writeFileSync(settingsFile, JSON.stringify(makeDaemonSettings(this.options, { id, zone, callerPort, operatorPort, peerPort, logUrl, rosterUrl }), null, 2))
    const process = ManagedProcess.start(id, 'figquayd', ['--settings', settingsFile], this.directory)
    const operatorUrl = `http://127.0.0.1:${operatorPort}`
    const vm: RosterVm = { id, kind: 'daemon', group: '', zone, url: operatorUrl, peer: peerUrl.slice('http://'.length), state: 'live' }
    const daemon = { id, zone, callerUrl: `http://127.0.0.1:${callerPort}`, operatorUrl, vm, settingsFile, process }
    this.daemons.push(daemon)
    return daemon
  }

  /** Publishes configuration documents through a daemon; undefined if the daemon did not answer. */
  async applyDocuments (daemon: ClusterDaemon, changeId: string, documents: readonly DocumentChange[], author = 'trial'): Promise<{ verdict: { verdict: string, offset: number, reason: string } | null, outcome: string } | undefined> {
    return await this.callOperator(daemon, 'config.apply', { author, changeId, documents })
  }

  /** Reads the configuration documents in force at a daemon, with their versions. */
  async readDocuments (daemon: ClusterDaemon): Promise<Record<string, { version: number, body: unknown }>> {
    return (await this.callOperator<{ documents: Record<string, { version: number, body: unknown }> }>(daemon, 'config.get', {}))?.documents ?? {}
  }

  /** Polls a condition until it holds; throws after the timeout. */
  async waitUntil (description: string, condition: () => Promise<boolean>, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const deadline = performance.now() + timeoutMs
    while (performance.now() < deadline) {
      if (await condition()) return
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
    throw new Error(`condition not met within ${timeoutMs} ms: ${description} (logs in ${this.directory})`)
  }

  /** Finds a daemon other than `except` that controls a cell of runners, from the status of any running daemon other than `except`. */
  async findCellHolder (except?: ClusterDaemon): Promise<ClusterDaemon | undefined> {
    for (const daemon of this.daemons.filter((candidate) => candidate !== except && !candidate.process.hasExited)) {
      const status = await this.callOperator<StatusView>(daemon, 'status.get', {})
      const holder = status?.daemons.find((entry) => entry.cells.length > 0 && entry.daemon !== except?.id)
      if (holder !== undefined) return this.daemons.find((candidate) => candidate.id === holder.daemon)
    }
    return undefined
  }

  /** Whether every model of the deployment is ready on at least one engine. */
  async isEveryModelLoaded (): Promise<boolean> {
    const parsed = parseDeployment(await this.readContracts())
    if (!parsed.ok) throw new Error('the deployment file is invalid')
    const ready = await this.listReadyModels()
    return parsed.value.models.every((model) => ready.has(`${model.name}@${model.version}`))
  }

  /** Lists the models that are ready on at least one engine; engines that do not answer are skipped. */
  async listReadyModels (): Promise<Set<string>> {
    const states = await Promise.all(this.engines.map((engine) => this.client.requestJson('GET', `${engine.directUrl}/engine/state`, undefined, CALL_TIMEOUT_MS)))
    const models = states.flatMap((state) => state.ok ? (state.value.body as { models: Array<{ id: string, phase: string }> }).models : [])
    return new Set(models.filter((model) => model.phase === 'ready').map((model) => model.id))
  }

  private async startPlatform (): Promise<void> {
    const [logPort, rosterPort, storePort] = await findFreePorts(3) as [number, number, number]
    this.logUrl = `http://127.0.0.1:${logPort}`
    this.rosterUrl = `http://127.0.0.1:${rosterPort}`
    this.storeUrl = `http://127.0.0.1:${storePort}`
    await Promise.all([
      this.startStandin('log', 'log', { port: logPort }),
      this.startStandin('roster', 'roster', { port: rosterPort }),
      this.startStandin('store', 'store', { port: storePort, ...this.size.store })
    ])
    await this.client.requestJson('POST', `${this.storeUrl}/standin/control`, { scale: this.transferTimeScale }, CALL_TIMEOUT_MS)
  }

  private async startStandin (name: string, kind: string, options: unknown): Promise<ManagedProcess> {
    const process = ManagedProcess.start(name, 'figquay-standins', [kind, '--options', JSON.stringify(options)], this.directory)
    this.processes.push(process)
    await process.waitForReady()
    return process
  }

  /** Starts a proxy in front of a URL if enabled, and adds its control URL to `controlUrls`; returns the URL to connect to. */
  private async startProxy (name: string, isEnabled: boolean, targetUrl: string, port: number, controlPort: number, controlUrls: string[]): Promise<string> {
    if (!isEnabled) return targetUrl
    await this.startStandin(name, 'proxy', { port, controlPort, targetPort: Number(new URL(targetUrl).port) })
    controlUrls.push(`http://127.0.0.1:${controlPort}`)
    return `http://127.0.0.1:${port}`
  }

  private async startEngines (): Promise<void> {
    const perProcess = this.options.enginesPerProcess ?? 1
    const count = Math.ceil(this.size.runners / perProcess)
    await Promise.all(Array.from({ length: count }, (_, index) => this.startEngineProcess(index * perProcess, Math.min(this.size.runners, (index + 1) * perProcess))))
  }

  /** Starts one process with the engines from `firstIndex` up to but not including `endIndex`. */
  private async startEngineProcess (firstIndex: number, endIndex: number): Promise<void> {
    const ports = await findFreePorts((endIndex - firstIndex) * 3)
    const indexes = Array.from({ length: endIndex - firstIndex }, (_, position) => firstIndex + position)
    const engines = indexes.map((index) => this.makeEngineOptions(`engine-${index + 1}`, ports[(index - firstIndex) * 3]!))
    const process = await this.startStandin(`engine-${firstIndex + 1}`, 'engine', { engines })
    await Promise.all(indexes.map(async (index) => {
      const [port, proxyPort, controlPort] = ports.slice((index - firstIndex) * 3, (index - firstIndex) * 3 + 3) as [number, number, number]
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
      loadLagMs: LOAD_REPORT_LAG_MS,
      restartMs: this.options.restartMs ?? 2_000
    }
  }

  private async startServices (): Promise<void> {
    const ports = await findFreePorts(this.size.serviceUpstreams * 3)
    await Promise.all(Array.from({ length: this.size.serviceUpstreams }, async (_, index) => {
      const id = `${this.size.service}-${index + 1}`
      const [port, proxyPort, controlPort] = ports.slice(index * 3, index * 3 + 3) as [number, number, number]
      const process = await this.startStandin(id, 'service', { services: [{ id, port, serviceMs: 8 }] })
      this.services[index] = await this.makeUpstream(id, 'service', this.size.service, index, process, port, proxyPort, controlPort, this.options.proxied?.services === true)
    }))
  }

  private async makeUpstream (id: string, kind: 'engine' | 'service', group: string, index: number, process: ManagedProcess, port: number, proxyPort: number, controlPort: number, isProxied: boolean): Promise<ClusterUpstream> {
    const directUrl = `http://127.0.0.1:${port}`
    const controlUrls: string[] = []
    const url = await this.startProxy(`proxy-${id}`, isProxied, directUrl, proxyPort, controlPort, controlUrls)
    const zone = this.size.zones[index % this.size.zones.length]!
    return { id, directUrl, process, proxyControlUrl: controlUrls[0], vm: { id, kind, group, zone, url, peer: '', state: 'live' } }
  }

  private async publishContracts (): Promise<void> {
    const parsed = parseDeployment(await this.readContracts())
    if (!parsed.ok) throw new Error(`the deployment file is invalid: ${JSON.stringify(parsed.error)}`)
    const documents = listDocuments(parsed.value).map((document) => ({ ...document, base: 0 }))
    await this.waitUntil('the contracts are accepted', async () => {
      const reply = await this.applyDocuments(this.daemons[0]!, 'first-contracts', documents)
      if (reply?.verdict?.verdict === 'rejected') throw new Error(`the contracts were rejected: ${reply.verdict.reason}`)
      return reply?.verdict?.verdict === 'accepted'
    })
  }
}
