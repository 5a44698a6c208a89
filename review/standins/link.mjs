/** Loopback TCP proxy: one link, whose connections can go silent without a reset, be reset, or be cut while no new ones come through. */
import { connect, createServer } from 'node:net'

export class Link {
  #connections = new Set()
  #isCut = false

  constructor (targetIp, targetPort) {
    this.server = createServer({ allowHalfOpen: true }, (client) => this.#accept(client, targetIp, targetPort))
  }

  async listen (ip, port = 0) {
    await new Promise((resolve) => this.server.listen(port, ip, resolve))
    this.address = `${ip}:${this.server.address().port}`
    return this
  }

  /** Open connections that forward bytes. */
  get openCount () {
    return [...this.#connections].filter((connection) => !connection.isSilent).length
  }

  /** Ports from which the link's connections reach their target. */
  get targetPorts () {
    return [...this.#connections].map(({ target }) => target.localPort)
  }

  /**
   * Connections on which no byte went either way for `idleMs` go silent for good: neither bytes nor closing pass, and neither
   * end is told. New connections work. Returns how many.
   */
  silence (idleMs = 0) {
    const now = performance.now()
    const chosen = [...this.#connections].filter((connection) => !connection.isSilent && now - connection.activeAt >= idleMs)
    for (const connection of chosen) connection.isSilent = true
    return chosen.length
  }

  /** Cuts the link in both directions: open connections go silent, new ones get no answer until the link heals. */
  cut () {
    this.#isCut = true
    this.silence()
  }

  heal () {
    this.#isCut = false
  }

  reset () {
    for (const { client, target } of this.#connections) {
      client.resetAndDestroy()
      target.destroy()
    }
  }

  close () {
    this.server.close()
    for (const { client, target } of this.#connections) {
      client.destroy()
      target.destroy()
    }
  }

  #accept (client, targetIp, targetPort) {
    const target = connect({ host: targetIp, port: targetPort, allowHalfOpen: true })
    const connection = { client, target, isSilent: this.#isCut, activeAt: performance.now() }
    this.#connections.add(connection)
    this.#forward(connection, client, target)
    this.#forward(connection, target, client)
    for (const socket of [client, target]) socket.setNoDelay(true)
  }

  #forward (connection, from, to) {
    from.on('data', (bytes) => {
      if (connection.isSilent) return
      connection.activeAt = performance.now()
      if (!to.write(bytes)) {
        from.pause()
        to.once('drain', () => from.resume())
      }
    })
    from.on('end', () => {
      if (!connection.isSilent) to.end()
    })
    let wasReset = false
    from.on('error', ({ code }) => {
      wasReset = code === 'ECONNRESET'
    })
    from.on('close', () => {
      if (!connection.isSilent) wasReset ? to.resetAndDestroy() : to.destroy()
      if (connection.client.destroyed && connection.target.destroyed) this.#connections.delete(connection)
    })
  }
}
