/** Consumers: send one request, on a channel of their own or on a kept one. */
import { request } from 'node:http'

export const HOST = 'desk.example'

/** Sends a request; resolves when its answer has ended, its channel has closed or the consumer has left. */
export function send (address, { id, path, method = 'POST', headers = {}, body, agent = false, timeoutMs = 5_000, leaveAfterMs = timeoutMs, onData }) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const sentAt = performance.now()
    let hasLeft = false
    const finish = result => {
      clearTimeout(timer)
      resolve({ id, hasLeft, tookMs: Math.round(performance.now() - sentAt), ...result })
    }
    const req = request({
      host, port: Number(port), method, path, agent, headers: { host: HOST, 'x-request-id': id, 'x-timeout-ms': String(timeoutMs), ...headers }
    }, res => {
      const chunks = []
      res.on('data', chunk => { chunks.push(chunk); onData?.(chunk) })
      const done = () => { finish({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks), isComplete: res.complete }) }
      res.on('end', done).on('error', done).on('close', done)
    })
    const timer = setTimeout(() => { hasLeft = true; req.destroy() }, leaveAfterMs)
    req.on('error', err => { finish({ status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false, error: err.code }) })
    req.end(body)
  })
}
