import { ObjectStore } from '../../core/platform/index.js'
import type { PlatformHttp } from './PlatformHttp.js'

/** Accesses the platform's object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  private readonly _http: PlatformHttp

  constructor (http: PlatformHttp) {
    super()
    this._http = http
  }

  async put (name: string, bytes: Uint8Array): Promise<void> {
    const res = await this._http.send('PUT', `/objects/${encodeURIComponent(name)}`, bytes)
    if (res.status >= 300) throw new Error(`Writing an object failed with status ${res.status}: ${name}`)
  }

  async get (name: string): Promise<Uint8Array | undefined> {
    const res = await this._http.send('GET', `/objects/${encodeURIComponent(name)}`)
    if (res.status === 404) return undefined
    if (res.status !== 200) throw new Error(`Reading an object failed with status ${res.status}: ${name}`)
    return res.body
  }
}
