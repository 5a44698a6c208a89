/** Fault-injecting TCP proxy: delays, closed or silent connections, lost responses, duplicated requests. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { readJson, startServer } from './FigquayStandinsHttp.js'

/** Options of a proxy. */
export interface FaultProxyOptions {
  readonly port: number
  readonly controlPort: number
  readonly targetPort: number
}

/** Faults that the proxy injects, replaced through `POST /rule` on the control port. */
export interface FaultRule {
  /**
   * `pass`: forwards all data. `cut`: closes every connection, open or new. `drop-answers`: forwards requests, and
   * closes the connection instead of forwarding the response. `black-hole`: accepts connections and discards all data.
   * `late-copy`: forwards all data, and sends every request once more over a new connection after `delayMs`.
   */
  readonly mode: 'pass' | 'cut' | 'drop-answers' | 'black-hole' | 'late-copy'
  /** Delay of data to the target, in milliseconds; in `late-copy` mode, of the second request only. */
  readonly delayMs: number
  /** Stops forwarding on the connections that are open now, for good, but leaves them open. */
  readonly freezeOpen?: boolean
  /** Closes the connections that are open now. */
  readonly cutOpen?: boolean
}

/** A client connection and its counterpart to the target. */
interface ProxiedConnection {
  readonly client: Socket
  readonly target: Socket
  /** Nothing is forwarded any more, neither data nor the end of the connection. */
  isFrozen: boolean
}

/** Proxy in front of one TCP port. */
export class FaultProxy {
  private rule: FaultRule = { mode: 'pass', delayMs: 0 }
  private readonly connections = new Set<ProxiedConnection>()

  private constructor (private readonly options: FaultProxyOptions) {}

  /**
   * @example
   * const proxy = FaultProxy.create({ port: 7300, controlPort: 7301, targetPort: 7100 })
   */
  static create (options: FaultProxyOptions): FaultProxy {
    return new FaultProxy(options)
  }

  /** Starts the proxy and its control server on the loopback interface. */
  async start (): Promise<void> {
    const server = createServer((client) => this.openConnection(client))
    await listenOn(server, this.options.port)
    await startServer(this.options.controlPort, async (request) => {
      this.applyRule({ mode: 'pass', delayMs: 0, ...await readJson<Partial<FaultRule>>(request) })
      return { status: 200, body: this.rule }
    })
  }

  private applyRule (rule: FaultRule): void {
    this.rule = rule
    for (const connection of [...this.connections]) {
      if (rule.freezeOpen === true) connection.isFrozen = true
      if (rule.mode === 'cut' || rule.cutOpen === true) closeConnection(connection)
    }
  }

  private openConnection (client: Socket): void {
    if (this.rule.mode === 'cut') {
      client.destroy()
      return
    }
    const target = connect(this.options.targetPort, '127.0.0.1')
    const connection: ProxiedConnection = { client, target, isFrozen: false }
    this.connections.add(connection)
    for (const socket of [client, target]) {
      socket.on('error', () => closeConnection(connection))
      socket.on('close', () => {
        this.connections.delete(connection)
        if (!connection.isFrozen) closeConnection(connection)
      })
    }
    client.on('data', (bytes) => this.forwardRequest(connection, bytes))
    target.on('data', (bytes) => this.forwardResponse(connection, bytes))
  }

  private forwardRequest (connection: ProxiedConnection, bytes: Buffer): void {
    if (connection.isFrozen || this.rule.mode === 'black-hole') return
    const { mode, delayMs } = this.rule
    const isDuplicated = mode === 'late-copy'
    if (delayMs === 0 || isDuplicated) connection.target.write(bytes)
    else setTimeout(() => connection.target.destroyed || connection.target.write(bytes), delayMs)
    if (isDuplicated) setTimeout(() => this.sendDuplicate(bytes), delayMs)
  }

  private sendDuplicate (bytes: Buffer): void {
    const duplicate = connect(this.options.targetPort, '127.0.0.1', () => duplicate.write(bytes))
    duplicate.on('error', () => duplicate.destroy())
    duplicate.on('data', () => duplicate.destroy())
  }

  private forwardResponse (connection: ProxiedConnection, bytes: Buffer): void {
    if (connection.isFrozen || this.rule.mode === 'black-hole') return
    if (this.rule.mode === 'drop-answers') closeConnection(connection)
    else if (!connection.client.destroyed) connection.client.write(bytes)
  }
}

function closeConnection (connection: ProxiedConnection): void {
  connection.client.destroy()
  connection.target.destroy()
}

function listenOn (server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve())
  })
}
