import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { formatAddress } from './formatAddress.js'

/** A block of client addresses with its site. */
interface BlockLine {
  readonly start: number
  readonly prefixLength: number
  readonly site: string
}

const linePattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})(?:\/(\d{1,2}))?[ \t]+([A-Za-z0-9][\w-]{0,62})$/

/** Shared result of comments and empty lines, which avoids a million allocations for a large file. */
const noBlock = ok(undefined)

/**
 * Parses a line `a.b.c.d/length site`; the length defaults to 32, a single address.
 * Returns undefined for empty lines and comments (`#`), and a message for an invalid line.
 */
export function parseBlockLine (line: string): Result<BlockLine | undefined, string> {
  const text = line.trim()
  if (text === '' || text.startsWith('#')) return noBlock
  const match = linePattern.exec(text)
  if (match === null) return err('the line does not have the form "a.b.c.d/length site"')
  const [first, second, third, fourth] = [Number(match[1]), Number(match[2]), Number(match[3]), Number(match[4])]
  if (first > 255 || second > 255 || third > 255 || fourth > 255) return err('an octet of the address is greater than 255')
  const start = ((first * 256 + second) * 256 + third) * 256 + fourth
  const prefixLength = Number(match[5] ?? '32')
  if (prefixLength > 32) return err(`prefix length ${prefixLength} is greater than 32`)
  const size = 2 ** (32 - prefixLength)
  if (start % size !== 0) return err(`the block must start at ${formatAddress(start - start % size)}`)
  return ok({ start, prefixLength, site: match[6]! })
}
