import { InstanceList, type Instance } from '../../core/platform/index.js'
import type { PlatformHttp } from './PlatformHttp.js'

/** HTTP status of a list that has not changed. */
const NOT_MODIFIED = 304

/** Reads the platform's instance list over HTTP; an unchanged list is neither sent nor parsed again. */
export class HttpInstanceList extends InstanceList {
  private readonly _http: PlatformHttp
  private _latest: readonly Instance[] = []
  private _etag = ''

  constructor (http: PlatformHttp) {
    super()
    this._http = http
  }

  async list (): Promise<readonly Instance[]> {
    const res = await this._http.send('GET', '/instances', undefined, this._etag)
    if (res.status === NOT_MODIFIED) return this._latest
    if (res.status !== 200) throw new Error(`Reading the instance list failed with status ${res.status}.`)
    this._latest = (JSON.parse(res.body.toString()) as { instances: Instance[] }).instances
    this._etag = res.etag
    return this._latest
  }
}
