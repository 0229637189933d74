import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'

/** Length of the salt of a key hash in bytes. */
const SALT_BYTES = 16

/**
 * Computes the salted hash of a workspace's key as `sha256:<salt>:<hex>`.
 *
 * @remarks The hash is computed for every request, so it must be fast. One round of SHA-256 is enough because keys are
 * long and random.
 */
export function hashKey (key: string, salt: string = randomBytes(SALT_BYTES).toString('hex')): string {
  return `sha256:${salt}:${createHash('sha256').update(salt).update(key).digest('hex')}`
}

/** Checks whether a key matches one of the hashes. */
export function isKeyValid (key: string, hashes: readonly string[]): boolean {
  return hashes.some(hash => {
    const salt = hash.split(':')[1] ?? ''
    return isEqualInConstantTime(hashKey(key, salt), hash)
  })
}

/** Compares two strings in a time that doesn't depend on where they differ, which prevents timing attacks. */
export function isEqualInConstantTime (a: string, b: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest()
  return timingSafeEqual(digest(a), digest(b))
}
