/** Fault-injecting TCP proxy: delay, cut, freeze, lost answers, doubled requests. */
import { connect, createServer, type Server, type Socket } from 'node:net'
import { readJson, startServer } from './FigquayStandinsHttp.js'

/** Options of a proxy. */
export interface FaultProxyOptions {
  readonly port: number
  readonly controlPort: number
  readonly targetPort: number
}

/** What the proxy does; changed over `POST /rule`. */
export interface FaultRule {
  /**
   * `pass`: nothing. `cut`: ends every connection and takes no new ones. `drop-answers`: passes requests on and
   * ends the connection in place of the answer. `black-hole`: takes connections and bytes, and passes on nothing.
   * `late-copy`: passes on, and sends every request a second time after `delayMs`.
   */
  readonly mode: 'pass' | 'cut' | 'drop-answers' | 'black-hole' | 'late-copy'
  /** Added on the way to the target, in milliseconds. */
  readonly delayMs: number
  /** Makes the connections that are open now silent for good. */
  readonly freezeOpen?: boolean
  /** Ends the connections that are open now. */
  readonly cutOpen?: boolean
}

interface Link {
  readonly client: Socket
  readonly target: Socket
  isFrozen: boolean
}

/** The proxy. */
export class FaultProxy {
  private rule: FaultRule = { mode: 'pass', delayMs: 0 }
  private readonly links = new Set<Link>()

  private constructor (private readonly options: FaultProxyOptions) {}

  /**
   * @example
   * const proxy = FaultProxy.create({ port: 7300, controlPort: 7301, targetPort: 7100 })
   */
  static create (options: FaultProxyOptions): FaultProxy {
    return new FaultProxy(options)
  }

  /** Listens on loopback, for traffic and for rules. */
  async start (): Promise<void> {
    const server = createServer((client) => this.openLink(client))
    await listenOn(server, this.options.port)
    await startServer(this.options.controlPort, async (request) => {
      this.applyRule({ mode: 'pass', delayMs: 0, ...await readJson<Partial<FaultRule>>(request) })
      return { status: 200, body: this.rule }
    })
  }

  private applyRule (rule: FaultRule): void {
    this.rule = rule
    for (const link of [...this.links]) {
      if (rule.freezeOpen === true) link.isFrozen = true
      if (rule.mode === 'cut' || rule.cutOpen === true) closeLink(link)
    }
  }

  private openLink (client: Socket): void {
    if (this.rule.mode === 'cut') {
      client.destroy()
      return
    }
    const target = connect(this.options.targetPort, '127.0.0.1')
    const link: Link = { client, target, isFrozen: false }
    this.links.add(link)
    for (const socket of [client, target]) {
      socket.on('error', () => closeLink(link))
      socket.on('close', () => {
        this.links.delete(link)
        if (!link.isFrozen) closeLink(link)
      })
    }
    client.on('data', (bytes) => this.passRequest(link, bytes))
    target.on('data', (bytes) => this.passAnswer(link, bytes))
  }

  private passRequest (link: Link, bytes: Buffer): void {
    if (link.isFrozen || this.rule.mode === 'black-hole') return
    const { mode, delayMs } = this.rule
    const isCopied = mode === 'late-copy'
    if (delayMs === 0 || isCopied) link.target.write(bytes)
    else setTimeout(() => link.target.destroyed || link.target.write(bytes), delayMs)
    if (isCopied) setTimeout(() => this.sendCopy(bytes), delayMs)
  }

  private sendCopy (bytes: Buffer): void {
    const copy = connect(this.options.targetPort, '127.0.0.1', () => copy.write(bytes))
    copy.on('error', () => copy.destroy())
    copy.on('data', () => copy.destroy())
  }

  private passAnswer (link: Link, bytes: Buffer): void {
    if (link.isFrozen || this.rule.mode === 'black-hole') return
    if (this.rule.mode === 'drop-answers') closeLink(link)
    else if (!link.client.destroyed) link.client.write(bytes)
  }
}

function closeLink (link: Link): void {
  link.client.destroy()
  link.target.destroy()
}

function listenOn (server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve())
  })
}
