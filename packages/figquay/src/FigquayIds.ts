/** Random identifiers, digests and constant-time comparison. */
import { createHash, createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

const ID_BYTES = 12

/**
 * Makes a random identifier that is unique across processes.
 *
 * @example
 * makeId('req') // 'req-7f3a…'
 */
export function makeId (prefix: string): string {
  return `${prefix}-${randomBytes(ID_BYTES).toString('hex')}`
}

/**
 * Returns the SHA-256 digest of a text, in hexadecimal.
 *
 * @example
 * hashText('key') // '2c70e12b…'
 */
export function hashText (text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex')
}

/**
 * Returns the HMAC-SHA-256 of a text under a secret, in hexadecimal.
 *
 * @example
 * signText('secret', 'nonce')
 */
export function signText (secret: string, text: string): string {
  return createHmac('sha256', secret).update(text).digest('hex')
}

/**
 * Compares two texts in constant time: the duration does not reveal where they differ.
 *
 * @example
 * compareSecrets(hashText(given), stored)
 */
export function compareSecrets (left: string, right: string): boolean {
  const leftBytes = Buffer.from(left)
  const rightBytes = Buffer.from(right)
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes)
}
