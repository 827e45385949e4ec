/** What the sender of a summary has of one host; zeros when it has nothing. */
export type SummaryRow = readonly [host: string, incarnation: number, state: number, configVersion: number, reportIncarnation: number, reportNo: number]
