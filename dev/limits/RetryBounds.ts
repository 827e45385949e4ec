import type { HostBounds } from '../../src/host/HostBounds.js'

/** Bounds on retries, as the settings of a host name them. */
export type RetryBounds = Pick<HostBounds, 'retryRatio' | 'retryWindowMs' | 'retrySlack'>
