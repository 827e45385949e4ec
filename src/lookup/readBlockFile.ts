import { createReadStream } from 'node:fs'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { BlockTable } from './BlockTable.js'
import { BlockTableBuilder } from './BlockTableBuilder.js'
import { parseBlockLine } from './parseBlockLine.js'

const chunkBytes = 1_048_576

/** No valid line is longer. Without this limit, a file without line breaks would be buffered in memory as a whole. */
const maxLineLength = 4_096

/** Reads a file of `prefix site` lines; fails with a message that names the first invalid line. */
export async function readBlockFile (file: string): Promise<Result<BlockTable, string>> {
  const builder = new BlockTableBuilder()
  let lineNumber = 0
  let incompleteLine = ''
  try {
    // Splitting whole chunks is several times faster than `readline`.
    for await (const chunk of createReadStream(file, { encoding: 'latin1', highWaterMark: chunkBytes })) {
      const lines = (incompleteLine + String(chunk)).split('\n')
      incompleteLine = lines.pop()!
      const added = addLines(builder, incompleteLine.length > maxLineLength ? [...lines, incompleteLine] : lines)
      if (added.isErr()) return err(`${file}:${lineNumber + added.error.index + 1}: ${added.error.message}`)
      lineNumber += lines.length
    }
  } catch (cause) {
    return err(`${file}: ${(cause as Error).message}`)
  }
  const added = addLines(builder, [incompleteLine])
  if (added.isErr()) return err(`${file}:${lineNumber + 1}: ${added.error.message}`)
  return builder.build().mapErr((message) => `${file}: ${message}`)
}

function addLines (builder: BlockTableBuilder, lines: readonly string[]): Result<void, { index: number, message: string }> {
  for (const [index, line] of lines.entries()) {
    const block = parseBlockLine(line)
    if (block.isErr()) return err({ index, message: block.error })
    if (block.value !== undefined) builder.add(block.value.start, block.value.prefixLength, block.value.site)
  }
  return ok(undefined)
}
