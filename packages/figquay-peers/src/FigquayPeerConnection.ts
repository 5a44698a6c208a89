/** TCP connection between two daemons: bidirectional JSON-RPC 2.0 with one message per line. */
import type { Socket } from 'node:net'
import { createInterface } from 'node:readline'
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import { compareSecrets, makeFailure, makeId, makeSuccess, signText, startTimer, type Clock, type Outcome, type Timer } from 'figquay'

/** JSON-RPC method handlers, by method name. */
export type PeerMethods = Readonly<Record<string, (params: never) => unknown>>

/** Dependencies and settings of a connection. */
export interface PeerConnectionOptions {
  readonly socket: Socket
  /** Shared secrets: proofs are signed with the first and accepted with any. */
  readonly secrets: readonly string[]
  readonly methods: PeerMethods
  readonly clock: Clock
}

/**
 * Why a connection was closed: by this end as nobody needs it or the daemon stops (`unneeded`), as the peer was silent or sent
 * what can't be read, as the socket failed, or by the other end.
 */
export type PeerCloseCause = 'unneeded' | 'silent' | 'malformed' | 'failed' | 'peer'

interface WireMessage {
  readonly nonce?: string
  readonly proof?: string
  readonly jsonrpc?: string
}

/** Each end writes at least once per interval, so that silence indicates a broken connection. */
const HEARTBEAT_INTERVAL_MS = 500
const CALL_TIMEOUT_MS = 1_000
/** A call that has timed out is forgotten after this time, in milliseconds; until then, its reply is recognised and dropped. */
const FORGET_CALL_MS = 60_000
const HANDSHAKE_TIMEOUT_MS = 1_000
/** A connection is closed when nothing has been received for this long. */
const HEARTBEAT_TIMEOUT_MS = 1_500
/** Longer lines close the connection, to bound memory. */
const MAX_LINE_BYTES = 16 * 2 ** 20

/** Connection to a peer; each end authenticates the other by challenge and response with a shared secret. */
export class PeerConnection {
  private readonly rpc: JSONRPCServerAndClient
  private readonly localNonce = makeId('nonce')
  private lastReceivedAtMs: number
  private isAuthenticated = false
  private receivedBytes = 0
  private hasWrittenSinceHeartbeat = false
  private firstCloseCause: PeerCloseCause | undefined
  private openCalls = 0
  /** Calls that were in progress when the connection was closed. */
  private callsCutOff = 0

  private constructor (private readonly options: PeerConnectionOptions) {
    this.lastReceivedAtMs = options.clock.readMonotonicMs()
    const server = new JSONRPCServer({ errorListener: () => {} })
    for (const [name, method] of Object.entries(options.methods)) server.addMethod(name, method as (params: unknown) => unknown as never)
    this.rpc = new JSONRPCServerAndClient(server, new JSONRPCClient((message) => this.writeMessage(message)), { errorListener: () => {} })
    options.socket.setNoDelay(true)
    options.socket.on('error', () => this.close('failed'))
    const heartbeat = setInterval(() => this.runHeartbeat(), HEARTBEAT_INTERVAL_MS)
    options.socket.on('close', () => {
      clearInterval(heartbeat)
      this.callsCutOff = this.openCalls
      this.rpc.rejectAllPendingRequests('peer connection closed')
    })
    this.readLines()
    this.writeMessage({ nonce: this.localNonce })
  }

  /**
   * @example
   * const connection = PeerConnection.create({ socket, secrets, methods, clock })
   */
  static create (options: PeerConnectionOptions): PeerConnection {
    return new PeerConnection(options)
  }

  /** Whether calls can be sent: the peer is authenticated and has been heard from recently. */
  get isUsable (): boolean {
    return this.isAuthenticated && !this.options.socket.destroyed &&
      this.options.clock.readMonotonicMs() - this.lastReceivedAtMs < HEARTBEAT_TIMEOUT_MS
  }

  /** Why the connection was closed; meaningless before. */
  get closeCause (): PeerCloseCause {
    return this.firstCloseCause ?? 'peer'
  }

  /** Number of this end's calls that the close has ended. */
  get cutOffCallCount (): number {
    return this.callsCutOff
  }

  /** Total bytes sent and received. */
  get byteCount (): number {
    return this.options.socket.bytesWritten + this.receivedBytes
  }

