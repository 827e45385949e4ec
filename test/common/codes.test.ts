import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { expect } from 'earl'
import { formatCodes } from '../../dev/formatCodes.js'
import { exitCodes } from '../../src/common/exitCodes.js'
import { resultCodes } from '../../src/common/resultCodes.js'

// Guards against documentation that differs from the code tables.
test('docs/codes.md is up to date', () => {
  expect(readFileSync('docs/codes.md', 'utf8')).toEqual(formatCodes())
  for (const name of [...Object.keys(resultCodes), ...Object.keys(exitCodes)]) expect(formatCodes()).toInclude(`\`${name}\``)
})

// Guards against one number with two meanings.
test('codes are unique', () => {
  for (const table of [resultCodes, exitCodes]) {
    const codes = Object.values(table).map(({ code }) => code)
    expect(new Set(codes).size).toEqual(codes.length)
  }
})
