/** Bad input on every port gets a clear error and changes nothing. */
import { connect } from 'node:net'
import { after, before, describe, test } from 'node:test'
import { expect } from 'earl'
import { LocalCluster, OPERATOR_KEY } from 'figquay-measure'

const KEY = 'key-workshop-cairo'

interface BadCall {
  readonly name: string
  readonly method?: string
  readonly path?: string
  readonly key?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  readonly status: number
  readonly code: string
}

const CHAT = '/v1/chat/completions'
const question = (fields: object): string => JSON.stringify({ model: 'manual-1', messages: [{ role: 'user', content: 'hinge?' }], ...fields })

const BAD_CALLS: readonly BadCall[] = [
  { name: 'malformed JSON', body: '{"model": ', status: 400, code: 'bad_request' },
  { name: 'no messages', body: '{"model": "manual-1"}', status: 400, code: 'bad_request' },
  { name: 'negative max_tokens', body: question({ max_tokens: -1 }), status: 400, code: 'bad_request' },
  { name: 'huge body', body: question({ pad: 'x'.repeat(5 * 2 ** 20) }), status: 413, code: 'payload_too_large' },
  { name: 'wrong key', key: 'nobody', body: question({}), status: 401, code: 'unauthenticated' },
  { name: 'key of another scheme', headers: { authorization: 'Basic abc' }, body: question({}), status: 401, code: 'unauthenticated' },
  { name: 'unknown model', body: question({ model: 'manual-99' }), status: 404, code: 'not_found' },
  { name: 'another customer\'s model', key: 'key-wholesale', body: question({ model: 'shop-1' }), status: 404, code: 'not_found' },
  { name: 'unknown adapter', body: question({ model: 'manual-1:nowhere' }), status: 404, code: 'not_found' },
  { name: 'unknown kind', headers: { 'figquay-kind': 'nothing' }, body: question({}), status: 404, code: 'not_found' },
  { name: 'unknown path', path: '/v2/anything', body: '{}', status: 404, code: 'not_found' },
  { name: 'call outside the contract', path: '/services/ledger/admin', body: '{}', status: 404, code: 'not_found' },
  { name: 'another service', path: '/services/else/orders', body: '{}', status: 404, code: 'not_found' },
  { name: 'climbing path', path: '/services/ledger/../../admin', body: '{}', status: 404, code: 'not_found' },
  { name: 'bad idempotency key', path: '/services/ledger/orders', headers: { 'idempotency-key': 'x'.repeat(300) }, body: '{}', status: 400, code: 'bad_request' },
  { name: 'unknown outcome', method: 'GET', path: '/v1/outcomes/never-used', status: 404, code: 'not_found' }
]

describe('bad input', () => {
  const cluster = LocalCluster.create({ deployment: 'guild', daemons: 1, storeScale: 0.02, size: { runners: 4, serviceUpstreams: 1 } })
  before(() => cluster.start())
  after(async () => {
    await cluster.stop()
  })

  for (const bad of BAD_CALLS) {
    test(`callers: ${bad.name}`, async () => {
      const response = await fetch(`${cluster.daemons[0]!.callerUrl}${bad.path ?? CHAT}`, {
        method: bad.method ?? 'POST',
        headers: { authorization: `Bearer ${bad.key ?? KEY}`, ...bad.headers },
        ...(bad.body === undefined ? {} : { body: bad.body })
      })
      const body = await response.json() as { error: { code: string, message: string } }
      expect([response.status, body.error.code]).toEqual([bad.status, bad.code])
      expect(response.headers.get('figquay-outcome')).toEqual('not-run')
      expect(body.error.message.length > 10).toEqual(true)
    })
  }

  /** Sends raw bytes; resolves with what comes back before the other side closes. */
  function sendRaw (url: string, bytes: string, patienceMs = 15_000): Promise<string> {
    const { hostname, port } = new URL(url)
    return new Promise((resolve) => {
      let received = ''
      const socket = connect({ host: hostname, port: Number(port) }, () => socket.write(bytes))
      const timer = setTimeout(() => socket.destroy(), patienceMs)
      socket.on('data', (data) => { received += data.toString('utf8') })
      socket.on('error', () => undefined)
      socket.on('close', () => {
        clearTimeout(timer)
        resolve(received)
      })
    })
  }

  test('callers: huge headers, and bytes that are no HTTP', async () => {
    const huge = await sendRaw(cluster.daemons[0]!.callerUrl, `GET /v1/models HTTP/1.1\r\nHost: x\r\nx-pad: ${'y'.repeat(40_000)}\r\n\r\n`)
    expect(huge.startsWith('HTTP/1.1 431')).toEqual(true)
    const tenMegabytes = await sendRaw(cluster.daemons[0]!.callerUrl, `GET /v1/models HTTP/1.1\r\nHost: x\r\nx-pad: ${'y'.repeat(10_000_000)}\r\n\r\n`)
    expect(tenMegabytes.startsWith('HTTP/1.1 431')).toEqual(true)
    const noise = await sendRaw(cluster.daemons[0]!.callerUrl, '\u0000\u0001nonsense\r\n\r\n')
    expect(noise.startsWith('HTTP/1.1 400')).toEqual(true)
  })

  test('callers: a sender that never ends its body is cut off', async () => {
    const started = performance.now()
    const reply = await sendRaw(cluster.daemons[0]!.callerUrl, `POST ${CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${KEY}\r\nContent-Length: 1000\r\n\r\n{"model"`, 20_000)
    expect(performance.now() - started < 16_000).toEqual(true)
    expect(reply.startsWith('HTTP/1.1 200')).toEqual(false)
  })

  test('operators: wrong key, malformed call, unknown method', async () => {
    const call = (key: string, body: string) => fetch(`${cluster.daemons[0]!.operatorUrl}/rpc`, { method: 'POST', headers: { authorization: `Bearer ${key}` }, body })
    expect((await call('wrong', '{}')).status).toEqual(401)
    expect((await call(OPERATOR_KEY, '{')).status).toEqual(400)
    const unknown = await (await call(OPERATOR_KEY, '{"jsonrpc":"2.0","id":1,"method":"no.such"}')).json() as { error: { code: number } }
    expect(unknown.error.code).toEqual(-32601)
  })

  test('operators: documents that contradict each other change nothing', async () => {
    const daemon = cluster.daemons[0]!
    const before = await cluster.readDocuments(daemon)
    const reply = await cluster.applyDocuments(daemon, 'contradiction', [
      { key: 'contract/wholesale', base: before['contract/wholesale']!.version, body: { ...before['contract/wholesale']!.body as object, share: 9 } },
      { key: 'model/manual-1', base: before['model/manual-1']!.version, body: { ...before['model/manual-1']!.body as object, pool: 'nowhere' } }
    ])
    expect(reply?.verdict?.verdict).toEqual('rejected')
    expect(await cluster.readDocuments(daemon)).toEqual(before)
  })

  test('peers: bytes that are no JSON, and a peer without the secret', async () => {
    const url = `http://${cluster.daemons[0]!.vm.peer}`
    expect((await sendRaw(url, 'hello\n')).includes('jsonrpc')).toEqual(false)
    const forged = await sendRaw(url, '{"proof":"00"}\n{"jsonrpc":"2.0","id":1,"method":"status.get","params":{}}\n')
    expect(forged.includes('zone')).toEqual(false)
    expect(await cluster.isReady(cluster.daemons[0]!)).toEqual(true)
  })
})
