import { writeFileSync } from 'node:fs'

/** Collects the lines of `record.txt`, with the time in seconds since the start of the traffic. */
export class Record {
  constructor (file) {
    this.file = file
    this.lines = []
    this.startMs = performance.now()
  }

  add (text, atMs = performance.now()) {
    this.lines.push({ atMs, text: `${((atMs - this.startMs) / 1_000).toFixed(3).padStart(8)} s  ${text}` })
  }

  /** Writes the lines in the order of their times, and the closing lines after them. */
  write (closing) {
    this.lines.sort((a, b) => a.atMs - b.atMs)
    writeFileSync(this.file, [...this.lines.map(({ text }) => text), ...closing, ''].join('\n'))
  }
}
