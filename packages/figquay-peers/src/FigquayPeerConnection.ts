/** One TCP connection between two daemons: JSON-RPC 2.0, a message a line, both ways. */
import type { Socket } from 'node:net'
import { createInterface } from 'node:readline'
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import { compareSecrets, makeFailure, makeId, makeSuccess, signText, type Clock, type Outcome } from 'figquay'

/** Handles the calls of a peer. */
export type PeerMethods = Readonly<Record<string, (params: never) => unknown>>

/** What a connection needs. */
export interface PeerConnectionOptions {
  readonly socket: Socket
  /** Shared secrets; the first is used, all are accepted. */
  readonly secrets: readonly string[]
  readonly methods: PeerMethods
  readonly clock: Clock
}

interface WireMessage {
  readonly nonce?: string
  readonly proof?: string
  readonly jsonrpc?: string
}

/** Each end writes at least this often, so that silence means a broken connection, in milliseconds. */
const HEARTBEAT_MS = 500
const CALL_TIMEOUT_MS = 1_000
const HANDSHAKE_TIMEOUT_MS = 1_000
/** A connection on which nothing was heard for this long is given up, in milliseconds. */
const SILENCE_LIMIT_MS = 1_500
const LONGEST_LINE_BYTES = 16 * 2 ** 20

/** A connection whose two ends have proved to each other that they know the secret. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient
  private readonly ownNonce = makeId('nonce')
  private lastHeardMs: number
  private authenticated = false
  private receivedBytes = 0
  private wroteSinceHeartbeat = false

  private constructor (private readonly options: PeerConnectionOptions) {
    this.lastHeardMs = options.clock.readMonotonicMs()
    const server = new JSONRPCServer({ errorListener: () => {} })
    for (const [name, method] of Object.entries(options.methods)) server.addMethod(name, method as (params: unknown) => unknown as never)
    this.rpc = new JSONRPCServerAndClient(server, new JSONRPCClient((message) => this.writeMessage(message)), { errorListener: () => {} })
    options.socket.setNoDelay(true)
    options.socket.on('error', () => this.close())
    const heartbeat = setInterval(() => this.writeHeartbeat(), HEARTBEAT_MS)
    options.socket.on('close', () => {
      clearInterval(heartbeat)
      this.rpc.rejectAllPendingRequests('connection closed')
    })
    this.readLines()
    this.writeMessage({ nonce: this.ownNonce })
  }

  /**
   * @example
   * const connection = PeerConnection.create({ socket, secrets, methods, clock })
   */
  static create (options: PeerConnectionOptions): PeerConnection {
    return new PeerConnection(options)
  }

  /** Whether the connection may carry calls. */
  get isUsable (): boolean {
    return this.authenticated && !this.options.socket.destroyed &&
      this.options.clock.readMonotonicMs() - this.lastHeardMs < SILENCE_LIMIT_MS
  }

  /** Bytes sent and received so far. */
  get byteCount (): number {
    return this.options.socket.bytesWritten + this.receivedBytes
  }

  /**
   * Waits until both ends have proved themselves.
   *
   * @example
   * if (!await connection.waitForPeer()) connection.close()
   */
  async waitForPeer (): Promise<boolean> {
    const deadline = this.options.clock.readMonotonicMs() + HANDSHAKE_TIMEOUT_MS
    while (!this.authenticated && !this.options.socket.destroyed && this.options.clock.readMonotonicMs() < deadline) {
      await this.options.clock.waitFor(5)
    }
    return this.authenticated
  }

  /**
   * Calls a method of the peer.
   *
   * @example
   * const status = await connection.callMethod<Status>('status.get', {})
   */
  async callMethod<T> (method: string, params: unknown, timeoutMs = CALL_TIMEOUT_MS): Promise<Outcome<T, string>> {
    if (!this.isUsable) return makeFailure('not connected')
    try {
      return makeSuccess(await this.rpc.timeout(timeoutMs).request(method, params) as T)
    } catch (error) {
      return makeFailure(error instanceof Error ? error.message : String(error))
    }
  }

  /**
   * Sends a notice that wants no answer.
   *
   * @example
   * connection.sendNotice('hints.put', hints)
   */
  sendNotice (method: string, params: unknown): void {
    if (this.isUsable) this.rpc.notify(method, params)
  }

  /** Ends the connection at once. */
  close (): void {
    this.options.socket.destroy()
  }

  private writeMessage (message: unknown): void {
    if (this.options.socket.destroyed) return
    this.wroteSinceHeartbeat = true
    this.options.socket.write(JSON.stringify(message) + '\n')
  }

  /** Says that this end is alive when nothing else did, and gives up a silent peer. */
  private writeHeartbeat (): void {
    if (this.options.clock.readMonotonicMs() - this.lastHeardMs > SILENCE_LIMIT_MS) this.close()
    if (!this.wroteSinceHeartbeat) this.writeMessage({})
    this.wroteSinceHeartbeat = false
  }

  private readLines (): void {
    const { socket } = this.options
    let unfinished = 0
    socket.on('data', (chunk: Buffer) => {
      this.lastHeardMs = this.options.clock.readMonotonicMs()
      this.receivedBytes += chunk.length
      const lineEnd = chunk.lastIndexOf(10)
      unfinished = lineEnd < 0 ? unfinished + chunk.length : chunk.length - lineEnd
      if (unfinished > LONGEST_LINE_BYTES) this.close()
    })
    const lines = createInterface({ input: socket, crlfDelay: Infinity })
    lines.on('line', (line) => this.takeLine(line))
    lines.on('error', () => this.close())
  }

  private takeLine (line: string): void {
    let message: WireMessage
    try {
      message = JSON.parse(line) as WireMessage
    } catch {
      this.close()
      return
    }
    if (message?.nonce !== undefined) this.writeMessage({ proof: signText(this.options.secrets[0]!, message.nonce) })
    else if (message?.proof !== undefined) this.checkProof(message.proof)
    else if (this.authenticated && message?.jsonrpc === '2.0') this.rpc.receiveAndSend(message as never)
    else if (message === null || Object.keys(message).length > 0) this.close()
  }

  private checkProof (proof: string): void {
    this.authenticated = this.options.secrets.some((secret) => compareSecrets(signText(secret, this.ownNonce), proof))
    if (!this.authenticated) this.close()
  }
}
