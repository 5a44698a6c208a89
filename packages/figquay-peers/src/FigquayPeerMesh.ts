/** Connections between daemons: each neighbour has a task that reconnects; other peers are connected on demand. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { hashText, makeFailure, type Clock, type Logger, type Outcome, type TaskGroup } from 'figquay'
import { PeerConnection, type PeerMethods } from './FigquayPeerConnection.js'

/** Identity, data centre and address of a daemon. */
export interface PeerAddress {
  readonly id: string
  readonly zone: string
  /** `ip:port`. */
  readonly address: string
}

/** Dependencies and settings of a mesh. */
export interface PeerMeshOptions {
  readonly self: PeerAddress
  readonly secrets: readonly string[]
  readonly methods: PeerMethods
  readonly clock: Clock
  readonly logger: Logger
}

/** Up to this many daemons form a full mesh; larger sets are connected partially. */
const FULL_MESH_MAX_DAEMONS = 16
/** Most neighbours are in the own data centre, because its daemons share the reports of its runners. */
const NEIGHBOURS_IN_ZONE = 15
const NEIGHBOURS_IN_OTHER_ZONES = 2
const RECONNECT_DELAY_MS = 200
const CONNECT_TIMEOUT_MS = 1_000
/** A connection to a peer that is not a neighbour is closed when it has not been used for this long. */
const ON_DEMAND_IDLE_TIMEOUT_MS = 30_000
const ON_DEMAND_POLL_INTERVAL_MS = 5
const CALL_TIMEOUT_MS = 1_000

/** Selects the daemons that follow `self` on a hash ring of their ids. */
function selectSuccessors (self: PeerAddress, others: readonly PeerAddress[], count: number): PeerAddress[] {
  const selfHash = hashText(self.id)
  const ring = others.map((peer) => ({ peer, hash: hashText(peer.id) })).sort((a, b) => a.hash < b.hash ? -1 : 1)
  const after = ring.filter((entry) => entry.hash > selfHash)
  const before = ring.filter((entry) => entry.hash <= selfHash)
  return [...after, ...before].slice(0, count).map((entry) => entry.peer)
}

/**
 * Selects the neighbours of a daemon: all daemons if there are few, otherwise some of its own data centre and some of others.
 *
 * @example
 * selectNeighbours(self, daemons).length // bounded for any number of daemons
 */
export function selectNeighbours (self: PeerAddress, daemons: readonly PeerAddress[]): PeerAddress[] {
  const others = daemons.filter((peer) => peer.id !== self.id)
  if (others.length < FULL_MESH_MAX_DAEMONS) return others
  const sameZone = others.filter((peer) => peer.zone === self.zone)
  const otherZones = others.filter((peer) => peer.zone !== self.zone)
  return [...selectSuccessors(self, sameZone, NEIGHBOURS_IN_ZONE), ...selectSuccessors(self, otherZones, NEIGHBOURS_IN_OTHER_ZONES)]
}

/** Connections of one daemon to its peers. */
export class PeerMesh {
  private readonly outgoing = new Map<string, PeerConnection>()
  private readonly incoming = new Set<PeerConnection>()
  /** Peers with a permanent connection. */
  private readonly neighbours = new Map<string, PeerAddress>()
  /** All other daemons, neighbours or not. */
  private daemonsById: ReadonlyMap<string, PeerAddress> = new Map()
  private readonly lastUsedAtMs = new Map<string, number>()
  private readonly onDemandPeers = new Set<string>()
  private tasks: TaskGroup | undefined
  private server: Server | undefined
  private closedConnectionBytes = 0

  private constructor (private readonly options: PeerMeshOptions) {}

  /**
   * @example
   * const mesh = PeerMesh.create({ self, secrets, methods, clock, logger })
   */
  static create (options: PeerMeshOptions): PeerMesh {
    return new PeerMesh(options)
  }

  /** Ids of the peers with a usable connection. */
  get connectedPeers (): string[] {
    return [...this.outgoing].filter(([, connection]) => connection.isUsable).map(([id]) => id)
  }

  /** Whether there is a usable connection to a daemon. */
  isConnected (id: string): boolean {
    return this.outgoing.get(id)?.isUsable === true
  }

  /** Total bytes sent and received on all connections, including closed ones. */
  get byteCount (): number {
    const openConnections = [...this.outgoing.values(), ...this.incoming]
    return openConnections.reduce((sum, connection) => sum + connection.byteCount, this.closedConnectionBytes)
  }

  /**
   * Accepts connections from peers.
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
   * Replaces the set of daemons: starts a connection task for each new neighbour and disconnects removed ones.
   *
   * @param neighbours Daemons to keep connected.
   * @example
   * mesh.setDaemons(daemons, tasks)
   */
  setDaemons (daemons: readonly PeerAddress[], tasks: TaskGroup, neighbours = selectNeighbours(this.options.self, daemons)): void {
    this.tasks = tasks
    this.daemonsById = new Map(daemons.filter((peer) => peer.id !== this.options.self.id).map((peer) => [peer.id, peer]))
    this.setNeighbours(neighbours, tasks)
  }

  private setNeighbours (neighbours: readonly PeerAddress[], tasks: TaskGroup): void {
    const wantedById = new Map(neighbours.map((peer) => [peer.id, peer]))
    for (const id of [...this.neighbours.keys()]) {
      if (wantedById.get(id)?.address === this.neighbours.get(id)?.address) continue
      this.neighbours.delete(id)
      this.outgoing.get(id)?.close()
    }
    for (const peer of neighbours) {
      if (this.neighbours.has(peer.id)) continue
      this.neighbours.set(peer.id, peer)
      tasks.startTask(`peer ${peer.id}`, (signal) => this.maintainNeighbour(peer, signal))
    }
  }

