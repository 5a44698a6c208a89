/** Stand-in for the connections between daemons: each daemon has one link of limited bandwidth, which its connections share. */
import { makeFailure, makeSuccess, type Outcome } from 'figquay'
import type { PeerAddress, PeerMeshOptions } from 'figquay-peers'
import type { ServingMesh } from '../../index.js'
import type { SimulatedClock } from './SimulatedClock.js'

/** Bytes of one connection that a link carries before it turns to the next connection. */
const SEGMENT_BYTES = 8_192
const DEFAULT_CALL_TIMEOUT_MS = 1_000
/** A connection counts as broken after this time without a byte from the peer, in milliseconds, as in `PeerConnection`. */
const SILENCE_TIMEOUT_MS = 1_500
const UNREACHABLE = 'peer is not connected'

/** What becomes of a call instead of being carried out, or before its response arrives. */
export type CallFault =
  /** The connection is closed under it after a moment. */
  | { readonly type: 'closed' }
  /** The response is late by this time. */
  | { readonly type: 'late', readonly delayMs: number }

/** Chooses the fault of a call; undefined for none. */
export type ChooseCallFault = (from: string, to: string, method: string) => CallFault | undefined

/** Fields of messages, and notifications, that daemons of the release before neither send nor know. */
const NEW_FIELDS = ['configurationVersions', 'processors', 'daemonsDigest']

/** Time after which a call finds that its connection is closed, in milliseconds. */
const CLOSE_MS = 100

interface Transfer {
  remainingBytes: number
  readonly finish: () => void
}

/** Outgoing link of one daemon; its connections take turns. */
class SimulatedLink {
  private readonly queues = new Map<string, Transfer[]>()
  private isSending = false
  sentBytes = 0
  readonly bytesByPeer = new Map<string, number>()

  constructor (private readonly clock: SimulatedClock, private readonly bytesPerMs: number) {}

  /** Resolves once the bytes have left the link. Bytes of abandoned calls are sent all the same. */
  send (connection: string, bytes: number): Promise<void> {
    return new Promise((resolve) => {
      const queue = this.queues.get(connection) ?? []
      queue.push({ remainingBytes: bytes, finish: resolve })
      this.queues.set(connection, queue)
      if (!this.isSending) this.sendSegments().catch((error: unknown) => process.stderr.write(`${String(error)}\n`))
    })
  }

  private async sendSegments (): Promise<void> {
    this.isSending = true
    while (this.queues.size > 0) {
      for (const [connection, transfers] of [...this.queues]) {
        const transfer = transfers[0]!
        const segment = Math.min(SEGMENT_BYTES, transfer.remainingBytes)
        await this.clock.waitFor(segment / this.bytesPerMs)
        this.sentBytes += segment
        this.bytesByPeer.set(connection, (this.bytesByPeer.get(connection) ?? 0) + segment)
        transfer.remainingBytes -= segment
        if (transfer.remainingBytes > 0) continue
        transfers.shift()
        if (transfers.length === 0) this.queues.delete(connection)
        transfer.finish()
      }
    }
    this.isSending = false
  }
}

/** All daemons' links, and their request handlers. */
export class SimulatedNetwork {
  private readonly links = new Map<string, SimulatedLink>()
  private readonly handlers = new Map<string, PeerMeshOptions['methods']>()
  /** Time at which each suspended daemon stopped sending and receiving. */
  private readonly suspendedAtMs = new Map<string, number>()
  private chooseFault: ChooseCallFault = () => undefined
  private isPreviousRelease: (id: string) => boolean = () => false

  private constructor (private readonly clock: SimulatedClock, private readonly findBytesPerMs: (id: string) => number, private readonly latencyMs: number) {}

  /**
   * @example
   * const network = SimulatedNetwork.create(clock, { findBytesPerMs: () => 875, latencyMs: 1 })
   */
  static create (clock: SimulatedClock, { findBytesPerMs, latencyMs }: { readonly findBytesPerMs: (id: string) => number, readonly latencyMs: number }): SimulatedNetwork {
    return new SimulatedNetwork(clock, findBytesPerMs, latencyMs)
  }

  /** Suspends a daemon's process: it neither sends nor receives any more. */
  suspendDaemon (id: string): void {
    this.suspendedAtMs.set(id, this.clock.readMonotonicMs())
  }

