import { writeFileSync } from 'node:fs'
import { formatCodes } from './formatCodes.js'

// Writes docs/codes.md; run from the root of the repository after a change of the code tables.
writeFileSync('docs/codes.md', formatCodes())
