import { isIPv4 } from 'node:net'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { defaultPorts } from '../config/defaultPorts.js'

/** Parses `a.b.c.d:port,...`; the port defaults to the operators' port. Fails with a message. */
export function parseHosts (text: string): Result<string[], string> {
  const entries = text.split(',').map((entry) => entry.trim()).filter((entry) => entry !== '')
  if (entries.length === 0) return err('it is empty')
  const hosts: string[] = []
  for (const entry of entries) {
    const [ip = '', port = String(defaultPorts.operator), ...extra] = entry.split(':')
    const validPort = /^[1-9]\d{0,4}$/.test(port) && Number(port) <= 65_535
    if (extra.length > 0 || !isIPv4(ip) || !validPort) return err(`"${entry}" does not have the form a.b.c.d:port`)
    hosts.push(`${ip}:${port}`)
  }
  return ok([...new Set(hosts)])
}