  /** Has calls between daemons fail, or be answered late, from now on. */
  setCallFaults (chooseFault: ChooseCallFault): void {
    this.chooseFault = chooseFault
  }

  /** Makes daemons speak as those of the release before. */
  setPreviousRelease (isPreviousRelease: (id: string) => boolean): void {
    this.isPreviousRelease = isPreviousRelease
  }

  private encodeMessage (from: string, to: string, message: unknown): string {
    const isFieldKept = this.isPreviousRelease(from) || this.isPreviousRelease(to) ? (key: string) => !NEW_FIELDS.includes(key) : () => true
    return JSON.stringify(message, (key, value: unknown) => isFieldKept(key) ? value : undefined) ?? 'null'
  }

  isSuspended (id: string): boolean {
    return this.suspendedAtMs.has(id)
  }

  /** Bytes that a daemon has sent to its peers. */
  countSentBytes (id: string): number {
    return this.links.get(id)?.sentBytes ?? 0
  }

  /** Bytes that have been sent between selected pairs of daemons. */
  countBytes (isSelected: (from: string, to: string) => boolean): number {
    return [...this.links].reduce((sum, [from, link]) => sum + [...link.bytesByPeer].reduce((bytes, [to, sent]) => bytes + (isSelected(from, to) ? sent : 0), 0), 0)
  }

  /** Connects a daemon to the network. */
  createMesh (options: PeerMeshOptions): ServingMesh {
    const self = options.self.id
    this.links.set(self, new SimulatedLink(this.clock, this.findBytesPerMs(self)))
    this.handlers.set(self, options.methods)
    let neighbours: readonly PeerAddress[] = []
    const isSilent = (id: string): boolean => this.clock.readMonotonicMs() - (this.suspendedAtMs.get(id) ?? Number.POSITIVE_INFINITY) > SILENCE_TIMEOUT_MS
    const isConnected = (id: string): boolean => this.handlers.has(id) && !isSilent(id) && !isSilent(self)
    const notifyPeer = (id: string, method: string, params: unknown): void => {
      if (isConnected(id)) this.deliver(self, id, method, params).catch(() => {})
    }
    return {
      get connectedPeers () {
        return neighbours.map(({ id }) => id).filter(isConnected)
      },
      isConnected: (id) => neighbours.some((peer) => peer.id === id) && isConnected(id),
      callPeer: (id, method, params, timeoutMs = DEFAULT_CALL_TIMEOUT_MS) => this.call(self, id, method, params, timeoutMs),
      notifyPeer,
      notifyNeighbours: (method, params) => {
        for (const { id } of neighbours) notifyPeer(id, method, params)
      },
      setDaemons: (daemons, _tasks, wanted) => {
        neighbours = wanted ?? daemons
      },
      listen: async () => {},
      close: () => {
        this.handlers.delete(self)
      }
    }
  }

  private async call<T> (from: string, to: string, method: string, params: unknown, timeoutMs: number): Promise<Outcome<T, string>> {
    const fault = this.chooseFault(from, to, method)
    const exchange = async (): Promise<Outcome<T, string>> => {
      if (fault?.type === 'closed') {
        await this.clock.waitFor(CLOSE_MS)
        return makeFailure('peer connection closed')
      }
      const result = await this.deliver(from, to, method, params)
      const text = this.encodeMessage(to, from, result)
      await this.links.get(to)!.send(from, text.length)
      await this.clock.waitFor(this.latencyMs + (fault?.type === 'late' ? fault.delayMs : 0))
      return makeSuccess(JSON.parse(text) as T)
    }
    const failLate = async (): Promise<Outcome<T, string>> => {
      await this.clock.waitFor(timeoutMs)
      return makeFailure('Request timeout')
    }
    return await Promise.race([exchange().catch((error: unknown) => makeFailure(String(error))), failLate()])
  }

  /** Sends a message and runs its handler once it has arrived; a suspended daemon never handles it. */
  private async deliver (from: string, to: string, method: string, params: unknown): Promise<unknown> {
    const text = this.encodeMessage(from, to, params)
    await this.links.get(from)!.send(to, text.length)
    await this.clock.waitFor(this.latencyMs)
    if (!this.handlers.has(to)) throw new Error(UNREACHABLE)
    if (this.isSuspended(to) || this.isSuspended(from)) await new Promise<never>(() => {})
    const handler = this.handlers.get(to)![method] as ((params: unknown) => unknown) | undefined
    return await handler?.(JSON.parse(text))
  }
}
