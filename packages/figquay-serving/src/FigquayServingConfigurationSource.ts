/**
 * Sends the active configuration to peers that are behind: the difference from the version that they have, compressed once
 * for all of them, in chunks that leave room on the connection for other messages.
 *
 * In a large fleet most daemons of a data centre learn of a new version from one parent, within one exchange interval. So
 * only a few transfers run at once, and other peers are referred to those that have been served.
 */
import { gzipSync } from 'node:zlib'
import { setBounded, type Clock } from 'figquay'
import { computeConfigurationUpdate, type ConfigurationHolder } from 'figquay-fleet'

/** Request for a part of the changes since a version. */
export interface ConfigurationRequest {
  /** Address of the daemon that asks. */
  readonly from: string
  /** Version that it has; -1 for none. */
  readonly baseVersion: number
  /** Version that it has begun to receive; undefined in its first request. */
  readonly version: number | undefined
  /** Number of bytes that it has received. */
  readonly offset: number
}

/** Reply to such a request. */
export type ConfigurationReply =
  /** A part of the compressed changes, in base64. */
  | { readonly type: 'chunk', readonly version: number, readonly totalBytes: number, readonly data: string }
  /** Too many transfers are running; the peers have the version, or are receiving it. */
  | { readonly type: 'busy', readonly version: number, readonly peers: readonly string[] }
  /** The sender has no newer version. */
  | { readonly type: 'none' }

/** Options of a configuration source. */
export interface ConfigurationSourceOptions {
  readonly clock: Clock
  readonly configurations: ConfigurationHolder
  /** Peers that are known to have a version. */
  readonly listPeersWith: (version: number) => readonly string[]
}

/** A chunk occupies the slowest links of the users' VMs for some 25 ms. */
const CHUNK_BYTES = 16_384
/** Transfers at once: each receiver can serve as many in turn, so the number of daemons that are up to date grows fivefold a round. */
const MAX_TRANSFERS = 4
/** A transfer whose receiver hasn't asked for its next chunk for this long is over, in milliseconds. */
const TRANSFER_IDLE_MS = 1_000
/** Peers that a receiver is referred to. */
const MAX_REFERRED_PEERS = 3
/** Compressed updates that are kept, for receivers at different versions. */
const MAX_ENCODED_UPDATES = 16

/** Serves configurations to peers. */
export class ConfigurationSource {
  /** Compressed updates by base and target version, least recently used first. */
  private readonly encodedUpdates = new Map<string, Buffer>()
  /** Time of the last chunk of each running transfer, by receiver. */
  private readonly transfers = new Map<string, number>()
  /** Receivers of the newest version that have got all of it. */
  private served = { version: -1, peers: new Set<string>() }

  private constructor (private readonly options: ConfigurationSourceOptions) {}

  /**
   * @example
   * const source = ConfigurationSource.create({ clock, configurations, listPeersWith })
   */
  static create (options: ConfigurationSourceOptions): ConfigurationSource {
    return new ConfigurationSource(options)
  }

  /**
   * Returns the next chunk of the changes that a peer lacks.
   *
   * @example
   * source.serveRequest({ from: '10.0.0.2:80', baseVersion: 7, version: undefined, offset: 0 })
   */
  serveRequest ({ from, baseVersion, version, offset }: ConfigurationRequest): ConfigurationReply {
    const active = this.options.configurations.version
    if (active <= baseVersion) return { type: 'none' }
    // A transfer that has begun goes on with its version although a newer one is active, or it might never end.
    const begun = version === undefined ? undefined : this.encodedUpdates.get(`${baseVersion} ${version}`)
    if (begun !== undefined && offset < begun.length) return this.makeChunk(from, version!, begun, offset)
    if (!this.tryStartTransfer(from)) return { type: 'busy', version: active, peers: this.listReferredPeers(from, active) }
    return this.makeChunk(from, active, this.encodeUpdate(baseVersion, active), 0)
  }

  private tryStartTransfer (receiver: string): boolean {
    const nowMs = this.options.clock.readMonotonicMs()
    for (const [peer, atMs] of this.transfers) if (nowMs - atMs > TRANSFER_IDLE_MS) this.transfers.delete(peer)
    if (!this.transfers.has(receiver) && this.transfers.size >= MAX_TRANSFERS) return false
    this.transfers.set(receiver, nowMs)
    return true
  }

  private makeChunk (receiver: string, version: number, encoded: Buffer, offset: number): ConfigurationReply {
    const end = offset + CHUNK_BYTES
    if (end < encoded.length) this.transfers.set(receiver, this.options.clock.readMonotonicMs())
    else {
      this.transfers.delete(receiver)
      if (this.served.version < version) this.served = { version, peers: new Set() }
      if (this.served.version === version) this.served.peers.add(receiver)
    }
    return { type: 'chunk', version, totalBytes: encoded.length, data: encoded.toString('base64', offset, Math.min(end, encoded.length)) }
  }

  private encodeUpdate (baseVersion: number, version: number): Buffer {
    const { configurations } = this.options
    const key = `${baseVersion} ${version}`
    const encoded = this.encodedUpdates.get(key) ?? gzipSync(JSON.stringify(computeConfigurationUpdate(configurations.findVersion(baseVersion), configurations.current!)))
    setBounded(this.encodedUpdates, key, encoded, MAX_ENCODED_UPDATES)
    return encoded
  }

  /** Peers that have the version, those first that got it from here; if there are too few, also those that are receiving it. */
  private listReferredPeers (receiver: string, version: number): string[] {
    const served = this.served.version === version ? [...this.served.peers].reverse() : []
    const peers = [...new Set([...served, ...this.options.listPeersWith(version), ...this.transfers.keys()])]
    return peers.filter((peer) => peer !== receiver).slice(0, MAX_REFERRED_PEERS)
  }
}
