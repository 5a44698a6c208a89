/** Finds the customer of a key by its digest. A new version costs time in proportion to the keys that differ. */
import { findKeyChanges, type Customers } from './FigquayFleetCustomerUpdate.js'
import type { Customer } from './FigquayFleetTypes.js'

/** Digits of a key's digest that are shown, which tell the keys of a platform apart. */
const SHOWN_DIGEST_LENGTH = 8

/** Index of the customers of one configuration. */
export class CustomerIndex {
  private customers: Customers
  /** Names of customers by the digests of their keys. A lookup compares digests, so that its duration reveals nothing about a key. */
  private readonly names = new Map<string, string>()

  private constructor () {}

  /**
   * @example
   * const index = CustomerIndex.create()
   */
  static create (): CustomerIndex {
    return new CustomerIndex()
  }

  /**
   * Finds the customer that holds a key.
   *
   * @example
   * index.findCustomer(hashText(key))?.name
   */
  findCustomer (keyDigest: string): Customer | undefined {
    const name = this.names.get(keyDigest)
    return name === undefined ? undefined : this.customers?.get(name)
  }

  /**
   * Replaces the customers by those of another configuration, with which they share what is unchanged.
   *
   * @example
   * index.setCustomers(configuration.customers)
   */
  setCustomers (customers: Customers): void {
    const earlier = this.customers
    this.customers = customers
    if (earlier === customers) return
    const changes = [...customers?.values() ?? []].filter((customer) => earlier?.get(customer.name) !== customer)
      .map((customer) => ({ name: customer.name, ...findKeyChanges(earlier?.get(customer.name)?.keyDigests ?? [], customer.keyDigests) }))
    const gone = [...earlier?.values() ?? []].filter(({ name }) => customers?.has(name) !== true)
    // All removals come first, as a key may move from one customer to another.
    for (const { keyDigests } of gone) for (const digest of keyDigests) this.names.delete(digest)
    for (const { removed } of changes) for (const digest of removed) this.names.delete(digest)
    for (const { name, added } of changes) for (const digest of added) this.names.set(digest, name)
  }
}

/**
 * Shortens the digest of a key for errors and log lines.
 *
 * @example
 * shortenDigest(hashText(key)) // '2c70e12b'
 */
export function shortenDigest (digest: string): string {
  return digest.slice(0, SHOWN_DIGEST_LENGTH)
}
