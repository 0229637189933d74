/** In-memory object store for tests and the stand-in. */
export class MemoryObjectStore {
  private readonly _objects = new Map<string, Uint8Array>()

  /** Stores bytes under a name. */
  put (name: string, bytes: Uint8Array): void {
    this._objects.set(name, bytes)
  }

  /** Gets the bytes, or undefined when the name is unknown. */
  get (name: string): Uint8Array | undefined {
    return this._objects.get(name)
  }
}

/** The platform's object store, for values too large for a table row. */
export abstract class ObjectStore {
  /** Stores bytes under a name; writing the same name again with the same bytes has no further effect. */
  abstract put (name: string, bytes: Uint8Array): Promise<void>
  /** Gets the bytes, or undefined when the name is unknown. */
  abstract get (name: string): Promise<Uint8Array | undefined>
}