  /**
   * Calls a method of one daemon. A connection is opened on demand if the daemon is not a neighbour.
   *
   * @example
   * await mesh.callPeer<LogRecord[]>('daemon-2', 'log.read', { stream: 'config', from: 12 })
   */
  async callPeer<T> (id: string, method: string, params: unknown, timeoutMs = CALL_TIMEOUT_MS): Promise<Outcome<T, string>> {
    const connection = this.outgoing.get(id) ?? await this.connectOnDemand(id, timeoutMs)
    if (connection === undefined) return makeFailure('peer is not connected')
    this.lastUsedAtMs.set(id, this.options.clock.readMonotonicMs())
    return await connection.callMethod<T>(method, params, timeoutMs)
  }

  /**
   * Sends a notification to one daemon; it is dropped if there is no connection.
   *
   * @example
   * mesh.notifyPeer('daemon-2', 'suspect.return', { runner, requestId })
   */
  notifyPeer (id: string, method: string, params: unknown): void {
    this.outgoing.get(id)?.sendNotification(method, params)
  }

  /**
   * Sends a notification to every connected neighbour.
   *
   * @example
   * mesh.notifyNeighbours('hints.put', hints)
   */
  notifyNeighbours (method: string, params: unknown): void {
    for (const id of this.neighbours.keys()) this.outgoing.get(id)?.sendNotification(method, params)
  }

  /** Stops listening and closes every connection. */
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
      this.closedConnectionBytes += connection.byteCount
    })
  }

  /** Connects to a daemon that is not a neighbour; undefined if the connection is not ready before the timeout. */
  private async connectOnDemand (id: string, timeoutMs: number): Promise<PeerConnection | undefined> {
    const peer = this.daemonsById.get(id)
    const { clock } = this.options
    // The task of a neighbour reconnects on its own.
    if (peer === undefined || this.neighbours.has(id)) return undefined
    this.lastUsedAtMs.set(id, clock.readMonotonicMs())
    if (!this.onDemandPeers.has(id)) {
      this.onDemandPeers.add(id)
      this.tasks?.startTask(`peer ${id} on demand`, (signal) => this.runOnDemandConnection(peer, signal))
    }
    const deadline = clock.readMonotonicMs() + timeoutMs
    while (!this.outgoing.has(id) && clock.readMonotonicMs() < deadline) await clock.waitFor(ON_DEMAND_POLL_INTERVAL_MS)
    return this.outgoing.get(id)
  }

  /** Keeps a connection open until it has been idle for too long. */
  private async runOnDemandConnection (peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const connectionEnd = new AbortController()
    if (signal.aborted) connectionEnd.abort()
    signal.addEventListener('abort', () => connectionEnd.abort(), { once: true })
    const idleTimer = setInterval(() => {
      if (this.options.clock.readMonotonicMs() - this.lastUsedAtMs.get(peer.id)! > ON_DEMAND_IDLE_TIMEOUT_MS) connectionEnd.abort()
    }, ON_DEMAND_IDLE_TIMEOUT_MS / 2)
    await this.runConnection(peer, connectionEnd.signal)
    clearInterval(idleTimer)
    this.onDemandPeers.delete(peer.id)
  }

  /** Reconnects to a neighbour until it is removed. */
  private async maintainNeighbour (peer: PeerAddress, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.neighbours.get(peer.id) === peer) {
      await this.runConnection(peer, signal)
      await this.options.clock.waitFor(RECONNECT_DELAY_MS, signal)
    }
  }

  /** Connects to a peer and returns once the connection has closed. */
  private async runConnection (peer: PeerAddress, signal: AbortSignal): Promise<void> {
    const socket = await this.openSocket(peer.address)
    if (socket === undefined) return
    // The mesh may have been closed meanwhile; nobody would close this connection, and the peer keeps it alive.
    if (signal.aborted) {
      socket.destroy()
      return
    }
    const connection = this.makeConnection(socket)
    const openedAtMs = this.options.clock.readMonotonicMs()
    const closeConnection = (): void => connection.close()
    signal.addEventListener('abort', closeConnection, { once: true })
    const closed = new Promise<void>((resolve) => socket.once('close', () => resolve()))
    if (await connection.waitForHandshake()) {
      this.options.logger.debug('peer connected', { peer: peer.id })
      this.outgoing.set(peer.id, connection)
    } else connection.close()
    if (!socket.destroyed) await closed
    signal.removeEventListener('abort', closeConnection)
    if (this.outgoing.get(peer.id) === connection) this.outgoing.delete(peer.id)
    this.closedConnectionBytes += connection.byteCount
    this.logClose(peer, connection, this.options.clock.readMonotonicMs() - openedAtMs)
  }

  /** A close that ends calls in progress costs those who wait for them; others are of interest only when connections are debugged. */
  private logClose (peer: PeerAddress, { closeCause, cutOffCallCount }: PeerConnection, openForMs: number): void {
    const fields = { peer: peer.id, cause: closeCause, calls: cutOffCallCount, openForMs: Math.round(openForMs) }
    if (cutOffCallCount > 0) this.options.logger.info('connection to a peer closed during calls', fields)
    else this.options.logger.debug('connection to a peer closed', fields)
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
