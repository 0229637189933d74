import { InstanceList, type Instance } from '../../core/platform/index.js'
import type { PlatformHttp } from './PlatformHttp.js'

/** The platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList {
  private readonly _http: PlatformHttp

  constructor (http: PlatformHttp) {
    super()
    this._http = http
  }

  async list (): Promise<readonly Instance[]> {
    const res = await this._http.send('GET', '/instances')
    if (res.status !== 200) throw new Error(`The instance list answered ${res.status}.`)
    return (JSON.parse(res.body.toString()) as { instances: Instance[] }).instances
  }
}
