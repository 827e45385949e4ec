/** Formats rows as a table with headings; columns of numbers are aligned to the right. */
export function formatTable (headings: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | boolean>>): string {
  const cells = rows.map((row) => row.map(formatCell))
  const widths = headings.map((heading, column) => Math.max(heading.length, ...cells.map((row) => row[column]?.length ?? 0)))
  const isRightAligned = headings.map((_, column) => rows.length > 0 && rows.every((row) => typeof row[column] === 'number'))
  const lines = [[...headings], ...cells].map((row) => row.map((cell, column) => isRightAligned[column] === true ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!)).join('  ').trimEnd())
  return rows.length === 0 ? '(none)' : lines.join('\n')
}

/** Formats a cell; replaces control characters, because names from other systems must not control the terminal. */
function formatCell (cell: string | number | boolean): string {
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no'
  return typeof cell === 'number' ? String(Math.round(cell * 1_000) / 1_000) : cell.replace(/\p{Cc}/gu, '?')
}
