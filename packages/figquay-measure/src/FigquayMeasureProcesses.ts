/** Starts and stops the processes of a cluster: daemons, stand-ins and proxies. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync } from 'node:fs'
import { createRequire } from 'node:module'
import { createServer } from 'node:net'
import { join } from 'node:path'

const require = createRequire(import.meta.url)
const READY_TIMEOUT_MS = 15_000
const STOP_TIMEOUT_MS = 20_000

/** Packages whose main program can be started. */
export type Program = 'figquayd' | 'figquay-standins'

/** A child process whose log goes to a file. */
export class ManagedProcess {
  private constructor (readonly name: string, private readonly child: ChildProcess, private readonly exited: Promise<number | null>) {}

  /**
   * Starts a program; its standard error is appended to `<name>.log` in the directory.
   *
   * @example
   * const process = ManagedProcess.start('daemon-1', 'figquayd', ['--settings', file], directory)
   */
  static start (name: string, program: Program, parameters: readonly string[], directory: string): ManagedProcess {
    mkdirSync(directory, { recursive: true })
    const entryPoint = join(require.resolve(program), '..', 'main.js')
    const child = spawn(process.execPath, [entryPoint, ...parameters], { stdio: ['ignore', 'pipe', 'pipe'] })
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

  /** Waits for the first output of a stand-in, which it writes once it listens. */
  async waitForReady (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${this.name} was not ready in time`)), READY_TIMEOUT_MS)
      this.child.stdout!.once('data', () => {
        clearTimeout(timer)
        resolve()
      })
      this.exited.then((code) => reject(new Error(`${this.name} exited before it was ready, with code ${code}`)))
    })
  }

  /** Sends a signal to the process if it is still running. */
  sendSignal (signal: NodeJS.Signals): void {
    if (!this.hasExited) this.child.kill(signal)
  }

  /** Waits until the process has ended; returns its exit code, null if a signal ended it. */
  waitForExit (): Promise<number | null> {
    return this.exited
  }

  /** Sends SIGTERM, then SIGKILL if the process does not exit in time; returns its exit code. */
  async stop (): Promise<number | null> {
    this.sendSignal('SIGTERM')
    const timer = setTimeout(() => this.sendSignal('SIGKILL'), STOP_TIMEOUT_MS)
    const code = await this.exited
    clearTimeout(timer)
    return code
  }
}

/** Ports below the ephemeral range: no outgoing connection can take one between the check and its use. */
const FIRST_PORT = 10_000
const END_PORT = 32_000
const PORTS_PER_BLOCK = 500
const BLOCK_COUNT = (END_PORT - FIRST_PORT) / PORTS_PER_BLOCK

/** Ports of this process, and the one to look at next; undefined before the first search. */
let ownPorts: Promise<{ readonly first: number, next: number }> | undefined

/** Listens on a port for the life of the process, without keeping it alive; returns whether the port was free. */
function holdPort (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => {
      server.unref()
      resolve(true)
    })
  })
}

/**
 * Claims a block of ports by holding its first one, so that processes which search at the same time, of other checkouts too,
 * don't find the same ports free; returns the first of the others.
 *
 * @param preferredBlock Number of the block to try first.
 * @example
 * const firstPort = await claimPortBlock(process.pid)
 */
export async function claimPortBlock (preferredBlock: number): Promise<number> {
  for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
    const first = FIRST_PORT + (preferredBlock + offset) % BLOCK_COUNT * PORTS_PER_BLOCK
    if (await holdPort(first)) return first + 1
  }
  throw new Error('all blocks of ports are taken by other processes')
}

/** Whether a loopback port can be bound. */
function isPortFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/**
 * Finds free ports on loopback, among those that only this process searches.
 *
 * @example
 * const [log, roster] = await findFreePorts(2)
 */
export async function findFreePorts (count: number): Promise<number[]> {
  ownPorts ??= claimPortBlock(process.pid).then((first) => ({ first, next: first }))
  const own = await ownPorts
  const ports: number[] = []
  while (ports.length < count) {
    const port = own.next
    own.next = port + 1 < own.first + PORTS_PER_BLOCK - 1 ? port + 1 : own.first
    if (await isPortFree(port)) ports.push(port)
  }
  return ports
}
