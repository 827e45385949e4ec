import type { EndpointReport } from '../steer/EndpointReport.js'

const pattern = /^used=(\d{1,6});slots=(\d{1,6});state=(ready|cold|draining)$/

/** Parses an `Upstream-Load` header; returns undefined if it is malformed. */
export function parseLoadReport (text: string): EndpointReport | undefined {
  const match = pattern.exec(text.replaceAll(' ', ''))
  if (match === null) return undefined
  return { used: Number(match[1]), slots: Number(match[2]), state: match[3] as EndpointReport['state'] }
}
