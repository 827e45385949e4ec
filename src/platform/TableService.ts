import type { Result } from 'neverthrow'
import type { Failure } from '../common/Failure.js'
import type { TableRow } from './TableRow.js'
import type { TableWrite } from './TableWrite.js'
import type { WriteReply } from './WriteReply.js'

/**
 * Reads and conditionally writes versioned rows in the platform.
 * Failures: `platformUnavailable` (not written) and, for writes, `writeUnknown` (may have been written).
 */
export abstract class TableService {
  /** Reads a row; undefined when it is absent. */
  abstract read (row: string): Promise<Result<TableRow | undefined, Failure>>

  abstract write (write: TableWrite): Promise<Result<WriteReply, Failure>>

  /** Writes all rows or none. The reply contains the version of the first row, or of the first conflicting row. */
  abstract transact (writes: readonly TableWrite[]): Promise<Result<WriteReply, Failure>>
}
