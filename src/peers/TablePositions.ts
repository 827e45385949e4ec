import type { Heartbeat } from './Heartbeat.js'

/** Positions of a host's tables, as its heartbeat tells them. */
export type TablePositions = Pick<Heartbeat, 'versions' | 'eras'>
