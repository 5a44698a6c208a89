/** Connections to neighbour daemons: one task for each, reconnecting for as long as the roster lists it. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { hashText, makeFailure, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { PeerConnection, type PeerMethods } from './FigquayPeerConnection.js'

/** A daemon that may be a neighbour. */
export interface PeerAddress {
  readonly id: string
  readonly zone: string
  /** `ip:port`. */
  readonly address: string
}

/** What the mesh needs. */
export interface PeerMeshOptions {
  readonly self: PeerAddress
  readonly secrets: readonly string[]
  readonly methods: PeerMethods
  readonly clock: Clock
  readonly logger: Logger
}

/** Up to this many daemons everybody is everybody's neighbour. */
const FULL_MESH_LIMIT = 16
/** Daemons of one data centre are told of the runners there by those that watch them. */
const NEIGHBOURS_IN_ZONE = 15
const NEIGHBOURS_ELSEWHERE = 2
const RECONNECT_PAUSE_MS = 200
const CONNECT_TIMEOUT_MS = 1_000
/** A connection to a daemon that is no neighbour is kept for this long after its last use, in milliseconds. */
const ON_DEMAND_IDLE_MS = 30_000
const ON_DEMAND_POLL_MS = 5
const CALL_TIMEOUT_MS = 1_000

/** The next daemons after oneself on a ring ordered by hash. */
function takeSuccessors (self: PeerAddress, others: readonly PeerAddress[], count: number): PeerAddress[] {
  const own = hashText(self.id)
  const ranked = others.map((peer) => ({ peer, place: hashText(peer.id) })).sort((a, b) => a.place < b.place ? -1 : 1)
  const after = ranked.filter((entry) => entry.place > own)
  const before = ranked.filter((entry) => entry.place <= own)
  return [...after, ...before].slice(0, count).map((entry) => entry.peer)
}

/**
 * Chooses whom a daemon connects to: all when they are few, else some of its own data centre and some beyond.
 *
 * @example
 * selectNeighbours(self, daemons).length // bounded, however many daemons there are
 */
export function selectNeighbours (self: PeerAddress, daemons: readonly PeerAddress[]): PeerAddress[] {
  const others = daemons.filter((peer) => peer.id !== self.id)
  if (others.length < FULL_MESH_LIMIT) return others
  const near = others.filter((peer) => peer.zone === self.zone)
  const far = others.filter((peer) => peer.zone !== self.zone)
  return [...takeSuccessors(self, near, NEIGHBOURS_IN_ZONE), ...takeSuccessors(self, far, NEIGHBOURS_ELSEWHERE)]
}

/** The connections of one daemon. */
export class PeerMesh {
  private readonly outgoing = new Map<string, PeerConnection>()
  private readonly incoming = new Set<PeerConnection>()
  /** Neighbours. */
  private readonly addresses = new Map<string, PeerAddress>()
  /** All daemons, neighbours or not. */
  private known: ReadonlyMap<string, PeerAddress> = new Map()
  private readonly usedAtMs = new Map<string, number>()
  private readonly openedOnDemand = new Set<string>()
  private tasks: TaskGroup | undefined
  private server: Server | undefined
  private closedBytes = 0

  private constructor (private readonly options: PeerMeshOptions) {}

  /**
   * @example
   * const mesh = PeerMesh.create({ self, secrets, methods, clock, logger })
   */
  static create (options: PeerMeshOptions): PeerMesh {
    return new PeerMesh(options)
  }

  /** Ids of the peers that can be called now. */
  get connectedPeers (): string[] {
    return [...this.outgoing].filter(([, connection]) => connection.isUsable).map(([id]) => id)
  }

  /** Whether a daemon can be called now. */
  isConnected (id: string): boolean {
    return this.outgoing.get(id)?.isUsable === true
  }

  /** Bytes carried over all connections so far, both ways. */
  get byteCount (): number {
    const open = [...this.outgoing.values(), ...this.incoming]
    return open.reduce((sum, connection) => sum + connection.byteCount, this.closedBytes)
  }

  /**
   * Listens for peers.
   *
   * @example
   * await mesh.listen('127.0.0.1', 7200)
   */
  listen (host: string, port: number): Promise<void> {
    this.server = createServer((socket) => this.acceptSocket(socket))
    return new Promise((resolve, reject) => {
      this.server!.once('error', reject)
      this.server!.listen(port, host, () => resolve())
    })
  }

  /**
   * Replaces the set of daemons; new neighbours get a task, those gone are dropped.
   *
   * @param neighbours Daemons to stay connected to.
   * @example
   * mesh.setDaemons(daemons, tasks)
   */
  setDaemons (daemons: readonly PeerAddress[], tasks: TaskGroup, neighbours = selectNeighbours(this.options.self, daemons)): void {
    this.tasks = tasks
    this.known = new Map(daemons.filter((peer) => peer.id !== this.options.self.id).map((peer) => [peer.id, peer]))
    this.setNeighbours(neighbours, tasks)
  }

