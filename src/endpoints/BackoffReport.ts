/**
 * Report of a host that an incarnation of an endpoint, by its start time, wants no requests for a time in ms. The start time tells
 * incarnations with one id apart.
 */
export type BackoffReport = readonly [endpoint: string, bornAtMs: number, leftMs: number]
