/** Starts and stops the processes of a trial: daemons, stand-ins, proxies. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync } from 'node:fs'
import { createRequire } from 'node:module'
import { createServer } from 'node:net'
import { join } from 'node:path'

const require = createRequire(import.meta.url)
const READY_TIMEOUT_MS = 15_000
const STOP_TIMEOUT_MS = 20_000

/** Programs that a trial runs. */
export type Program = 'figquayd' | 'figquay-standins'

/** One process that this tool started. */
export class ManagedProcess {
  private constructor (readonly name: string, private readonly child: ChildProcess, private readonly exited: Promise<number | null>) {}

  /**
   * Starts a program; its log goes to a file.
   *
   * @example
   * const process = ManagedProcess.start('daemon-1', 'figquayd', ['--settings', file], directory)
   */
  static start (name: string, program: Program, parameters: readonly string[], directory: string): ManagedProcess {
    mkdirSync(directory, { recursive: true })
    const entry = join(require.resolve(program), '..', 'main.js')
    const child = spawn(process.execPath, [entry, ...parameters], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' })
    child.stderr!.pipe(log)
    const exited = new Promise<number | null>((resolve) => child.once('exit', (code) => resolve(code)))
    return new ManagedProcess(name, child, exited)
  }

  get pid (): number {
    return this.child.pid!
  }

  get hasExited (): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null
  }

  /** Waits for the line that a stand-in writes when it listens. */
  async waitForReady (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${this.name} did not get ready`)), READY_TIMEOUT_MS)
      this.child.stdout!.once('data', () => {
        clearTimeout(timer)
        resolve()
      })
      this.exited.then((code) => reject(new Error(`${this.name} ended with ${code}`)))
    })
  }

  /** Sends a signal. */
  signal (signal: NodeJS.Signals): void {
    if (!this.hasExited) this.child.kill(signal)
  }

  /** Exit code, once the process has ended. */
  waitForExit (): Promise<number | null> {
    return this.exited
  }

  /** Asks the process to stop; kills it when it does not. */
  async stop (): Promise<number | null> {
    this.signal('SIGTERM')
    const timer = setTimeout(() => this.signal('SIGKILL'), STOP_TIMEOUT_MS)
    const code = await this.exited
    clearTimeout(timer)
    return code
  }
}

/** Ports below those that the system gives to outgoing connections: nobody takes one between the check and its use. */
const LOWEST_PORT = 10_000
const HIGHEST_PORT = 32_000
const PORTS_PER_PROCESS = 500

let nextPort = LOWEST_PORT + process.pid * PORTS_PER_PROCESS % (HIGHEST_PORT - LOWEST_PORT)

/** Whether nobody listens on a port. */
function isPortFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/**
 * Finds free ports on loopback.
 *
 * @example
 * const [log, roster] = await findPorts(2)
 */
export async function findPorts (count: number): Promise<number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = nextPort
    nextPort = port + 1 < HIGHEST_PORT ? port + 1 : LOWEST_PORT
    if (await isPortFree(port)) ports.push(port)
  }
  return ports
}
