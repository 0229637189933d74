/** Complete response to a caller. */
export interface CallerResponse {
  readonly status: number
  readonly headers: Headers
  readonly text: string
  /** Parsed body, or undefined if it is not JSON. */
  readonly json: Record<string, any> | undefined
}

/** Sends requests to an entry with the key of a workspace. */
export class Caller {
  private readonly _key: string
  entryUrl: string

  constructor (entryUrl: string, key: string) {
    this.entryUrl = entryUrl
    this._key = key
  }

  /** Sends a request and reads the complete response. */
  async send (method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<CallerResponse> {
    const res = await this.open(method, path, body, headers)
    const text = await res.text()
    return { status: res.status, headers: res.headers, text, json: parseJson(text) }
  }

  /** Sends a request and returns as soon as the response headers have been received. */
  async open (method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<Response> {
    return await fetch(this.entryUrl + path, {
      method,
      headers: { authorization: `Bearer ${this._key}`, 'content-type': 'application/json', ...headers },
      ...(body === undefined ? {} : { body: typeof body === 'string' ? body : JSON.stringify(body) })
    })
  }

  /** Makes a streamed model call; returns the received text and whether the response is complete. */
  async stream (path: string, body: Record<string, unknown>, onText: (text: string) => void = () => {}): Promise<StreamedResponse> {
    const res = await this.open('POST', path, { ...body, stream: true })
    if (res.status !== 200) return { status: res.status, text: '', isComplete: false, error: await res.json() as Record<string, any> }
    return await readStream(res, onText)
  }
}

/** Response to a streamed model call. */
export interface StreamedResponse {
  readonly status: number
  readonly text: string
  /** True when the stream ended with the `[DONE]` event. */
  readonly isComplete: boolean
  readonly error?: Record<string, any>
}

async function readStream (res: Response, onText: (text: string) => void): Promise<StreamedResponse> {
  let text = ''
  let incompleteEvent = ''
  let isComplete = false
  let error: Record<string, any> | undefined
  const decoder = new TextDecoder()
  try {
    for await (const chunk of res.body as unknown as AsyncIterable<Uint8Array>) {
      const events = (incompleteEvent + decoder.decode(chunk, { stream: true })).split('\n\n')
      incompleteEvent = events.pop()!
      for (const event of events) {
        const data = event.replace(/^data: /, '')
        if (data === '[DONE]') isComplete = true
        else {
          const parsed = JSON.parse(data) as Record<string, any>
          if (parsed.error !== undefined) error = parsed.error
          const content = parsed.choices?.[0]?.delta?.content ?? ''
          text += content
          if (content !== '') onText(content)
        }
      }
    }
  } catch {
    // The entry closed the connection before the end of the stream: the response stays incomplete.
  }
  return { status: 200, text, isComplete, ...(error === undefined ? {} : { error }) }
}

function parseJson (text: string): Record<string, any> | undefined {
  try {
    return JSON.parse(text) as Record<string, any>
  } catch {
    return undefined
  }
}
