import { execFileSync, spawn } from 'node:child_process'
import { openSync } from 'node:fs'
import { setTimeout as wait } from 'node:timers/promises'
import { HAS_TROUBLE, LIMITS, playCase } from '../standins/site.mjs'
const route = (name) => ({ name, host: 'desk.example', 'path-prefix': `/${name}/`, kind: 'safe', service: 'ledger', 'timeout-ms': 1_000, 'slo-ms': 100, priority: 2, 'max-attempts': 2 })
await playCase(import.meta.url, async (site) => {
  await site.start({ daemonCount: 3, config: { version: 1, routes: [route('stock')], services: [{ name: 'ledger', 'health-path': '/health', 'max-conns': 110 }], limits: LIMITS } })
  let fail = false
  for (let i = 0; i < 3; i += 1) await site.addRunner({ service: 'ledger', slots: 6, behave: ({ response, requestId }) => { if (!fail || Math.random() < 0.5) return false; response.writeHead(503, { 'x-request-id': requestId, 'x-not-executed': '1' }).end('{}'); return true } })
  await site.waitForReady()
  const d = site.daemons[0]
  if (HAS_TROUBLE) {
    const fifo = `/tmp/fifo-${process.pid}`
    execFileSync('mkfifo', [fifo])
    const fd = openSync(fifo, 'r+')
    d.child.kill('SIGKILL'); await wait(500)
    d.child = spawn(process.execPath, d.run.slice(1), { cwd: '/work/main', stdio: ['ignore', fd, fd], env: { PATH: process.env.PATH, FIGQUAY_CONFIG: d.settingsPath } })
    d.hasExited = false
    await site.waitForReady(); await wait(3000)
  }
  fail = true
  const out = []
  const end = site.now + 20000
  while (site.now < end) {
    const r = await Promise.all(Array.from({ length: 10 }, () => site.send(d, { method: 'GET', path: '/stock/x' })))
    out.push(...r)
    await wait(100)
  }
  const hung = out.filter((r) => r.status === undefined)
  return { status: hung.length > 0 ? 1 : 0, verdict: `${hung.length} of ${out.length} unanswered, first at ${hung[0]?.sentAt}, ready ${await site.fetchReady(d)}` }
})
