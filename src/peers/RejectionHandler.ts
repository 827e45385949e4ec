/** Called for each part of a message from another host that is left out. */
export type RejectionHandler = (reason: string, fields: Readonly<Record<string, string | number>>) => void
