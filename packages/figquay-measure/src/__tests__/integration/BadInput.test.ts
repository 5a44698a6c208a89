/** Invalid input on the caller, operator and peer ports gets a clear error and changes no state. */
import { connect } from 'node:net'
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { LocalCluster, OPERATOR_KEY } from 'figquay-measure'

const CALLER_KEY = 'key-workshop-cairo'

interface InvalidRequest {
  readonly name: string
  readonly method?: string
  readonly path?: string
  readonly key?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly status: number
  readonly code: string
}

const CHAT_PATH = '/v1/chat/completions'
const makeChatBody = (fields: object): string => JSON.stringify({ model: 'manual-1', messages: [{ role: 'user', content: 'hinge?' }], ...fields })

const INVALID_REQUESTS: readonly InvalidRequest[] = [
  { name: 'malformed JSON', body: '{"model": ', status: 400, code: 'bad_request' },
  { name: 'missing messages', body: '{"model": "manual-1"}', status: 400, code: 'bad_request' },
  { name: 'negative max_tokens', body: makeChatBody({ max_tokens: -1 }), status: 400, code: 'bad_request' },
  { name: 'body above the size limit', body: makeChatBody({ pad: 'x'.repeat(5 * 2 ** 20) }), status: 413, code: 'payload_too_large' },
  { name: 'unknown caller key', key: 'nobody', body: makeChatBody({}), status: 401, code: 'unauthenticated' },
  { name: 'unsupported authorization scheme', headers: { authorization: 'Basic abc' }, body: makeChatBody({}), status: 401, code: 'unauthenticated' },
  { name: 'unknown model', body: makeChatBody({ model: 'manual-99' }), status: 404, code: 'not_found' },
  { name: 'another customer\'s model', key: 'key-wholesale', body: makeChatBody({ model: 'shop-1' }), status: 404, code: 'not_found' },
  { name: 'unknown adapter', body: makeChatBody({ model: 'manual-1:nowhere' }), status: 404, code: 'not_found' },
  { name: 'unknown kind', headers: { 'figquay-kind': 'nothing' }, body: makeChatBody({}), status: 404, code: 'not_found' },
  { name: 'unknown path', path: '/v2/anything', body: '{}', status: 404, code: 'not_found' },
  { name: 'call outside the contract', path: '/services/ledger/admin', body: '{}', status: 404, code: 'not_found' },
  { name: 'service outside the contract', path: '/services/else/orders', body: '{}', status: 404, code: 'not_found' },
  { name: 'path traversal', path: '/services/ledger/../../admin', body: '{}', status: 404, code: 'not_found' },
  { name: 'oversized idempotency key', path: '/services/ledger/orders', headers: { 'idempotency-key': 'x'.repeat(300) }, body: '{}', status: 400, code: 'bad_request' },
  { name: 'outcome of an unused idempotency key', method: 'GET', path: '/v1/outcomes/never-used', status: 404, code: 'not_found' }
]