  private setNeighbours (neighbours: readonly PeerAddress[], tasks: TaskGroup): void {
    const wanted = new Map(neighbours.map((peer) => [peer.id, peer]))
    for (const id of [...this.addresses.keys()]) {
      if (wanted.get(id)?.address === this.addresses.get(id)?.address) continue
      this.addresses.delete(id)
      this.outgoing.get(id)?.close()
    }
    for (const peer of neighbours) {
      if (this.addresses.has(peer.id)) continue
      this.addresses.set(peer.id, peer)
      tasks.startTask(`peer ${peer.id}`, (signal) => this.servePeer(peer, signal))
    }
  }

  /**
   * Calls one daemon; a connection is opened if it is no neighbour.
   *
   * @example
   * await mesh.callPeer<LogRecord[]>('daemon-2', 'log.read', { stream: 'config', from: 12 })
   */
  async callPeer<T> (id: string, method: string, params: unknown, timeoutMs = CALL_TIMEOUT_MS): Promise<Outcome<T, string>> {
    const connection = this.outgoing.get(id) ?? await this.connectOnDemand(id, timeoutMs)
    if (connection === undefined) return makeFailure('not connected')
    this.usedAtMs.set(id, this.options.clock.readMonotonicMs())
    return await connection.callMethod<T>(method, params, timeoutMs)
  }

  /**
   * Sends a notice to one daemon, if there is a connection.
   *
   * @example
   * mesh.sendTo('daemon-2', 'suspect.return', { runner, requestId })
   */
  sendTo (id: string, method: string, params: unknown): void {
    this.outgoing.get(id)?.sendNotice(method, params)
  }

  /**
   * Sends a notice to every neighbour.
   *
   * @example
   * mesh.sendToAll('hints.put', hints)
   */
  sendToAll (method: string, params: unknown): void {
    for (const id of this.addresses.keys()) this.outgoing.get(id)?.sendNotice(method, params)
  }

  /** Stops listening and ends every connection. */
  close (): void {
    this.server?.close()
    for (const connection of [...this.outgoing.values(), ...this.incoming]) connection.close()
  }

  private makeConnection (socket: Socket): PeerConnection {
    const { secrets, methods, clock } = this.options
    return PeerConnection.create({ socket, secrets, methods, clock })
  }

  private acceptSocket (socket: Socket): void {
    const connection = this.makeConnection(socket)
    this.incoming.add(connection)
    socket.once('close', () => {
      this.incoming.delete(connection)
      this.closedBytes += connection.byteCount
    })
  }

  /** Opens a connection to a daemon that is no neighbour; undefined when it is not there in time. */
  private async connectOnDemand (id: string, timeoutMs: number): Promise<PeerConnection | undefined> {
    const peer = this.known.get(id)
    const { clock } = this.options
    // The task of a neighbour connects again by itself.
    if (peer === undefined || this.addresses.has(id)) return undefined
    this.usedAtMs.set(id, clock.readMonotonicMs())
    if (!this.openedOnDemand.has(id)) {
      this.openedOnDemand.add(id)
      this.tasks?.startTask(`peer ${id} on demand`, (signal) => this.serveOnDemand(peer, signal))
    }
    const deadline = clock.readMonotonicMs() + timeoutMs
    while (!this.outgoing.has(id) && clock.readMonotonicMs() < deadline) await clock.waitFor(ON_DEMAND_POLL_MS)
    return this.outgoing.get(id)
  }

  /** Keeps a connection for as long as it is used. */
  private async serveOnDemand (peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const ended = new AbortController()
    signal.addEventListener('abort', () => ended.abort(), { once: true })
    const idle = setInterval(() => {
      if (this.options.clock.readMonotonicMs() - this.usedAtMs.get(peer.id)! > ON_DEMAND_IDLE_MS) ended.abort()
    }, ON_DEMAND_IDLE_MS / 2)
    await this.holdConnection(peer, ended.signal)
    clearInterval(idle)
    this.openedOnDemand.delete(peer.id)
  }

  /** Keeps one connection to one peer until it is no longer wanted. */
  private async servePeer (peer: PeerAddress, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.addresses.get(peer.id) === peer) {
      await this.holdConnection(peer, signal)
      await this.options.clock.waitFor(RECONNECT_PAUSE_MS, signal)
    }
  }

  private async holdConnection (peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const socket = await this.openSocket(peer.address)
    if (socket === undefined) return
    const connection = this.makeConnection(socket)
    const stop = (): void => connection.close()
    signal.addEventListener('abort', stop, { once: true })
    const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
    if (await connection.waitForPeer()) {
      this.options.logger.debug('peer connected', { peer: peer.id })
      this.outgoing.set(peer.id, connection)
    } else connection.close()
    if (!socket.destroyed) await closed
    signal.removeEventListener('abort', stop)
    if (this.outgoing.get(peer.id) === connection) this.outgoing.delete(peer.id)
    this.closedBytes += connection.byteCount
  }

  private openSocket (address: string): Promise<Socket | undefined> {
    const [host, port] = address.split(':')
    return new Promise((resolve) => {
      const socket = connect({ host: host!, port: Number(port) })
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy())
      socket.once('connect', () => {
        socket.setTimeout(0)
        resolve(socket)
      })
      socket.once('error', () => resolve(undefined))
      socket.once('close', () => resolve(undefined))
    })
  }
}
