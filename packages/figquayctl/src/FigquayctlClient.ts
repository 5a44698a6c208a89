/** Client of a daemon's operator port. */
import { request as sendRequest } from 'undici'
import { makeFailure, makeSuccess, type Outcome } from 'figquay'
import type { RunnerSpeedReport } from './FigquayctlViews.js'

/** Address and credentials of a daemon's operator port. */
export interface OperatorAddress {
  /** `http://ip:port` of the operator port. */
  readonly url: string
  readonly key: string
}

/** Why a call failed. */
export interface OperatorFailure {
  readonly kind: 'unreachable' | 'refused'
  readonly message: string
}

const CALL_TIMEOUT_MS = 8_000
const OK = 200

/** JSON-RPC client over HTTP. */
export class OperatorClient {
  private constructor (private readonly address: OperatorAddress) {}

  /**
   * @example
   * const client = OperatorClient.create({ url: 'http://127.0.0.1:9090', key })
   */
  static create (address: OperatorAddress): OperatorClient {
    return new OperatorClient(address)
  }

  /**
   * Calls a method.
   *
   * @example
   * const status = await client.callMethod<StatusReply>('status.get', {})
   */
  async callMethod<T> (method: string, params: unknown): Promise<Outcome<T, OperatorFailure>> {
    try {
      const response = await sendRequest(`${this.address.url}/rpc`, {
        method: 'POST',
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: { authorization: `Bearer ${this.address.key}`, 'content-type': 'application/json' },
        body: JSON.stringify({ jsonrpc: '2.0', id: 1, method, params })
      })
      const body = await response.body.json() as { result?: T, error?: { message: string } }
      if (response.statusCode === OK && body.error === undefined) return makeSuccess(body.result as T)
      return makeFailure({ kind: 'refused', message: body.error?.message ?? `HTTP status ${response.statusCode}` })
    } catch (error) {
      return makeFailure({ kind: 'unreachable', message: `${this.address.url}: ${(error as Error).message || (error as { code?: string }).code || 'no response'}` })
    }
  }
}

/**
 * Fetches the runners as a daemon on the users' platform sees them.
 *
 * @param url `http://ip:port` of the daemon's metrics.
 * @example
 * const runners = await fetchRunnerSpeeds('http://127.0.0.1:9091')
 */
export async function fetchRunnerSpeeds (url: string): Promise<Outcome<readonly RunnerSpeedReport[], OperatorFailure>> {
  try {
    const response = await sendRequest(`${url}/runners`, { signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
    const body = await response.body.text()
    return response.statusCode === OK ? makeSuccess(JSON.parse(body) as RunnerSpeedReport[]) : makeFailure({ kind: 'refused', message: `HTTP status ${response.statusCode}` })
  } catch (error) {
    return makeFailure({ kind: 'unreachable', message: `${url}: ${(error as Error).message || 'no response'}` })
  }
}
