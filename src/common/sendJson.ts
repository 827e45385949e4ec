import type { ServerResponse } from 'node:http'

/** Sends a JSON answer with its length. */
export function sendJson (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  const payload = Buffer.from(JSON.stringify(body))
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': payload.length, ...headers })
  res.end(res.req.method === 'HEAD' ? undefined : payload)
}
