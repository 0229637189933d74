import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'

/** Bytes of salt in a key hash. */
const SALT_BYTES = 16

/**
 * Computes the salted hash of a workspace's key as `sha256:<salt>:<hex>`.
 *
 * @remarks Keys are random and long, so one round of SHA-256 is enough; it runs for every request.
 */
export function hashKey (key: string, salt: string = randomBytes(SALT_BYTES).toString('hex')): string {
  return `sha256:${salt}:${createHash('sha256').update(salt).update(key).digest('hex')}`
}

/** Tells whether a key belongs to one of the hashes. */
export function isKeyValid (key: string, hashes: readonly string[]): boolean {
  return hashes.some(hash => {
    const salt = hash.split(':')[1] ?? ''
    return isEqualInConstantTime(hashKey(key, salt), hash)
  })
}

/** Compares two strings in a time that does not depend on where they differ. */
export function isEqualInConstantTime (a: string, b: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(a), digest(b))
}
