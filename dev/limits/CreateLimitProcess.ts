import type { LimitProcess } from './LimitProcess.js'

/** Creates a process of a host; tests plant faults in it. */
export type CreateLimitProcess = (...args: ConstructorParameters<typeof LimitProcess>) => LimitProcess
