import { exitCodes } from '../src/common/exitCodes.js'
import { resultCodes } from '../src/common/resultCodes.js'

const groups: Readonly<Record<number, string>> = {
  1: 'Caller input',
  2: 'Limits of the contract',
  3: 'Steering and capacity',
  4: 'Idempotency keys',
  5: 'Attempts at upstreams',
  6: 'Configuration and operators',
  7: 'Frames between processes',
  8: 'Settings',
  9: 'Internal'
}

const groupSize = 1_000

/** Returns the text of `docs/codes.md`. */
export function formatCodes (): string {
  const rows = Object.entries(resultCodes)
  const sections = Object.entries(groups).flatMap(([group, title]) => [
    `## ${title}`,
    '',
    '| code | name | HTTP status | meaning |',
    '| --- | --- | --- | --- |',
    ...rows.filter(([, { code }]) => Math.floor(code / groupSize) === Number(group)).map(([name, { code, status, text }]) => `| ${code} | \`${name}\` | ${status} | ${text} |`),
    ''
  ])
  return [
    '# Result codes and exit codes',
    '',
    'Generated from `src/common/resultCodes.ts` and `src/common/exitCodes.ts` by `npm run -s build && node dist/dev/writeCodes.js`;',
    'a test compares them. Result codes stand in the header `Shunt-Code`, in JSON bodies, in logs and in counters.',
    '',
    ...sections,
    '## Exit codes of the binaries',
    '',
    '| exit code | name | meaning |',
    '| --- | --- | --- |',
    ...Object.entries(exitCodes).map(([name, { code, text }]) => `| ${code} | \`${name}\` | ${text} |`),
    ''
  ].join('\n')
}
