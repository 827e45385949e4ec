import { sendRequest } from './sendRequest.js'

/**
 * Calls an operation of a stand-in's control interface at `address` (`a.b.c.d:port`).
 * @throws {Error} when the operation fails
 */
export async function callControl<Answer = unknown> (address: string, operation: string, body: unknown = {}): Promise<Answer> {
  const answer = await sendRequest(`http://${address}/${operation}`, { method: 'POST', body: JSON.stringify(body), timeoutMs: 10_000 })
  if (answer.status !== 200) throw new Error(`control operation "${operation}" at ${address} failed: ${answer.body.toString()}`)
  return JSON.parse(answer.body.toString()) as Answer
}