describe('bad input', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 1, transferTimeScale: 0.02, size: { runners: 4, serviceUpstreams: 1 } })
  before(() => cluster.start())
  after(async () => {
    await cluster.stop()
  })

  for (const invalid of INVALID_REQUESTS) {
    test(`callers: ${invalid.name}`, async () => {
      const response = await fetch(`${cluster.daemons[0]!.callerUrl}${invalid.path ?? CHAT_PATH}`, {
        method: invalid.method ?? 'POST',
        headers: { authorization: `Bearer ${invalid.key ?? CALLER_KEY}`, ...invalid.headers },
        ...(invalid.body === undefined ? {} : { body: invalid.body })
      })
      const body = await response.json() as { error: { code: string, message: string } }
      expect([response.status, body.error.code]).toEqual([invalid.status, invalid.code])
      expect(response.headers.get('figquay-outcome')).toEqual('not-run')
      expect(body.error.message.length > 10).toEqual(true)
    })
  }

  /** Sends raw bytes; resolves with what has been received when the connection closes, or times out. */
  function sendRaw (url: string, bytes: string, timeoutMs = 15_000): Promise<string> {
    const { hostname, port } = new URL(url)
    return new Promise((resolve) => {
      let received = ''
      const socket = connect({ host: hostname, port: Number(port) }, () => socket.write(bytes))
      const timer = setTimeout(() => socket.destroy(), timeoutMs)
      socket.on('data', (data) => { received += data.toString('utf8') })
      socket.on('error', () => undefined)
      socket.on('close', () => {
        clearTimeout(timer)
        resolve(received)
      })
    })
  }

  test('callers: oversized headers, and bytes that are not HTTP', async () => {
    const oversized = await sendRaw(cluster.daemons[0]!.callerUrl, `GET /v1/models HTTP/1.1\r\nHost: x\r\nx-pad: ${'y'.repeat(40_000)}\r\n\r\n`)
    expect(oversized.startsWith('HTTP/1.1 431')).toEqual(true)
    const tenMegabytes = await sendRaw(cluster.daemons[0]!.callerUrl, `GET /v1/models HTTP/1.1\r\nHost: x\r\nx-pad: ${'y'.repeat(10_000_000)}\r\n\r\n`)
    expect(tenMegabytes.startsWith('HTTP/1.1 431')).toEqual(true)
    const notHttp = await sendRaw(cluster.daemons[0]!.callerUrl, '\u0000\u0001nonsense\r\n\r\n')
    expect(notHttp.startsWith('HTTP/1.1 400')).toEqual(true)
  })

  test('callers: a request whose body never ends is disconnected', async () => {
    const startedAtMs = performance.now()
    const reply = await sendRaw(cluster.daemons[0]!.callerUrl, `POST ${CHAT_PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${CALLER_KEY}\r\nContent-Length: 1000\r\n\r\n{"model"`, 20_000)
    expect(performance.now() - startedAtMs < 16_000).toEqual(true)
    expect(reply.startsWith('HTTP/1.1 200')).toEqual(false)
  })

  test('operators: unknown key, malformed call, unknown method', async () => {
    const callOperator = (key: string, body: string) => fetch(`${cluster.daemons[0]!.operatorUrl}/rpc`, { method: 'POST', headers: { authorization: `Bearer ${key}` }, body })
    expect((await callOperator('wrong', '{}')).status).toEqual(401)
    expect((await callOperator(OPERATOR_KEY, '{')).status).toEqual(400)
    const unknown = await (await callOperator(OPERATOR_KEY, '{"jsonrpc":"2.0","id":1,"method":"no.such"}')).json() as { error: { code: number } }
    expect(unknown.error.code).toEqual(-32601)
  })

  test('operators: a change with inconsistent documents is rejected as a whole', async () => {
    const daemon = cluster.daemons[0]!
    const documentsBefore = await cluster.readDocuments(daemon)
    const reply = await cluster.applyDocuments(daemon, 'contradiction', [
      { key: 'contract/wholesale', base: documentsBefore['contract/wholesale']!.version, body: { ...documentsBefore['contract/wholesale']!.body as object, share: 9 } },
      { key: 'model/manual-1', base: documentsBefore['model/manual-1']!.version, body: { ...documentsBefore['model/manual-1']!.body as object, pool: 'nowhere' } }
    ])
    expect(reply?.verdict?.verdict).toEqual('rejected')
    expect(await cluster.readDocuments(daemon)).toEqual(documentsBefore)
  })

  test('peers: bytes that are not JSON, and a peer without the secret', async () => {
    const url = `http://${cluster.daemons[0]!.vm.peer}`
    expect((await sendRaw(url, 'hello\n')).includes('jsonrpc')).toEqual(false)
    const forged = await sendRaw(url, '{"proof":"00"}\n{"jsonrpc":"2.0","id":1,"method":"status.get","params":{}}\n')
    expect(forged.includes('zone')).toEqual(false)
    expect(await cluster.isReady(cluster.daemons[0]!)).toEqual(true)
  })
})
