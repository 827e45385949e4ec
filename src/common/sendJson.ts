import type { ServerResponse } from 'node:http'

/** Sends a JSON response with a `Content-Length` header. */
export function sendJson (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  const payload = Buffer.from(JSON.stringify(body))
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': payload.length, ...headers })
  res.end(res.req.method === 'HEAD' ? undefined : payload)
}