  /**
   * Waits until the peer is authenticated; returns false on a timeout or when the connection closes.
   *
   * @example
   * if (!await connection.waitForHandshake()) connection.close()
   */
  async waitForHandshake (): Promise<boolean> {
    const deadline = this.options.clock.readMonotonicMs() + HANDSHAKE_TIMEOUT_MS
    while (!this.isAuthenticated && !this.options.socket.destroyed && this.options.clock.readMonotonicMs() < deadline) {
      await this.options.clock.waitFor(5)
    }
    return this.isAuthenticated
  }

  /**
   * Calls a method of the peer and waits for the result.
   *
   * @example
   * const status = await connection.callMethod<Status>('status.get', {})
   */
  async callMethod<T> (method: string, params: unknown, timeoutMs = CALL_TIMEOUT_MS): Promise<Outcome<T, string>> {
    if (!this.isUsable) return makeFailure('peer is not connected')
    const reply = this.awaitReply<T>(this.rpc.timeout(FORGET_CALL_MS).request(method, params))
    let timer: Timer | undefined
    const timeout = new Promise<Outcome<T, string>>((resolve) => {
      timer = startTimer(() => resolve(makeFailure('Request timeout')), timeoutMs)
    })
    this.openCalls += 1
    const outcome = await Promise.race([reply, timeout])
    this.openCalls -= 1
    timer?.cancel()
    return outcome
  }

  private async awaitReply<T> (reply: PromiseLike<unknown>): Promise<Outcome<T, string>> {
    try {
      return makeSuccess(await reply as T)
    } catch (error) {
      return makeFailure(error instanceof Error ? error.message : String(error))
    }
  }

  /**
   * Sends a JSON-RPC notification, which has no reply; it is dropped if the connection is not usable.
   *
   * @example
   * connection.sendNotification('hints.put', hints)
   */
  sendNotification (method: string, params: unknown): void {
    if (this.isUsable) this.rpc.notify(method, params)
  }

  /** Closes the connection immediately; pending calls fail. */
  close (cause: Exclude<PeerCloseCause, 'peer'> = 'unneeded'): void {
    if (!this.options.socket.destroyed) this.firstCloseCause ??= cause
    this.options.socket.destroy()
  }

  private writeMessage (message: unknown): void {
    if (this.options.socket.destroyed) return
    this.hasWrittenSinceHeartbeat = true
    this.options.socket.write(JSON.stringify(message) + '\n')
  }

  /** Writes a heartbeat unless something else was written, and closes the connection to a silent peer. */
  private runHeartbeat (): void {
    const { lastReceivedAtMs } = this
    const isSilent = this.options.clock.readMonotonicMs() - lastReceivedAtMs > HEARTBEAT_TIMEOUT_MS
    // If this process was held up, what the peer has sent is still in the socket, which is read before the check.
    if (isSilent) setImmediate(() => this.closeUnlessHeardSince(lastReceivedAtMs))
    if (!this.hasWrittenSinceHeartbeat) this.writeMessage({})
    this.hasWrittenSinceHeartbeat = false
  }

  private closeUnlessHeardSince (atMs: number): void {
    if (this.lastReceivedAtMs === atMs) this.close('silent')
  }

  private readLines (): void {
    const { socket } = this.options
    let partialLineBytes = 0
    socket.on('data', (chunk: Buffer) => {
      this.lastReceivedAtMs = this.options.clock.readMonotonicMs()
      this.receivedBytes += chunk.length
      const lineEnd = chunk.lastIndexOf(10)
      partialLineBytes = lineEnd < 0 ? partialLineBytes + chunk.length : chunk.length - lineEnd
      if (partialLineBytes > MAX_LINE_BYTES) this.close('malformed')
    })
    const lines = createInterface({ input: socket, crlfDelay: Infinity })
    lines.on('line', (line) => this.handleLine(line))
    lines.on('error', () => this.close('failed'))
  }

  private handleLine (line: string): void {
    let message: WireMessage
    try {
      message = JSON.parse(line) as WireMessage
    } catch {
      this.close('malformed')
      return
    }
    if (message?.nonce !== undefined) this.writeMessage({ proof: signText(this.options.secrets[0]!, message.nonce) })
    else if (message?.proof !== undefined) this.verifyProof(message.proof)
    else if (this.isAuthenticated && message?.jsonrpc === '2.0') this.rpc.receiveAndSend(message as never)
    else if (message === null || Object.keys(message).length > 0) this.close('malformed')
  }

  private verifyProof (proof: string): void {
    this.isAuthenticated = this.options.secrets.some((secret) => compareSecrets(signText(secret, this.localNonce), proof))
    if (!this.isAuthenticated) this.close('malformed')
  }
}
