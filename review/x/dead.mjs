import { setTimeout as wait } from 'node:timers/promises'
import { BOUNDS, LIMITS, playCase } from '../standins/site.mjs'
import { Link } from '../standins/link.mjs'
const DEAD = Number(process.env.DEAD ?? 100)
const route = (name) => ({ name, host: 'desk.example', 'path-prefix': `/${name}/`, kind: 'safe', service: 'ledger', 'timeout-ms': 1_000, 'slo-ms': 100, priority: 2, 'max-attempts': 2 })
const configure = (version, names) => ({ version, routes: names.map(route), services: [{ name: 'ledger', 'health-path': '/health', 'max-conns': 110 }], limits: LIMITS })
await playCase(import.meta.url, async (site) => {
  const zones = ['zone-a', 'zone-b', 'zone-c']
  const dead = await new Link('127.0.0.1', 1).listen('127.19.1.1')
  dead.cut()
  const port = dead.address.split(':')[1]
  const links = []
  for (let i = 0; i < DEAD; i += 1) {
    const ip = `127.19.2.${1 + i}`
    const l = await new Link('127.0.0.1', 1).listen(ip, Number(port)); l.cut(); links.push(l)
    site.store.put('keyed.figquay', `daemon/${ip}:${port}`, zones[i % 3])
  }
  await site.start({ config: configure(10, ['stock', 'old']) })
  for (let index = 0; index < 4; index += 1) await site.addRunner({ service: 'ledger', slots: 6 })
  await site.waitForReady()
  const ask = (name) => Promise.all(site.daemons.map((daemon) => site.send(daemon, { method: 'GET', path: `/${name}/x` })))
  await wait(4000)
  const out = []
  let v = 23
  for (let round = 0; round < 6; round += 1) {
    const a = round % 2 === 0 ? ['stock', 'new'] : ['stock', 'old']
    const changedAt = site.configure(configure(v, a)); v += 7
    let last = 0
    for (const end = site.now + 4000; site.now < end;) {
      const r = [...await ask(round % 2 === 0 ? 'new' : 'old'), ...await ask(round % 2 === 0 ? 'old' : 'new')]
      for (const [i, x] of r.entries()) if ((i < 8) === (x.status !== 200)) last = Math.max(last, x.sentAt - changedAt)
      await wait(50)
    }
    out.push(last)
  }
  const drains = []
  for (let round = 0; round < 3; round += 1) {
    const victim = site.runners.find((r) => r.state === 'ready' && !r.gone)
    victim.gone = true
    const at = site.now
    round === 1 ? victim.drain() : victim.removeEntry()
    const from = site.lines.length
    for (const end = site.now + 3500; site.now < end;) { await ask('stock'); await wait(30) }
    drains.push(Math.max(0, ...site.lines.slice(from).filter((l) => l.what === 'run' && l.runner === victim.id).map((l) => l.at - at)))
    if (round < 2) await site.addRunner({ service: 'ledger', slots: 6 })
  }
  for (const l of links) l.close()
  dead.close()
  return { status: 0, verdict: `config lag by round ${out.join()}; drains ${drains.join()}` }
})
