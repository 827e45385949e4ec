/** Versions of the row that the sender of a summary holds for one host; zeros when it holds no row. */
export type SummaryRow = readonly [host: string, incarnation: number, state: number, configVersion: number, reportIncarnation: number, reportNo: number]
